/// A shard leader's side of the workers: heartbeats, commands, leases, capacity, offers and starts.
#pragma once
#include <cstdint>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cancellation_watermark.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "jobs/task_committer.h"
#include "store/state_cache.h"
#include "wire/json_api.h"
#include "wire/peer_messages.h"
#include "workers/capacity_notifier.h"
#include "workers/capacity_tracker.h"
#include "workers/command_sender.h"
#include "workers/heartbeat_handler.h"
#include "workers/leadership_announcer.h"
#include "workers/lease_monitor.h"
#include "workers/machine_availability.h"
#include "workers/machine_cordons.h"
#include "workers/machine_registry.h"
#include "workers/machine_status_reporter.h"
#include "workers/placement_scorer.h"
#include "workers/reserved_machines.h"
#include "workers/start_tracker.h"
#include "workers/task_reconciler.h"

namespace zincdyke {

/// Puts the parts of this package together, passes each message to the part it concerns, and runs their
/// periodic work in one order under one timer. Runs on the event loop; nothing here blocks or throws.
class WorkerManager : private MachineRemovalObserver {
  public:
    /// All arguments must outlive the manager.
    WorkerManager(Env& env, const Settings& settings, StateCache& state_cache, ClusterCoordinator& cluster,
                  const CancellationWatermark& cancellation_watermark, TaskCommitter& committer,
                  PeerChannel& peers);
    /// Begins the periodic work. Once.
    void start();

    /// See HeartbeatHandler::handle.
    void handle_heartbeat(const wire::Heartbeat& heartbeat, const Reply& reply);

    /// As scorer: sends offers to the request's gatherer.
    void on_placement_request(const wire::PlacementRequest& request);
    /// As scorer: commits the starts on the chosen machines.
    void on_placement_decision(const wire::PlacementDecision& decision);

    /// From the autoscaler: place nothing more on a machine.
    void on_drain_request(const NodeName& from, const wire::DrainRequest& request);
    /// From the autoscaler: the cloud confirmed that machines are gone; nothing runs there any more.
    void on_machines_terminated(const wire::MachinesTerminatedNotification& notification);
    /// From the autoscaler: machines reserved for some jobs.
    void on_reservation_update(const wire::ReservationUpdate& update);
    /// From the autoscaler: stops a task, with time to save if it can.
    void on_preemption_request(const wire::PreemptionRequest& request);

    /// Addresses that other controllers know, for announcing a new term.
    void on_peer_heartbeat(const wire::PeerHeartbeat& heartbeat);
    /// Addresses from the cloud's list, likewise.
    void on_machines_discovered(const wire::MachinesDiscoveredNotification& notification);
    /// This node leads the shard from now on.
    void on_leadership_acquired(std::uint32_t shard);

    /// The tasks placed on a machine changed.
    void on_placement_changed(const MachineId& id) { capacity_.invalidate(id); }
    /// A job came or went.
    void on_jobs_changed() { capacity_.on_jobs_changed(); }
    /// Stops what runs of a cancelled job on our machines, without waiting for their next heartbeats.
    void on_job_cancelled(const JobId& id) { sender_.stop_job(id); }

    /// Our machines, for the heartbeat to the other controllers.
    [[nodiscard]] std::vector<wire::MachineStatus> machine_statuses() { return reporter_.statuses(); }
    /// Counters for the status, since the process began.
    struct Counts {
        std::uint64_t heartbeats = 0, stale_heartbeats = 0, leases_not_renewed = 0, placement_requests = 0,
                      offers = 0, capacity_computations = 0, heartbeat_requests = 0;
    };
    [[nodiscard]] Counts counts() const;
    [[nodiscard]] const StartTimes& start_times() const { return starts_.times(); }

  private:
    static constexpr Duration sweep_interval = std::chrono::milliseconds(500);
    void sweep();
    void on_machine_removed(const MachineId& id) override;
    Env& env_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    MachineRegistry registry_;
    CapacityTracker capacity_;
    MachineCordons cordons_;
    ReservedMachines reserved_;
    StartTracker starts_;
    MachineAvailability availability_;
    CapacityNotifier notifier_;
    CommandSender sender_;
    LeadershipAnnouncer announcer_;
    TaskReconciler reconciler_;
    LeaseMonitor lease_monitor_;
    HeartbeatHandler heartbeats_;
    PlacementScorer scorer_;
    MachineStatusReporter reporter_;
};

}  // namespace zincdyke
