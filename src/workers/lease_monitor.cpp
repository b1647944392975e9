#include "workers/lease_monitor.h"

#include <algorithm>

#include "base/log.h"

namespace zincdyke {

LeaseMonitor::LeaseMonitor(Env& env, const Settings& settings, const StateCache& state_cache,
                           ClusterCoordinator& cluster, MachineRegistry& registry,
                           const LeadershipAnnouncer& announcer, TaskReconciler& reconciler)
    : env_(env),
      settings_(settings),
      state_cache_(state_cache),
      cluster_(cluster),
      registry_(registry),
      announcer_(announcer),
      reconciler_(reconciler) {}

void LeaseMonitor::on_heartbeat(const MachineId& id) {
    activity_by_shard_[state_cache_.shard_of(id)].last_heartbeat_at = env_.now();
}

void LeaseMonitor::on_leadership_acquired(std::uint32_t shard) {
    const SteadyTime now = env_.now();
    activity_by_shard_[shard] = {now, {}};
    for (const auto& [id, tasks] : state_cache_.tasks_by_machine())
        if (state_cache_.shard_of(id) == shard) registry_.find_or_add(id);
    for (auto& [id, machine] : registry_)
        if (state_cache_.shard_of(id) == shard) machine.monitored_since = now;
}

void LeaseMonitor::transfer_silent_shards() {
    if (!cluster_.is_up_to_date()) return;
    const SteadyTime now = env_.now();
    const Duration lease = seconds(settings_.lease_s);
    // This node transfers a shard's leadership if no machine of the shard has sent a heartbeat for longer
    // than this time. Every connected machine normally sends a heartbeat within this time.
    const Duration max_silence =
        seconds(std::max(settings_.heartbeat_interval_s * 1.75, settings_.lease_s * 0.3));
    std::map<std::uint32_t, std::size_t> reachable_machine_counts;
    for (const auto& [id, machine] : registry_)
        if (now - machine.link.last_message_at() < lease)
            ++reachable_machine_counts[state_cache_.shard_of(id)];
    auto known_machine_counts = announcer_.machine_counts_by_shard();
    for (const auto& [shard, activity] : activity_by_shard_) {
        if (!cluster_.term(shard)) continue;
        const bool has_received_heartbeat = activity.last_heartbeat_at > activity.acquired_at;
        const bool fell_silent = has_received_heartbeat && now - activity.last_heartbeat_at > max_silence &&
                                 reachable_machine_counts[shard] >= min_silent_machines;
        // A leader that has received no heartbeat from a shard since it acquired the shard transfers it after
        // two lease durations, so that other controllers are tried in turn.
        const bool never_received_heartbeat = !has_received_heartbeat &&
                                              now - activity.acquired_at > 2 * lease &&
                                              known_machine_counts[shard] >= min_silent_machines;
        if (fell_silent || never_received_heartbeat) cluster_.transfer_leadership(shard);
    }
}

void LeaseMonitor::expire_leases() {
    register_machines_with_tasks();
    for (auto& [id, machine] : registry_) expire_lease_if_overdue(id, machine);
    registry_.remove_if([&](const MachineId& id, const Machine& machine) { return can_remove(id, machine); });
}

// Registers machines that this node knows only from the tasks placed on them, so that it reports their
// silence to the other controllers.
void LeaseMonitor::register_machines_with_tasks() {
    for (const auto& [id, tasks] : state_cache_.tasks_by_machine())
        if (cluster_.leader_term(id)) registry_.find_or_add(id);
}

// Releases the machine's tasks if its lease has certainly expired. Requires that the machine has received
// this node's term, because then no other leader can have renewed the lease.
void LeaseMonitor::expire_lease_if_overdue(const MachineId& id, Machine& machine) {
    const auto term = cluster_.leader_term(id);
    const SteadyTime now = env_.now();
    if (!term || !machine.link.has_received_term(*term) ||
        now - machine.link.last_message_at() <= max_lease_duration(settings_.lease_s))
        return;
    log::debug("event=lease_expired machine={} last_heartbeat={:.3f} at={:.3f}", id.value(),
               to_seconds(machine.link.last_message_at().time_since_epoch()),
               to_seconds(now.time_since_epoch()));
    machine.link.mark_lease_expired(*term);
    reconciler_.release_all_tasks(id, ReleaseReason::lease_expired);
}

bool LeaseMonitor::can_remove(const MachineId& id, const Machine& machine) const {
    if (!state_cache_.tasks_on(id).empty()) return false;
    const SteadyTime silent_since = std::max(machine.link.last_message_at(), machine.monitored_since);
    return !cluster_.leader_term(id) ||
           env_.now() - silent_since > seconds(settings_.lease_s * remove_after_leases);
}

}  // namespace zincdyke
