/// Reports the machines of this node's shards to the other controllers.
#pragma once
#include <unordered_map>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"
#include "workers/capacity_tracker.h"
#include "workers/machine_availability.h"
#include "workers/machine_registry.h"

namespace zincdyke {

/// Builds the machine statuses for peer heartbeats, and owns the time since when each machine has been idle.
class MachineStatusReporter {
  public:
    MachineStatusReporter(Env& env, const Settings& settings, const StateCache& state_cache,
                          const ClusterCoordinator& cluster, MachineRegistry& registry,
                          const CapacityTracker& capacity, const MachineAvailability& availability);

    /// Returns the status of every machine in this node's shards, for the next peer heartbeat. Empty while
    /// the state cache is out of date, because another controller may lead the shards by then.
    [[nodiscard]] std::vector<wire::MachineStatus> statuses();
    /// Discards the idle time of a machine that was removed from the registry.
    void on_machine_removed(const MachineId& id) { idle_since_.erase(id); }

  private:
    [[nodiscard]] wire::MachineStatus build_status(const MachineId& id, const Machine& machine);
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    MachineRegistry& registry_;
    const CapacityTracker& capacity_;
    const MachineAvailability& availability_;
    // Time since when each machine has been idle: its last status report as busy, or its first status report.
    std::unordered_map<MachineId, SteadyTime> idle_since_;
};

}  // namespace zincdyke
