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
    contacts_[state_cache_.shard_of(id)].last_heartbeat = env_.now();
}

void LeaseMonitor::on_leadership_acquired(std::uint32_t shard) {
    const SteadyTime now = env_.now();
    contacts_[shard] = {now, {}};
    for (const auto& [id, tasks] : state_cache_.tasks_by_machine())
        if (state_cache_.shard_of(id) == shard) registry_.find_or_add(id);
    for (auto& [id, machine] : registry_)
        if (state_cache_.shard_of(id) == shard) machine.monitored_since = now;
}

void LeaseMonitor::transfer_silent_shards() {
    if (!cluster_.is_up_to_date()) return;
    const SteadyTime now = env_.now();
    const Duration lease = seconds(settings_.lease_s);
    // Longer than several machines would be silent by chance.
    const Duration max_silence = seconds(std::max(settings_.report_s * 1.75, settings_.lease_s * 0.3));
    std::map<std::uint32_t, std::size_t> reachable_counts;
    for (const auto& [id, machine] : registry_)
        if (now - machine.link.last_received() < lease) ++reachable_counts[state_cache_.shard_of(id)];
    auto known_counts = announcer_.machine_counts();
    for (const auto& [shard, contact] : contacts_) {
        if (!cluster_.term(shard)) continue;
        const bool was_heard = contact.last_heartbeat > contact.acquired;
        const bool fell_silent = was_heard && now - contact.last_heartbeat > max_silence &&
                                 reachable_counts[shard] >= min_silent_machines;
        // Should the next leader receive none either, it passes the shard on after two leases.
        const bool was_never_heard =
            !was_heard && now - contact.acquired > 2 * lease && known_counts[shard] >= min_silent_machines;
        if (fell_silent || was_never_heard) cluster_.transfer_leadership(shard);
    }
}

void LeaseMonitor::expire_leases() {
    watch_machines_with_tasks();
    for (auto& [id, machine] : registry_) expire_if_due(id, machine);
    registry_.remove_if(
        [&](const MachineId& id, const Machine& machine) { return is_forgettable(id, machine); });
}

// A machine that only its committed tasks tell of is watched too: its silence must come to an end.
void LeaseMonitor::watch_machines_with_tasks() {
    for (const auto& [id, tasks] : state_cache_.tasks_by_machine())
        if (cluster_.leader_term(id)) registry_.find_or_add(id);
}

// Only a machine that has shown our term is judged: nobody else renewed its lease then.
void LeaseMonitor::expire_if_due(const MachineId& id, Machine& machine) {
    const auto term = cluster_.leader_term(id);
    const SteadyTime now = env_.now();
    if (!term || !machine.link.has_received_term(*term) ||
        now - machine.link.last_received() <= max_lease_duration(settings_.lease_s))
        return;
    log::debug("event=lease_expired machine={} last_heartbeat={:.3f} at={:.3f}", id.value(),
               to_seconds(machine.link.last_received().time_since_epoch()),
               to_seconds(now.time_since_epoch()));
    machine.link.mark_lease_expired(*term);
    reconciler_.release_all(id, ReleaseReason::lease_expired);
}

bool LeaseMonitor::is_forgettable(const MachineId& id, const Machine& machine) const {
    if (!state_cache_.tasks_on(id).empty()) return false;
    const SteadyTime last_sign = std::max(machine.link.last_received(), machine.monitored_since);
    return !cluster_.leader_term(id) ||
           env_.now() - last_sign > seconds(settings_.lease_s * forget_after_leases);
}

}  // namespace zincdyke
