/// Manages the workers of a leader's shards: heartbeats, commands, leases, capacity, placement offers and
/// task starts.
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

/// Composes the classes of the `workers` package, passes each message to the class that handles it, and runs
/// their periodic work from one timer. Runs on the event-loop thread; no function blocks or throws.
class WorkerManager : private MachineRemovalObserver {
  public:
    /// All arguments must outlive the WorkerManager.
    WorkerManager(Env& env, const Settings& settings, StateCache& state_cache, ClusterCoordinator& cluster,
                  const CancellationWatermark& cancellation_watermark, TaskCommitter& committer,
                  PeerChannel& peers);
    /// Starts the periodic work. To be called once.
    void start();

    /// Handles a worker's heartbeat. See HeartbeatHandler::handle_heartbeat.
    void handle_heartbeat(const wire::Heartbeat& heartbeat, const Reply& reply);

    /// Handles a placement request in the role of a scorer: sends placement offers to the request's gatherer.
    void on_placement_request(const wire::PlacementRequest& request);
    /// Handles a placement decision in the role of a scorer: commits task starts on the machines that the
    /// gatherer chose.
    void on_placement_decision(const wire::PlacementDecision& decision);

    /// Handles the autoscaler's request to place no more tasks on a machine.
    void on_drain_request(const NodeName& from, const wire::DrainRequest& request);
    /// Handles the autoscaler's notification that the cloud terminated machines: releases their tasks.
    void on_machines_terminated(const wire::MachinesTerminatedNotification& notification);
    /// Handles the autoscaler's update of the machines that are reserved for certain jobs.
    void on_reservation_update(const wire::ReservationUpdate& update);
    /// Handles the autoscaler's request to stop a task for a job of higher rank, with time to save a
    /// checkpoint.
    void on_preemption_request(const wire::PreemptionRequest& request);

    /// Handles a peer's heartbeat: keeps the machine addresses that it contains, to announce new terms to
    /// these machines.
    void on_peer_heartbeat(const wire::PeerHeartbeat& heartbeat);
    /// Handles the cloud's machine list: keeps the machine addresses that it contains, to announce new terms
    /// to these machines.
    void on_machines_discovered(const wire::MachinesDiscoveredNotification& notification);
    /// Called when this node becomes the shard's leader. Announces the new term to the shard's machines.
    void on_leadership_acquired(std::uint32_t shard);

    /// Called when the tasks placed on a machine change. Discards the machine's cached free capacity.
    void on_placement_changed(const MachineId& id) { capacity_.invalidate(id); }
    /// Called when a job is added to or removed from the state cache. Recomputes the free capacity that
    /// depends on unknown jobs.
    void on_jobs_changed() { capacity_.on_jobs_changed(); }
    /// Sends stop commands for a cancelled job's tasks on machines of this node's shards, without waiting for
    /// the machines' next heartbeats.
    void on_job_cancelled(const JobId& id) { sender_.stop_job(id); }

    /// Returns the status of every machine in this node's shards, for the heartbeat to the other controllers.
    [[nodiscard]] std::vector<wire::MachineStatus> machine_statuses() { return reporter_.machine_statuses(); }
    /// Numbers of events since the process started, for the status page.
    struct Counts {
        std::uint64_t heartbeats = 0, stale_heartbeats = 0, leases_not_renewed = 0, placement_requests = 0,
                      offers = 0, capacity_computations = 0, heartbeat_requests = 0;
    };
    [[nodiscard]] Counts counts() const;
    /// Returns the step durations of the task starts that this node decided.
    [[nodiscard]] const StartDurationHistograms& start_durations() const {
        return start_tracker_.start_durations();
    }

  private:
    static constexpr Duration periodic_work_interval = std::chrono::milliseconds(500);
    void run_periodic_work();
    void on_machine_removed(const MachineId& id) override;
    Env& env_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    MachineRegistry registry_;
    CapacityTracker capacity_;
    MachineCordons cordons_;
    ReservedMachines reserved_machines_;
    StartTracker start_tracker_;
    MachineAvailability availability_;
    CapacityNotifier notifier_;
    CommandSender sender_;
    LeadershipAnnouncer announcer_;
    TaskReconciler reconciler_;
    LeaseMonitor lease_monitor_;
    HeartbeatHandler heartbeat_handler_;
    PlacementScorer scorer_;
    MachineStatusReporter reporter_;
};

}  // namespace zincdyke
