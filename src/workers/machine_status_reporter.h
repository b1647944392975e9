/// The machines of this node's shards as the other controllers are told of them.
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

/// Owns the time since when each machine was idle at every report.
class MachineStatusReporter {
  public:
    MachineStatusReporter(Env& env, const Settings& settings, const StateCache& state_cache,
                          const ClusterCoordinator& cluster, MachineRegistry& registry,
                          const CapacityTracker& capacity, const MachineAvailability& availability);

    /// For the next peer heartbeat. Empty while this node's view of the shards may be out of date.
    [[nodiscard]] std::vector<wire::MachineStatus> statuses();
    /// Drops what is kept for the machine.
    void on_machine_removed(const MachineId& id) { idle_since_.erase(id); }

  private:
    [[nodiscard]] wire::MachineStatus status_of(const MachineId& id, const Machine& machine);
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    MachineRegistry& registry_;
    const CapacityTracker& capacity_;
    const MachineAvailability& availability_;
    std::unordered_map<MachineId, SteadyTime>
        idle_since_;  // the last report at which it was not, or the first
};

}  // namespace zincdyke
