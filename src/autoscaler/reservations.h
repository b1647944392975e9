/// Which machines are reserved, and for what.
#pragma once
#include <map>
#include <string>

#include "autoscaler/arrivals.h"
#include "autoscaler/gang_reservations.h"
#include "autoscaler/inventory.h"
#include "autoscaler/peer_messages.h"
#include "autoscaler/plan.h"
#include "autoscaler/preemption.h"
#include "base/env.h"
#include "base/settings.h"
#include "cluster/peer_channel.h"
#include "policy/policy.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// Chooses anew at each plan which machines are reserved, and tells their leaders.
class ReservationPlanner {
  public:
    ReservationPlanner(Env& env, const Settings& settings, const Policy& policy,
                       const StateCache& state_cache, const MachineInventory& inventory, PeerChannel& peers);

    /// This node is not the autoscaler leader.
    void reset() { preemptor_.reset(); }
    /// Reserves machines among the plan's bins, and adds the demand for machines that have to stand ready.
    void update(PlanInput& plan);
    /// Tells each leader which of its machines are reserved.
    void announce() const;

  private:
    void record_arrivals();

    Env& env_;
    const Settings& settings_;
    const Policy& policy_;
    const StateCache& state_cache_;
    PeerChannel& peers_;
    Preemptor preemptor_;
    // What is kept for replicas of services is apart from what is kept for other work of their class.
    struct WorkKind {
        std::string job_class;
        bool service = false;
        auto operator<=>(const WorkKind&) const = default;
    };
    std::map<WorkKind, ArrivalStatistics> arrivals_;
    ReservationMap reserved_;
};

}  // namespace zincdyke::autoscaler
