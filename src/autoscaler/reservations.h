/// Reservation of machines for gangs and for job classes that cannot wait for a boot.
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

/// Recalculates for each plan which machines are reserved, and announces the reservations to their leaders.
class ReservationPlanner {
  public:
    /// The references must outlive this object.
    ReservationPlanner(Env& env, const Settings& settings, const Policy& policy,
                       const StateCache& state_cache, const MachineInventory& inventory, PeerChannel& peers);

    /// To be called while this node is not the autoscaler leader.
    void reset() { preemptor_.reset(); }
    /// Replaces all reservations: marks the reserved machine bins, and adds the demand for standby machines.
    void update(PlanInput& plan_input);
    /// Sends each leader the reservations of its machines.
    void announce() const;

  private:
    void record_arrivals();

    Env& env_;
    const Settings& settings_;
    const Policy& policy_;
    const StateCache& state_cache_;
    PeerChannel& peers_;
    Preemptor preemptor_;
    // Services get reservations of their own, separate from those for the other jobs of their class.
    struct WorkKind {
        std::string job_class;
        bool service = false;
        auto operator<=>(const WorkKind&) const = default;
    };
    std::map<WorkKind, ArrivalStatistics> arrivals_;
    ReservationMap reservations_;
};

}  // namespace zincdyke::autoscaler
