/// Which machines take new tasks: draining ones do not, nor those that are cordoned or out of reach.
#pragma once
#include <map>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "wire/peer_messages.h"
#include "workers/capacity_tracker.h"
#include "workers/machine_cordons.h"
#include "workers/machine_registry.h"

namespace zincdyke {

/// Owns the drains that the autoscaler asked for, and combines all reasons not to place tasks on a machine.
class MachineAvailability {
  public:
    MachineAvailability(Env& env, const Settings& settings, const ClusterCoordinator& cluster,
                        PeerChannel& peers, const MachineRegistry& registry, const CapacityTracker& capacity,
                        const MachineCordons& cordons);

    /// Whether new tasks may be placed there now.
    [[nodiscard]] bool is_schedulable(const MachineId& id, const Machine& machine) const;
    /// Drains an idle machine and says so to `from`. A busy one gets no response, and the autoscaler asks
    /// again another time.
    void on_drain_request(const NodeName& from, const wire::DrainRequest& request);
    /// Periodic: a machine that was not terminated within 20 s of its drain takes tasks again.
    void expire_drains();
    /// Drops what is kept for the machine.
    void on_machine_removed(const MachineId& id) { drains_.erase(id); }

  private:
    static constexpr Duration drain_timeout = std::chrono::seconds(20);
    Env& env_;
    const Settings& settings_;
    const ClusterCoordinator& cluster_;
    PeerChannel& peers_;
    const MachineRegistry& registry_;
    const CapacityTracker& capacity_;
    const MachineCordons& cordons_;
    std::map<MachineId, SteadyTime> drains_;  // draining machines, and since when
};

}  // namespace zincdyke
