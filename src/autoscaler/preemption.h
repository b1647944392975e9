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

/// A machine that may be reserved, and the cost of reserving it. Machines with lower cost are preferred.
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

    /// Discards the recorded placement times of tasks. Must be called while this node is not the autoscaler
    /// leader.
    void stop_tracking_placements();
    /// Records the placement times of newly placed tasks, and discards those of tasks that have ended.
    void track_placements();
    /// Discards records of old preemption requests, so that preemption on their machines can be requested
    /// again.
    void remove_expired_requests();
    /// Whether a preemption of tasks on the machine `id` has recently been requested.
    bool is_being_preempted(const MachineId& id) const { return preempted_at_.contains(id); }
    /// Returns how much work, in seconds of run time, is lost by preempting the tasks on a machine for one
    /// task of the job `spec`. Returns nothing if the tasks may not be preempted, or if the capacity that is
    /// not used by replicas of services, which are never preempted, is too small for the task.
    std::optional<double> preemption_cost_s(const MachineBin& machine, const wire::JobSpec& spec,
                                            const sched::Reservation& reservation) const;
    /// Requests the preemption of tasks on as many candidates as are needed to start `waiting_tasks` tasks of
    /// the job `spec`. Returns the number of remaining candidates on which preemption would lose no work.
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
    bool is_tracking_ = false;  // whether placements were tracked since stop_tracking_placements()
    std::map<std::pair<TaskRef, Attempt>, SteadyTime> placed_at_;  // when a placement was first observed
    std::map<MachineId, SteadyTime> preempted_at_;  // when preemption on a machine was last requested
};

}  // namespace zincdyke::autoscaler
