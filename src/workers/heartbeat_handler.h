/// Answers the workers' heartbeats, and so renews their leases.
#pragma once
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cancellation_watermark.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "wire/json_api.h"
#include "workers/capacity_notifier.h"
#include "workers/command_sender.h"
#include "workers/lease_monitor.h"
#include "workers/machine_availability.h"
#include "workers/machine_registry.h"
#include "workers/task_reconciler.h"

namespace zincdyke {

/// Takes heartbeats of machines of our shards, and owns those whose response waits a moment for the commands
/// that their news will bring.
class HeartbeatHandler {
  public:
    HeartbeatHandler(Env& env, const Settings& settings, const StateCache& state_cache,
                     const ClusterCoordinator& cluster, const CancellationWatermark& cancellation_watermark,
                     MachineRegistry& registry, const MachineAvailability& availability,
                     CapacityNotifier& notifier, CommandSender& sender, TaskReconciler& reconciler,
                     LeaseMonitor& lease_monitor);

    /// Calls `reply` once: with 200 (lease renewed, commands), 421 (another controller leads the machine's
    /// shard) or 503 (ask another controller, or again).
    void handle(const wire::Heartbeat& heartbeat, const Reply& reply);
    /// A start was committed: the machine gets it with the response that is held for it, or is asked for a
    /// heartbeat.
    void deliver_start(const MachineId& id);

    /// Since the process began; `heartbeats` includes the stale ones.
    struct Counts {
        std::uint64_t heartbeats = 0, stale_heartbeats = 0, leases_not_renewed = 0;
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    // Well below the 4 s that a worker waits for a response.
    static constexpr Duration max_response_delay = std::chrono::milliseconds(700);
    // One commit often brings several starts: they share the response.
    static constexpr Duration start_gather_delay = std::chrono::milliseconds(5);
    struct HeldHeartbeat {
        wire::Heartbeat heartbeat;
        Reply reply;
        Env::TimerId timer = 0;
    };
    [[nodiscard]] bool is_stale(const wire::Heartbeat& heartbeat, Term term) const;
    void accept(Machine& machine, const wire::Heartbeat& heartbeat, Term term);
    [[nodiscard]] bool should_hold(const Machine& machine, const wire::Heartbeat& heartbeat) const;
    void answer_superseded(const MachineId& id, Term term);
    void answer_held(const MachineId& id);
    void renew_lease(const wire::Heartbeat& heartbeat, Term term, const std::vector<wire::Command>& commands,
                     const Reply& reply);
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    const CancellationWatermark& cancellation_watermark_;
    MachineRegistry& registry_;
    const MachineAvailability& availability_;
    CapacityNotifier& notifier_;
    CommandSender& sender_;
    TaskReconciler& reconciler_;
    LeaseMonitor& lease_monitor_;
    std::unordered_map<MachineId, HeldHeartbeat> held_;
    Counts counts_;
};

}  // namespace zincdyke
