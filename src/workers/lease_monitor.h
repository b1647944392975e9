/// Detects machines and entire shards whose heartbeats no longer arrive.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "workers/leadership_announcer.h"
#include "workers/machine_registry.h"
#include "workers/task_reconciler.h"

namespace zincdyke {

/// Releases the tasks of machines whose lease expired, and transfers the leadership of shards from whose
/// machines this node receives no heartbeats. Owns the time of the last heartbeat in each shard.
class LeaseMonitor {
  public:
    LeaseMonitor(Env& env, const Settings& settings, const StateCache& state_cache,
                 ClusterCoordinator& cluster, MachineRegistry& registry, const LeadershipAnnouncer& announcer,
                 TaskReconciler& reconciler);

    /// Sets the time of the last heartbeat in the machine's shard to now, which postpones the transfer of the
    /// shard's leadership.
    void on_heartbeat(const MachineId& id);
    /// Called when this node becomes the shard's leader. Counts missing heartbeats of the shard's machines
    /// from now, because other leaders may have received their heartbeats before.
    void on_leadership_acquired(std::uint32_t shard);
    /// Transfers the leadership of shards from whose machines no heartbeats arrive. Otherwise, a leader
    /// partitioned only from the workers would lead its shard until all its machines' leases have expired,
    /// although other controllers receive the heartbeats. Called periodically.
    void transfer_silent_shards();
    /// Releases the tasks of machines whose lease has certainly expired. Also removes a machine
    /// without tasks from the registry if this node does not lead its shard or received no message from it
    /// for 12 lease durations. Called periodically.
    void expire_leases();

  private:
    // The leadership of a shard without heartbeats is transferred only if at least this many machines sent
    // messages within the last lease duration or, if no heartbeat arrived yet, have a known address.
    static constexpr std::size_t min_silent_machines = 5;
    // Time without messages after which a machine without tasks is removed from the registry, in lease
    // durations.
    static constexpr double remove_after_leases = 12;
    /// Time at which this node became a shard's leader, and arrival time of the last heartbeat from the
    /// shard's machines (0: none since then).
    struct ShardActivity {
        SteadyTime acquired_at{}, last_heartbeat_at{};
    };
    void register_machines_with_tasks();
    void expire_lease_if_overdue(const MachineId& id, Machine& machine);
    [[nodiscard]] bool can_remove(const MachineId& id, const Machine& machine) const;
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    MachineRegistry& registry_;
    const LeadershipAnnouncer& announcer_;
    TaskReconciler& reconciler_;
    std::map<std::uint32_t, ShardActivity> activity_by_shard_;
};

}  // namespace zincdyke
