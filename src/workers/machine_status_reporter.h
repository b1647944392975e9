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

/// Builds the machine statuses for peer heartbeats. Owns the start time of each machine's idle period.
class MachineStatusReporter {
  public:
    MachineStatusReporter(Env& env, const Settings& settings, const StateCache& state_cache,
                          const ClusterCoordinator& cluster, MachineRegistry& registry,
                          const CapacityTracker& capacity, const MachineAvailability& availability);

    /// Returns the status of every machine in this node's shards, for the next peer heartbeat. Empty while
    /// the state cache is out of date, because another controller may lead the shards in the meantime.
    [[nodiscard]] std::vector<wire::MachineStatus> machine_statuses();
    /// Discards the idle period of a machine that was removed from the registry.
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
    // Start of each machine's idle period: the time at which this node last reported the machine as busy, or
    // first reported it.
    std::unordered_map<MachineId, SteadyTime> idle_since_;
};

}  // namespace zincdyke
