/// Reservation of machines for gangs that have waited too long, and for job classes whose tasks cannot wait
/// for a new machine to boot.
#pragma once
#include <map>
#include <string>

#include "autoscaler/arrivals.h"
#include "autoscaler/gang_reservations.h"
#include "autoscaler/inventory.h"
#include "autoscaler/message_limits.h"
#include "autoscaler/plan.h"
#include "autoscaler/preemption.h"
#include "base/env.h"
#include "base/settings.h"
#include "cluster/peer_channel.h"
#include "policy/policy.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// Calculates for each plan which machines are reserved, and notifies the machines' leaders.
class ReservationPlanner {
  public:
    /// The references must outlive this object.
    ReservationPlanner(Env& env, const Settings& settings, const Policy& policy,
                       const StateCache& state_cache, const MachineInventory& inventory, PeerChannel& peers);

    /// Discards the recorded placement times of tasks. Must be called while this node is not the autoscaler
    /// leader.
    void stop_tracking_placements() { preemptor_.stop_tracking_placements(); }
    /// Replaces the reservations of the last plan by new ones. Sets the reservation of each machine in
    /// `plan_input`, and adds the demands for standby machines to `plan_input`.
    void replace_reservations(PlanInput& plan_input);
    /// Sends each controller the reservations of the machines that it leads.
    void announce_reservations() const;

  private:
    void record_arrivals();

    Env& env_;
    const Settings& settings_;
    const Policy& policy_;
    const StateCache& state_cache_;
    PeerChannel& peers_;
    Preemptor preemptor_;
    // Services and other jobs of one job class get separate reservations.
    struct JobGroup {
        std::string job_class;
        bool is_service = false;
        auto operator<=>(const JobGroup&) const = default;
    };
    std::map<JobGroup, ArrivalStatistics> arrivals_by_group_;
    ReservationMap reservations_;
};

}  // namespace zincdyke::autoscaler
