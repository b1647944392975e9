/// Decides which machines may receive new tasks.
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

/// Owns the drains requested by the autoscaler, and combines them with the other reasons not to place tasks
/// on a machine: cordon, spot notice, lost connection.
class MachineAvailability {
  public:
    MachineAvailability(Env& env, const Settings& settings, const ClusterCoordinator& cluster,
                        PeerChannel& peers, const MachineRegistry& registry, const CapacityTracker& capacity,
                        const MachineCordons& cordons);

    /// Whether new tasks may be placed on the machine now.
    [[nodiscard]] bool is_schedulable(const MachineId& id, const Machine& machine) const;
    /// Starts draining the machine if it is idle, and confirms the drain to the controller `from`. A request
    /// for a busy machine gets no response; the autoscaler repeats it later.
    void on_drain_request(const NodeName& from, const wire::DrainRequest& request);
    /// Ends drains that started more than 20 s ago, so that a machine that the cloud did not terminate
    /// accepts tasks again. Called periodically.
    void expire_drains();
    /// Ends the drain of a machine that was removed from the registry.
    void on_machine_removed(const MachineId& id) { drain_started_at_.erase(id); }

  private:
    static constexpr Duration drain_timeout = std::chrono::seconds(20);
    Env& env_;
    const Settings& settings_;
    const ClusterCoordinator& cluster_;
    PeerChannel& peers_;
    const MachineRegistry& registry_;
    const CapacityTracker& capacity_;
    const MachineCordons& cordons_;
    std::map<MachineId, SteadyTime> drain_started_at_;
};

}  // namespace zincdyke
