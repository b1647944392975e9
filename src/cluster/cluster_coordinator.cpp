#include "cluster/cluster_coordinator.h"

namespace zincdyke {
namespace {
constexpr Duration review_interval = std::chrono::milliseconds(100);
}  // namespace

ClusterCoordinator::ClusterCoordinator(Env& env, const Settings& settings, StoreClient& store,
                                       StateCache& state_cache, ClusterObserver& observer)
    : env_(env),
      settings_(settings),
      state_cache_(state_cache),
      membership_(settings, state_cache),
      job_roles_(settings, state_cache, membership_),
      write_budget_share_(settings, store, state_cache, membership_),
      state_watcher_(env, settings, store, state_cache, membership_, observer,
                     [this] { on_membership_changed(); }),
      session_keeper_(env, settings, store, state_cache, [this] { state_watcher_.invalidate(); }),
      shard_leadership_(env, settings, store, state_cache, membership_, observer,
                        [this] { on_membership_changed(); }),
      autoscaler_election_(env, settings, store, state_cache, membership_) {}

void ClusterCoordinator::start() {
    session_keeper_.start();
    state_watcher_.start();
    review_leaderships();
}

std::optional<NodeName> ClusterCoordinator::leader_of(const MachineId& machine) const {
    const NodeName& leader = state_cache_.shards()[state_cache_.shard_of(machine)].leader;
    if (leader == settings_.node || !is_live(leader)) return std::nullopt;
    return leader;
}

bool ClusterCoordinator::is_autoscaler_leader() const {
    return is_up_to_date() && session_keeper_.is_open() && autoscaler_election_.is_elected();
}

void ClusterCoordinator::on_membership_changed() {
    if (!is_synced()) return;
    write_budget_share_.on_membership_changed();
    shard_leadership_.announce_changes();
}

void ClusterCoordinator::transfer_leadership(std::uint32_t shard) {
    if (is_up_to_date()) shard_leadership_.transfer_leadership(shard, incarnation());
}

void ClusterCoordinator::review_leaderships() {
    env_.after(review_interval, [this] { review_leaderships(); });
    if (!is_up_to_date() || !session_keeper_.is_open()) return;
    // The session record may be missing although the session is open: a delayed commit from an earlier
    // process of this controller can attach the record to an old lease, and the expiry of that lease deletes
    // the record.
    if (!is_live(settings_.node)) return session_keeper_.restore_record();
    shard_leadership_.claim_shards(incarnation());
    autoscaler_election_.campaign_if_vacant(session_keeper_.lease_id());
}

}  // namespace zincdyke
