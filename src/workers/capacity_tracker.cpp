#include "workers/capacity_tracker.h"

#include <utility>

namespace zincdyke {

Resources CapacityTracker::free_capacity(const MachineId& id, Machine& machine) {
    CachedCapacity& cached = machine.cached_capacity;
    if (!cached.free || cached.version != version_) {
        ++computation_count_;
        cached.free = compute(id, machine);
        cached.version = version_;
    }
    return *cached.free;
}

Resources CapacityTracker::compute(const MachineId& id, const Machine& machine) {
    const auto* type = state_cache_.machine_type(machine.type);
    if (type == nullptr) return {};
    Resources free = type->capacity;
    const auto& placed = state_cache_.tasks_on(id);
    // An end takes a while to be committed; the machine's report that the task ended frees its capacity
    // before.
    for (const auto& task : placed)
        if (const Job* job = state_cache_.job(task.job);
            job != nullptr && !machine.ended_attempts.contains({task, state_cache_.task(task).attempt}))
            free -= job->spec.need;
    // What the worker still reports of others occupies it too.
    for (const auto& task : machine.active_tasks) {
        if (placed.contains(task)) continue;
        const Job* job = state_cache_.job(task.job);
        if (job == nullptr) {
            has_unknown_jobs_ = true;
            return {};
        }
        free -= job->spec.need;
    }
    if (const auto reserved = reservations_.find(id); reserved != reservations_.end()) {
        free -= reserved->second.offered;
        for (const auto& [task, need] : reserved->second.starting)
            if (!placed.contains(task)) free -= need;
    }
    return free;
}

bool CapacityTracker::is_idle(const MachineId& id, const Machine& machine) const {
    return state_cache_.tasks_on(id).empty() && machine.active_tasks.empty() && !reservations_.contains(id);
}

void CapacityTracker::invalidate(const MachineId& id) {
    if (Machine* machine = registry_.find(id); machine != nullptr) machine->cached_capacity.free.reset();
}

void CapacityTracker::on_jobs_changed() {
    if (std::exchange(has_unknown_jobs_, false)) ++version_;
}

void CapacityTracker::refresh_machine_types() {
    const Revision current = state_cache_.version(keys::machine_types);
    if (std::exchange(machine_types_version_, current) != current) ++version_;
}

void CapacityTracker::reserve_offers(const wire::RoundId& round, const Resources& each,
                                     const std::vector<wire::PlacementOffer>& offers) {
    if (offers.empty()) return;
    release_offers(round);
    RoundReservation& reservation = rounds_[round];
    reservation.each = each;
    reservation.expires = env_.now() + reservation_timeout;
    for (const auto& offer : offers) {
        reservation.machines.push_back(offer.machine);
        reservations_[offer.machine].offered += each;
        invalidate(offer.machine);
    }
}

void CapacityTracker::release_offers(const wire::RoundId& round) {
    const auto found = rounds_.find(round);
    if (found == rounds_.end()) return;
    for (const auto& id : found->second.machines) {
        MachineReservations& reserved = reservations_[id];
        reserved.offered -= found->second.each;
        invalidate(id);
        if (reserved.is_empty()) reservations_.erase(id);
    }
    rounds_.erase(found);
}

void CapacityTracker::expire_reservations() {
    const SteadyTime now = env_.now();
    std::vector<wire::RoundId> expired;
    for (const auto& [round, reservation] : rounds_)
        if (reservation.expires < now) expired.push_back(round);
    for (const auto& round : expired) release_offers(round);
}

void CapacityTracker::reserve_start(const TaskRef& task, const MachineId& id, const Resources& need) {
    starting_[task] = id;
    reservations_[id].starting[task] = need;
    invalidate(id);
}

void CapacityTracker::release_start(const TaskRef& task) {
    const auto found = starting_.find(task);
    if (found == starting_.end()) return;
    MachineReservations& reserved = reservations_[found->second];
    reserved.starting.erase(task);
    invalidate(found->second);
    if (reserved.is_empty()) reservations_.erase(found->second);
    starting_.erase(found);
}

}  // namespace zincdyke
