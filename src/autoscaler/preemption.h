/// Preemption of tasks on reserved machines, in favour of tasks of higher rank.
#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "autoscaler/inventory.h"
#include "autoscaler/message_limits.h"
#include "autoscaler/plan.h"
#include "base/env.h"
#include "cluster/peer_channel.h"
#include "policy/policy.h"
#include "sched/placement_rules.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// A machine that may be reserved. Candidates with lower cost are preferred.
struct ReservationCandidate {
    double cost = 0;
    MachineBin* bin = nullptr;
};

/// Chooses which tasks to preempt, and requests their preemption from the leaders of their machines.
class Preemptor {
  public:
    /// The references must outlive this object.
    Preemptor(Env& env, const Policy& policy, const StateCache& state_cache,
              const MachineInventory& inventory, PeerChannel& peers);

    /// Discards the placement times. To be called while this node is not the autoscaler leader.
    void reset();
    /// Updates the placement times with tasks that were placed or have ended since the last call.
    void track_placements();
    /// Discards old preemption requests, so that their machines can be chosen again.
    void expire();
    /// Whether the preemption of tasks on the machine has recently been requested.
    bool is_being_preempted(const MachineId& id) const { return preempted_at_.contains(id); }
    /// Returns how much work, in seconds of run time, would be lost by preempting the tasks on a machine for
    /// one task of `spec`; nothing if they may not be preempted. Replicas of services are never preempted:
    /// the capacity beside them must suffice.
    std::optional<double> preemption_cost_s(const MachineBin& machine, const wire::JobSpec& spec,
                                            const sched::Reservation& reservation) const;
    /// Preempts tasks on as many candidates as needed for the `waiting_tasks` tasks of `spec`. Returns the
    /// number of further candidates on which preemption would lose no work.
    std::size_t preempt_for_waiting_tasks(const std::vector<ReservationCandidate>& candidates,
                                          std::size_t waiting_tasks, const wire::JobSpec& spec,
                                          const sched::Reservation& reservation);

  private:
    void preempt_tasks_on(const MachineId& id, double lost_work_s, const sched::Reservation& reservation);

    Env& env_;
    const Policy& policy_;
    const StateCache& state_cache_;
    const MachineInventory& inventory_;
    PeerChannel& peers_;
    bool is_tracking_ = false;  // track_placements() has been called since the last reset()
    std::map<std::pair<TaskRef, Attempt>, SteadyTime> placed_at_;  // when each placement was first observed
    std::map<MachineId, SteadyTime> preempted_at_;                 // the last preemption request
};

}  // namespace zincdyke::autoscaler
