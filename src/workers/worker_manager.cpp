#include "workers/worker_manager.h"

#include "base/log.h"

namespace zincdyke {

WorkerManager::WorkerManager(Env& env, const Settings& settings, StateCache& state_cache,
                             ClusterCoordinator& cluster, const CancellationWatermark& cancellation_watermark,
                             TaskCommitter& committer, PeerChannel& peers)
    : env_(env),
      state_cache_(state_cache),
      cluster_(cluster),
      registry_(env, *this),
      capacity_(env, state_cache, registry_),
      cordons_(env),
      reserved_machines_(env),
      start_tracker_(env, state_cache),
      availability_(env, settings, cluster, peers, registry_, capacity_, cordons_),
      notifier_(env, settings, state_cache, peers, capacity_, availability_),
      sender_(env, settings, state_cache, cluster, registry_, start_tracker_),
      announcer_(env, state_cache, cluster, registry_),
      reconciler_(settings, state_cache, cluster, committer, start_tracker_, cordons_, sender_),
      lease_monitor_(env, settings, state_cache, cluster, registry_, announcer_, reconciler_),
      heartbeat_handler_(env, settings, state_cache, cluster, cancellation_watermark, registry_,
                         availability_, notifier_, sender_, reconciler_, lease_monitor_),
      scorer_(env, settings, state_cache, cluster,
              {committer, peers, registry_, capacity_, availability_, cordons_, reserved_machines_,
               start_tracker_, heartbeat_handler_}),
      reporter_(env, settings, state_cache, cluster, registry_, capacity_, availability_) {}

void WorkerManager::start() { run_periodic_work(); }

void WorkerManager::run_periodic_work() {
    env_.after(periodic_work_interval, [this] { run_periodic_work(); });
    capacity_.refresh_machine_types();
    capacity_.expire_reservations();
    sender_.discard_ended_preemptions();
    if (!cluster_.is_synced()) return;
    announcer_.send_due_announcements();
    lease_monitor_.transfer_silent_shards();
    lease_monitor_.expire_leases();
    availability_.expire_drains();
}

void WorkerManager::handle_heartbeat(const wire::Heartbeat& heartbeat, const Reply& reply) {
    heartbeat_handler_.handle_heartbeat(heartbeat, reply);
}

void WorkerManager::on_placement_request(const wire::PlacementRequest& request) {
    scorer_.on_placement_request(request);
}

void WorkerManager::on_placement_decision(const wire::PlacementDecision& decision) {
    scorer_.on_placement_decision(decision);
}

void WorkerManager::on_drain_request(const NodeName& from, const wire::DrainRequest& request) {
    availability_.on_drain_request(from, request);
}

void WorkerManager::on_machines_terminated(const wire::MachinesTerminatedNotification& notification) {
    for (const auto& id : notification.machines) {
        announcer_.on_machine_terminated(id);
        registry_.mark_terminated(id);
        reconciler_.release_all_tasks(id, ReleaseReason::machine_terminated);
        if (state_cache_.tasks_on(id).empty()) registry_.remove(id);
        state_cache_.forget_machine(id);
    }
}

void WorkerManager::on_reservation_update(const wire::ReservationUpdate& update) {
    reserved_machines_.on_reservation_update(update);
}

void WorkerManager::on_preemption_request(const wire::PreemptionRequest& request) {
    sender_.on_preemption_request(request);
}

void WorkerManager::on_peer_heartbeat(const wire::PeerHeartbeat& heartbeat) {
    announcer_.on_peer_heartbeat(heartbeat);
}

void WorkerManager::on_machines_discovered(const wire::MachinesDiscoveredNotification& notification) {
    announcer_.on_machines_discovered(notification);
}

void WorkerManager::on_leadership_acquired(std::uint32_t shard) {
    log::info("event=shard_leadership_acquired shard={} term={}", shard, cluster_.term(shard)->value());
    lease_monitor_.on_leadership_acquired(shard);
    announcer_.reset_retries(shard);
    announcer_.send_due_announcements();
}

WorkerManager::Counts WorkerManager::counts() const {
    Counts counts;
    counts.heartbeats = heartbeat_handler_.counts().heartbeats;
    counts.stale_heartbeats = heartbeat_handler_.counts().stale_heartbeats;
    counts.leases_not_renewed = heartbeat_handler_.counts().leases_not_renewed;
    counts.placement_requests = scorer_.counts().placement_requests;
    counts.offers = scorer_.counts().offers;
    counts.capacity_computations = capacity_.computation_count();
    counts.heartbeat_requests = sender_.heartbeat_request_count();
    return counts;
}

void WorkerManager::on_machine_removed(const MachineId& id) {
    cordons_.on_machine_removed(id);
    start_tracker_.on_machine_removed(id);
    availability_.on_machine_removed(id);
    scorer_.on_machine_removed(id);
    reporter_.on_machine_removed(id);
}

}  // namespace zincdyke
