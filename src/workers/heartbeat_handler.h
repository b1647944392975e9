/// Answers the heartbeats of workers, which renews their leases.
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

/// Handles heartbeats of machines in this node's shards. Owns the pending responses: a response waits up to
/// 0.7 s if the content of its heartbeat is likely to cause commands.
class HeartbeatHandler {
  public:
    HeartbeatHandler(Env& env, const Settings& settings, const StateCache& state_cache,
                     const ClusterCoordinator& cluster, const CancellationWatermark& cancellation_watermark,
                     MachineRegistry& registry, const MachineAvailability& availability,
                     CapacityNotifier& notifier, CommandSender& sender, TaskReconciler& reconciler,
                     LeaseMonitor& lease_monitor);

    /// Handles a heartbeat and calls `reply` exactly once, with status 200 (lease renewed, with commands),
    /// 421 (another controller leads the machine's shard) or 503 (the worker should try another controller,
    /// or this one again).
    void handle_heartbeat(const wire::Heartbeat& heartbeat, const Reply& reply);
    /// Delivers a committed task start to the machine: in the pending response to its heartbeat if there is
    /// one, else by requesting a heartbeat.
    void deliver_start(const MachineId& id);

    /// Numbers of heartbeats handled since the process started; `heartbeats` includes the stale ones.
    struct Counts {
        std::uint64_t heartbeats = 0, stale_heartbeats = 0, leases_not_renewed = 0;
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    // Maximum delay of a heartbeat response, well below the 4 s for which a worker waits for it.
    static constexpr Duration max_response_delay = std::chrono::milliseconds(700);
    // Delay for collecting several starts of one commit into one heartbeat response.
    static constexpr Duration start_batch_delay = std::chrono::milliseconds(5);
    /// A heartbeat that has not been answered yet, and the timer that answers it.
    struct PendingResponse {
        wire::Heartbeat heartbeat;
        Reply reply;
        Env::TimerId timer = 0;
    };
    [[nodiscard]] bool is_stale(const wire::Heartbeat& heartbeat, Term term) const;
    void accept_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat, Term term);
    [[nodiscard]] bool should_delay_response(const Machine& machine, const wire::Heartbeat& heartbeat) const;
    void send_superseded_response(const MachineId& id, Term term);
    void send_pending_response(const MachineId& id);
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
    std::unordered_map<MachineId, PendingResponse> pending_responses_;
    Counts counts_;
};

}  // namespace zincdyke
