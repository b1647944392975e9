#include "cluster/shard_leadership.h"

#include <utility>

#include "base/log.h"
#include "cluster/rendezvous_hash.h"
#include "store/keys.h"
#include "store/records.h"

namespace zincdyke {
namespace {
// Delay, in worker lease durations, after which a transferred shard may be reclaimed.
constexpr int reclaim_delay_leases = 3;
}  // namespace

ShardLeadership::ShardLeadership(Env& env, const Settings& settings, StoreClient& store,
                                 const StateCache& state_cache, const Membership& membership,
                                 ClusterObserver& observer, std::function<void()> on_claimed)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(state_cache),
      membership_(membership),
      observer_(observer),
      on_claimed_(std::move(on_claimed)),
      all_nodes_(settings.all_nodes()),
      shard_states_(state_cache.shards().size()) {}

std::optional<Term> ShardLeadership::term(std::uint32_t shard) const {
    if (shard >= shard_states_.size() || !shard_states_[shard].claimed_term) return std::nullopt;
    const Shard& record = state_cache_.shards()[shard];
    // A claim counts only once it is in the state cache, because the cache then also contains everything that
    // earlier leaders committed.
    if (record.leader != settings_.node || record.term != *shard_states_[shard].claimed_term)
        return std::nullopt;
    return shard_states_[shard].claimed_term;
}

void ShardLeadership::announce_changes() {
    for (std::uint32_t shard = 0; shard < shard_states_.size(); ++shard) {
        const bool leads = term(shard).has_value();
        const bool was_announced = std::exchange(shard_states_[shard].is_announced, leads);
        if (leads && !was_announced) observer_.on_leadership_acquired(shard);
        if (!leads && was_announced) {
            const Shard& record = state_cache_.shards()[shard];
            log::info("event=shard_leadership_lost shard={} leader={} term={}", shard, record.leader.value(),
                      record.term.value());
        }
    }
}

void ShardLeadership::claim_shards(Revision incarnation) {
    const auto live_nodes = membership_.live_nodes();
    for (std::uint32_t shard = 0; shard < shard_states_.size(); ++shard) {
        if (term(shard)) continue;
        expire_transfer(shard);
        if (should_lead(shard, live_nodes) && !is_claim_awaiting_watch(shard) &&
            shard_states_[shard].record_write == RecordWrite::none)
            claim(shard, incarnation);
    }
}

void ShardLeadership::expire_transfer(std::uint32_t shard) {
    auto& transferred_at = shard_states_[shard].transferred_at;
    if (transferred_at && (env_.now() - *transferred_at > seconds(settings_.lease_s * reclaim_delay_leases) ||
                           !membership_.is_live(state_cache_.shards()[shard].leader)))
        transferred_at.reset();
}

bool ShardLeadership::should_lead(std::uint32_t shard, const std::vector<NodeName>& live_nodes) const {
    const NodeName& leader = state_cache_.shards()[shard].leader;
    // A shard led by an earlier process of this controller is always reclaimed. If this process restarted
    // before the old session expired, the other controllers see the leader as alive and do not claim the
    // shard.
    if (leader == settings_.node) return true;
    // The home controller of a shard reclaims the shard as soon as that controller is alive, even if the
    // shard's current leader is alive too.
    const NodeName& home = all_nodes_[shard % all_nodes_.size()];
    if (home == settings_.node && !shard_states_[shard].transferred_at) return true;
    if (membership_.is_live(home) || membership_.is_live(leader)) return false;
    return pick_by_hash(keys::shard(shard), live_nodes) == settings_.node;
}

// Returns whether a successful claim has not reached the state cache through the watch yet.
bool ShardLeadership::is_claim_awaiting_watch(std::uint32_t shard) const {
    return shard_states_[shard].claimed_term &&
           *shard_states_[shard].claimed_term > state_cache_.version(keys::shard(shard));
}

void ShardLeadership::write_leader(std::uint32_t shard, const NodeName& leader, Revision incarnation,
                                   std::function<void(CommitResult)> done) {
    Transaction txn;
    const std::string key = keys::shard(shard);
    txn.conditions.push_back({key, state_cache_.version(key)});
    txn.writes.push_back({key, records::encode_shard_leader(leader, incarnation), std::nullopt});
    store_.commit(txn, RequestPriority::lease, std::move(done));
}

void ShardLeadership::claim(std::uint32_t shard, Revision incarnation) {
    shard_states_[shard].record_write = RecordWrite::claiming;
    write_leader(shard, settings_.node, incarnation, [this, shard](const CommitResult& result) {
        shard_states_[shard].record_write = RecordWrite::none;
        // If a claim is executed but its response is lost, the leader record contains this controller's name,
        // but this process does not know its term. It claims the shard again, under a new term.
        if (result.outcome != Outcome::ok) return;
        shard_states_[shard].claimed_term = result.revision;
        log::info("event=shard_claimed shard={} term={} from={}", shard, result.revision.value(),
                  state_cache_.shards()[shard].leader.value());
        // The new leader record is applied to the state cache by the watch instead of this callback, so that
        // all earlier changes are applied first. The watch may already have delivered the record.
        on_claimed_();
    });
}

void ShardLeadership::transfer_leadership(std::uint32_t shard, Revision incarnation) {
    const auto peers = membership_.live_peers();
    if (peers.empty() || shard_states_[shard].record_write != RecordWrite::none) return;
    shard_states_[shard].record_write = RecordWrite::transferring;
    const NodeName new_leader = pick_by_hash(keys::shard(shard) + "+", peers);
    shard_states_[shard].transferred_at = env_.now();
    log::warn("event=shard_leadership_transferred shard={} to={} reason=no_heartbeats", shard,
              new_leader.value());
    // The new leader finds its name in the leader record and claims the shard under a term of its own.
    write_leader(shard, new_leader, incarnation, [this, shard](const CommitResult&) {
        shard_states_[shard].record_write = RecordWrite::none;
    });
}

}  // namespace zincdyke
