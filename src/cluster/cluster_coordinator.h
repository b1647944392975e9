/// Coordination of this controller with the others: its session, its state cache and its leaderships.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/autoscaler_election.h"
#include "cluster/cluster_observer.h"
#include "cluster/job_roles.h"
#include "cluster/membership.h"
#include "cluster/pending_reads.h"
#include "cluster/session_keeper.h"
#include "cluster/shard_leadership.h"
#include "cluster/state_watcher.h"
#include "cluster/write_budget_share.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Provides the other components of a controller with the live controllers, the leaderships of shards and of
/// the autoscaler, and up-to-date reads of the state. Owns the classes that keep the session, the state cache
/// and the leaderships current, and periodically claims the shards that this controller should lead. All
/// functions run on the event-loop thread.
class ClusterCoordinator {
  public:
    /// All constructor arguments must outlive the ClusterCoordinator.
    ClusterCoordinator(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                       ClusterObserver& observer);
    /// Starts reading the key-value store and requests a session. Must be called exactly once.
    void start();
    /// Recomputes this controller's share of the store budgets, and notifies the observer of newly acquired
    /// shards. Must be called when the state cache reports a change of the live controllers or of a leader.
    void on_membership_changed();

    /// Returns whether the key-value store has been read completely at least once.
    [[nodiscard]] bool is_synced() const { return state_watcher_.is_loaded(); }
    /// Returns whether decisions may be based on the state cache: the key-value store is reachable, and the
    /// cache has been refreshed since the store was last unreachable, since this controller last lost its
    /// session and since the process last stalled. A stall is detected even before any overdue timer has
    /// fired.
    [[nodiscard]] bool is_up_to_date() const { return state_watcher_.is_up_to_date(); }
    /// Calls `done(true)` once the state cache contains everything that was committed before this call, or
    /// `done(false)` if that takes longer than 1.7 s or the state cache is not up to date. The callback runs
    /// from the event loop, never within this call. One read of the store serves all calls made before the
    /// read was sent.
    void await_fresh_state(PendingReads::Callback done) { state_watcher_.await_fresh_state(std::move(done)); }

    /// Returns this controller's term as leader of the shard, or nothing if it does not lead the shard
    /// according to the state cache.
    [[nodiscard]] std::optional<Term> term(std::uint32_t shard) const {
        return shard_leadership_.term(shard);
    }
    /// Returns this controller's term as leader of the machine's shard, or nothing if it does not lead that
    /// shard according to the state cache.
    [[nodiscard]] std::optional<Term> leader_term(const MachineId& machine) const {
        return term(state_cache_.shard_of(machine));
    }
    /// Returns the leader of the machine's shard, to which its worker should send heartbeats; nothing if this
    /// controller leads the shard or the leader is not alive.
    [[nodiscard]] std::optional<NodeName> leader_of(const MachineId& machine) const;
    /// Transfers leadership of a shard to another live controller, for use when no heartbeats arrive from the
    /// shard's workers. This controller reclaims the shard at the earliest after three worker lease
    /// durations, or when the new leader is no longer alive. The transfer is not remembered across a restart.
    void transfer_leadership(std::uint32_t shard);
    /// Returns whether this controller may act as autoscaler leader: it won the election, its session is open
    /// and its state cache is up to date.
    [[nodiscard]] bool is_autoscaler_leader() const;

    // The functions below are documented in Membership, JobRoles, WriteBudgetShare and SessionKeeper, to
    // which they delegate.
    [[nodiscard]] std::vector<NodeName> live_nodes() const { return membership_.live_nodes(); }
    [[nodiscard]] bool is_live(const NodeName& node) const { return membership_.is_live(node); }
    [[nodiscard]] NodeName relay_of(const Job& job) const { return job_roles_.relay_of(job); }
    [[nodiscard]] NodeName committer_of(const Job& job) const { return job_roles_.committer_of(job); }
    void update_write_share(double own_demand, const std::map<NodeName, double>& peer_demands) {
        write_budget_share_.recompute_shares(own_demand, peer_demands);
    }
    [[nodiscard]] Revision incarnation() const { return session_keeper_.incarnation(); }

  private:
    void review_leaderships();
    Env& env_;
    const Settings& settings_;
    StateCache& state_cache_;
    Membership membership_;
    JobRoles job_roles_;
    WriteBudgetShare write_budget_share_;
    StateWatcher state_watcher_;
    SessionKeeper session_keeper_;
    ShardLeadership shard_leadership_;
    AutoscalerElection autoscaler_election_;
};

}  // namespace zincdyke
