#include "workers/capacity_tracker.h"

#include <utility>

namespace zincdyke {

Resources CapacityTracker::free_capacity(const MachineId& id, Machine& machine) {
    CachedCapacity& cached = machine.cached_capacity;
    if (!cached.free || cached.inputs_version != inputs_version_) {
        ++computation_count_;
        cached.free = compute_free_capacity(id, machine);
        cached.inputs_version = inputs_version_;
    }
    return *cached.free;
}

Resources CapacityTracker::compute_free_capacity(const MachineId& id, const Machine& machine) {
    const auto* type = state_cache_.machine_type(machine.type);
    if (type == nullptr) return {};
    Resources free = type->capacity;
    const auto& placed = state_cache_.tasks_on(id);
    // The capacity of an ended attempt is free as soon as the machine reports the end, which is before the
    // end is committed.
    for (const auto& task : placed)
        if (const Job* job = state_cache_.job(task.job);
            job != nullptr && !machine.ended_attempts.contains({task, state_cache_.task(task).attempt}))
            free -= job->spec.need;
    // Running tasks that the worker reports but that are not placed on the machine use capacity as well.
    for (const auto& task : machine.active_tasks) {
        if (placed.contains(task)) continue;
        const Job* job = state_cache_.job(task.job);
        if (job == nullptr) {
            has_unknown_jobs_ = true;
            return {};
        }
        free -= job->spec.need;
    }
    if (const auto reserved = reservations_by_machine_.find(id); reserved != reservations_by_machine_.end()) {
        free -= reserved->second.offered_capacity;
        for (const auto& [task, need] : reserved->second.pending_starts)
            if (!placed.contains(task)) free -= need;
    }
    return free;
}

bool CapacityTracker::is_idle(const MachineId& id, const Machine& machine) const {
    return state_cache_.tasks_on(id).empty() && machine.active_tasks.empty() &&
           !reservations_by_machine_.contains(id);
}

void CapacityTracker::invalidate(const MachineId& id) {
    if (Machine* machine = registry_.find(id); machine != nullptr) machine->cached_capacity.free.reset();
}

void CapacityTracker::on_jobs_changed() {
    if (std::exchange(has_unknown_jobs_, false)) ++inputs_version_;
}

void CapacityTracker::refresh_machine_types() {
    const Revision current = state_cache_.version(keys::machine_types);
    if (std::exchange(machine_types_version_, current) != current) ++inputs_version_;
}

void CapacityTracker::reserve_offers(const wire::RoundId& round, const Resources& need,
                                     const std::vector<wire::PlacementOffer>& offers) {
    if (offers.empty()) return;
    release_offers(round);
    RoundReservation& reservation = reservations_by_round_[round];
    reservation.need = need;
    reservation.expires_at = env_.now() + reservation_timeout;
    for (const auto& offer : offers) {
        reservation.machines.push_back(offer.machine);
        reservations_by_machine_[offer.machine].offered_capacity += need;
        invalidate(offer.machine);
    }
}

void CapacityTracker::release_offers(const wire::RoundId& round) {
    const auto found = reservations_by_round_.find(round);
    if (found == reservations_by_round_.end()) return;
    for (const auto& id : found->second.machines) {
        MachineReservations& reserved = reservations_by_machine_[id];
        reserved.offered_capacity -= found->second.need;
        invalidate(id);
        if (reserved.is_empty()) reservations_by_machine_.erase(id);
    }
    reservations_by_round_.erase(found);
}

void CapacityTracker::expire_reservations() {
    const SteadyTime now = env_.now();
    std::vector<wire::RoundId> expired;
    for (const auto& [round, reservation] : reservations_by_round_)
        if (reservation.expires_at < now) expired.push_back(round);
    for (const auto& round : expired) release_offers(round);
}

void CapacityTracker::reserve_start(const TaskRef& task, const MachineId& id, const Resources& need) {
    pending_starts_[task] = id;
    reservations_by_machine_[id].pending_starts[task] = need;
    invalidate(id);
}

void CapacityTracker::release_start(const TaskRef& task) {
    const auto found = pending_starts_.find(task);
    if (found == pending_starts_.end()) return;
    MachineReservations& reserved = reservations_by_machine_[found->second];
    reserved.pending_starts.erase(task);
    invalidate(found->second);
    if (reserved.is_empty()) reservations_by_machine_.erase(found->second);
    pending_starts_.erase(found);
}

}  // namespace zincdyke
