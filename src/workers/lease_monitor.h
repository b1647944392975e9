/// Watches for machines and whole shards that fall silent.
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

/// Releases the tasks of machines whose lease expired, and gives up leadership of shards whose machines
/// cannot be heard from here. Owns the time of each shard's last heartbeat.
class LeaseMonitor {
  public:
    LeaseMonitor(Env& env, const Settings& settings, const StateCache& state_cache,
                 ClusterCoordinator& cluster, MachineRegistry& registry, const LeadershipAnnouncer& announcer,
                 TaskReconciler& reconciler);

    /// A machine's heartbeat arrived.
    void on_heartbeat(const MachineId& id);
    /// This node leads the shard: the silence of its machines counts from now. What was received in an
    /// earlier term says nothing of the time since, when others received their heartbeats.
    void on_leadership_acquired(std::uint32_t shard);
    /// Periodic: transfers shards from whose machines nothing arrives. Cut off from the workers alone, a
    /// leader would keep its shard while every lease in it expires, though others receive the heartbeats.
    void transfer_silent_shards();
    /// Periodic: releases the tasks of machines whose lease surely expired, and forgets machines that are no
    /// longer ours or were silent for long.
    void expire_leases();

  private:
    // Machines whose silence together is no chance.
    static constexpr std::size_t min_silent_machines = 5;
    // Machines without tasks are forgotten after so many leases.
    static constexpr double forget_after_leases = 12;
    struct ShardContact {
        SteadyTime acquired{}, last_heartbeat{};
    };
    void watch_machines_with_tasks();
    void expire_if_due(const MachineId& id, Machine& machine);
    [[nodiscard]] bool is_forgettable(const MachineId& id, const Machine& machine) const;
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    MachineRegistry& registry_;
    const LeadershipAnnouncer& announcer_;
    TaskReconciler& reconciler_;
    std::map<std::uint32_t, ShardContact> contacts_;
};

}  // namespace zincdyke
