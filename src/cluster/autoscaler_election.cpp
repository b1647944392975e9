#include "cluster/autoscaler_election.h"

#include "base/log.h"
#include "store/keys.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr Duration cooldown_delay = std::chrono::milliseconds(300);
}  // namespace

AutoscalerElection::AutoscalerElection(Env& env, const Settings& settings, StoreClient& store,
                                       const StateCache& state_cache, const Membership& membership)
    : env_(env), settings_(settings), store_(store), state_cache_(state_cache), membership_(membership) {}

bool AutoscalerElection::is_elected() const { return state_cache_.autoscaler_leader() == settings_.node; }

void AutoscalerElection::campaign_if_vacant(std::uint64_t session_lease_id) {
    const NodeName& leader = state_cache_.autoscaler_leader();
    if (state_ == State::idle && (leader.empty() || !membership_.is_live(leader))) campaign(session_lease_id);
}

void AutoscalerElection::campaign(std::uint64_t session_lease_id) {
    state_ = State::awaiting_result;
    Transaction txn;
    txn.conditions.push_back({keys::autoscaler_leader, state_cache_.version(keys::autoscaler_leader)});
    txn.writes.push_back(
        {keys::autoscaler_leader, records::encode_autoscaler_leader(settings_.node), session_lease_id});
    store_.commit(txn, RequestPriority::lease, [this](const CommitResult& result) {
        if (result.outcome == Outcome::ok)
            log::info("event=autoscaler_leader_elected revision={}", result.revision.value());
        state_ = State::awaiting_watch;
        env_.after(cooldown_delay, [this] { state_ = State::idle; });
    });
}

}  // namespace zincdyke
