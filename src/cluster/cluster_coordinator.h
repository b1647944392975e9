/// This controller's place in the cluster: its session, its view of the key-value store, what it leads.
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

/// What the other parts of a controller ask about the cluster. It composes the classes that do the work and
/// reviews regularly what this node should lead. All runs on the event loop.
class ClusterCoordinator {
  public:
    /// The references must outlive this object.
    ClusterCoordinator(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                       ClusterObserver& observer);
    /// Begins to read the store and to acquire a session; to be called once.
    void start();
    /// To be told by the state cache.
    void on_membership_changed();

    /// The store has been read in full at least once.
    [[nodiscard]] bool is_synced() const { return state_watcher_.is_loaded(); }
    /// The store answers, and what it holds was read since it last went away, since this node last lost its
    /// session and since this process last stalled: nothing is decided on a view from before. A stall counts
    /// at once, before any overdue timer has run.
    [[nodiscard]] bool is_up_to_date() const { return state_watcher_.is_up_to_date(); }
    /// Calls back, from the loop, once the state cache holds all that was committed before this call: one
    /// read of the store serves all who asked before it was sent. False when there was no answer within 1.7
    /// s, or none is to be had.
    void await_fresh_state(PendingReads::Callback done) { state_watcher_.await_fresh_state(std::move(done)); }

    /// This node's term of a shard that it leads, as far as it knows.
    [[nodiscard]] std::optional<Term> term(std::uint32_t shard) const {
        return shard_leadership_.term(shard);
    }
    /// The same of the shard that the machine falls to.
    [[nodiscard]] std::optional<Term> leader_term(const MachineId& machine) const {
        return term(state_cache_.shard_of(machine));
    }
    /// The controller that the machine's worker should report to, if that is another one, and alive.
    [[nodiscard]] std::optional<NodeName> leader_of(const MachineId& machine) const;
    /// Gives a shard to another live controller: this one receives nothing from its workers. Taken back at
    /// the earliest after three worker leases, or when the other is gone; a process that starts anew knows
    /// nothing of it.
    void transfer_leadership(std::uint32_t shard);
    /// This node is the autoscaler's leader, its session is open and its view is up to date.
    [[nodiscard]] bool is_autoscaler_leader() const;

    /// See Membership.
    [[nodiscard]] std::vector<NodeName> live_nodes() const { return membership_.live_nodes(); }
    [[nodiscard]] bool is_live(const NodeName& node) const { return membership_.is_live(node); }
    /// See JobRoles.
    [[nodiscard]] NodeName relay_of(const Job& job) const { return job_roles_.relay_of(job); }
    [[nodiscard]] NodeName committer_of(const Job& job) const { return job_roles_.committer_of(job); }
    /// See WriteBudgetShare::update.
    void update_write_share(double own_demand, const std::map<NodeName, double>& peer_demands) {
        write_budget_share_.update(own_demand, peer_demands);
    }
    /// See SessionKeeper.
    [[nodiscard]] Revision incarnation() const { return session_keeper_.incarnation(); }

  private:
    void review();
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
