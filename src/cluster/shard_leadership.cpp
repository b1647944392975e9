#include "cluster/shard_leadership.h"

#include <utility>

#include "base/log.h"
#include "cluster/rendezvous_hash.h"
#include "store/keys.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr int transfer_leases = 3;  // a shard given away is taken back after so many worker leases
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
      local_(state_cache.shards().size()) {}

std::optional<Term> ShardLeadership::term(std::uint32_t shard) const {
    if (shard >= local_.size() || !local_[shard].claimed) return std::nullopt;
    const Shard& record = state_cache_.shards()[shard];
    // Claims count once the cache holds them: everything an earlier leader committed is then known too.
    if (record.leader != settings_.node || record.term != *local_[shard].claimed) return std::nullopt;
    return local_[shard].claimed;
}

void ShardLeadership::announce_changes() {
    for (std::uint32_t shard = 0; shard < local_.size(); ++shard) {
        const bool leads = term(shard).has_value();
        const bool was_announced = std::exchange(local_[shard].is_announced, leads);
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
    for (std::uint32_t shard = 0; shard < local_.size(); ++shard) {
        if (term(shard)) continue;
        forget_old_transfer(shard);
        if (should_lead(shard, live_nodes) && !is_claim_awaiting_watch(shard) &&
            local_[shard].record_write == RecordWrite::none)
            claim(shard, incarnation);
    }
}

void ShardLeadership::forget_old_transfer(std::uint32_t shard) {
    auto& transferred_at = local_[shard].transferred_at;
    if (transferred_at && (env_.now() - *transferred_at > seconds(settings_.lease_s * transfer_leases) ||
                           !membership_.is_live(state_cache_.shards()[shard].leader)))
        transferred_at.reset();
}

bool ShardLeadership::should_lead(std::uint32_t shard, const std::vector<NodeName>& live_nodes) const {
    const NodeName& leader = state_cache_.shards()[shard].leader;
    // What an earlier process of this node led is ours to claim, whoever the hash names now: back before its
    // session expired, we look alive to the others, and nobody else would.
    if (leader == settings_.node) return true;
    // A node that is back takes its own shard back itself, at once.
    const NodeName& home = all_nodes_[shard % all_nodes_.size()];
    if (home == settings_.node && !local_[shard].transferred_at) return true;
    if (membership_.is_live(home) || membership_.is_live(leader)) return false;
    return pick_by_hash(keys::shard(shard), live_nodes) == settings_.node;
}

// A claim just won is in the cache only when the watch brings it.
bool ShardLeadership::is_claim_awaiting_watch(std::uint32_t shard) const {
    return local_[shard].claimed && *local_[shard].claimed > state_cache_.version(keys::shard(shard));
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
    local_[shard].record_write = RecordWrite::claiming;
    write_leader(shard, settings_.node, incarnation, [this, shard](const CommitResult& result) {
        local_[shard].record_write = RecordWrite::none;
        // A claim without an answer that went through is seen as a record of ours without a claim, and is
        // claimed again under a term of its own.
        if (result.outcome != Outcome::ok) return;
        local_[shard].claimed = result.revision;
        log::info("event=shard_claimed shard={} term={} from={}", shard, result.revision.value(),
                  state_cache_.shards()[shard].leader.value());
        // Not applied to the cache here: the watch brings it after all that came before it. Perhaps it has by
        // now.
        on_claimed_();
    });
}

void ShardLeadership::transfer(std::uint32_t shard, Revision incarnation) {
    const auto peers = membership_.live_peers();
    if (peers.empty() || local_[shard].record_write != RecordWrite::none) return;
    local_[shard].record_write = RecordWrite::transferring;
    const NodeName to = pick_by_hash(keys::shard(shard) + "+", peers);
    local_[shard].transferred_at = env_.now();
    log::warn("event=shard_leadership_transferred shard={} to={} reason=no_heartbeats", shard, to.value());
    // Named leader, the other one claims it under a term of its own.
    write_leader(shard, to, incarnation,
                 [this, shard](const CommitResult&) { local_[shard].record_write = RecordWrite::none; });
}

}  // namespace zincdyke
