#include "autoscaler/preemption.h"

#include <algorithm>

#include "base/log.h"

namespace zincdyke::autoscaler {
namespace {
constexpr Duration preemption_timeout = std::chrono::seconds(12);
// Tasks that were placed before this autoscaler leader was elected are assumed to have run for this long.
constexpr Duration assumed_run_time = std::chrono::hours(1);
}  // namespace

Preemptor::Preemptor(Env& env, const Policy& policy, const StateCache& state_cache,
                     const MachineInventory& inventory, PeerChannel& peers)
    : env_(env), policy_(policy), state_cache_(state_cache), inventory_(inventory), peers_(peers) {}

void Preemptor::stop_tracking_placements() {
    is_tracking_ = false;
    placed_at_.clear();
}

void Preemptor::track_placements() {
    const SteadyTime now = env_.now();
    const SteadyTime default_placed_at = is_tracking_ ? now : now - assumed_run_time;
    std::map<std::pair<TaskRef, Attempt>, SteadyTime> still_placed;
    for (const auto& [id, tasks] : state_cache_.tasks_by_machine())
        for (const auto& ref : tasks) {
            const std::pair key{ref, state_cache_.task(ref).attempt};
            auto previous = placed_at_.find(key);
            still_placed.emplace(key, previous != placed_at_.end() ? previous->second : default_placed_at);
        }
    placed_at_ = std::move(still_placed);
    is_tracking_ = true;
}

void Preemptor::remove_expired_requests() {
    const SteadyTime now = env_.now();
    std::erase_if(preempted_at_, [&](const auto& entry) { return now - entry.second > preemption_timeout; });
}

// Besides service replicas, the machine may run only array tasks of lower rank than the reservation. A task
// that can save a checkpoint in time loses no work. A task that cannot may be preempted only during the first
// `max_lost_work_s` seconds after its placement, when little work is lost: part of that time was spent on
// fetching its container image, which stays cached on the machine.
std::optional<double> Preemptor::preemption_cost_s(const MachineBin& machine, const wire::JobSpec& spec,
                                                   const sched::Reservation& reservation) const {
    const wire::MachineType* type = state_cache_.machine_type(machine.type);
    if (type == nullptr) return std::nullopt;
    Resources capacity_beside_services = type->capacity;
    double lost_work_s = 0;
    for (const auto& ref : state_cache_.tasks_on(machine.id)) {
        const Job* job = state_cache_.job(ref.job);
        if (job == nullptr) return std::nullopt;
        if (job->spec.is_service()) {
            capacity_beside_services -= job->spec.need;
            if (!capacity_beside_services.covers(spec.need)) return std::nullopt;
            continue;
        }
        if (job->spec.rank <= reservation.rank || job->spec.shape != wire::Shape::array) return std::nullopt;
        if (sched::can_be_preempted_for(job->spec, reservation)) continue;
        auto placed_at = placed_at_.find({ref, state_cache_.task(ref).attempt});
        if (placed_at == placed_at_.end()) return std::nullopt;
        const double run_time_s = to_seconds(env_.now() - placed_at->second);
        if (run_time_s > policy_.max_lost_work_s) return std::nullopt;
        lost_work_s += run_time_s;
    }
    return lost_work_s;
}

std::size_t Preemptor::preempt_for_waiting_tasks(const std::vector<ReservationCandidate>& candidates,
                                                 std::size_t waiting_tasks, const wire::JobSpec& spec,
                                                 const sched::Reservation& reservation) {
    std::vector<std::pair<double, MachineId>>
        preemptible;  // machines with preemptible tasks, each with the lost work in seconds
    for (const auto& [cost, bin] : candidates) {
        const bool has_free_capacity =
            std::any_of(bin->slots.begin(), bin->slots.end(), [&](const CapacitySlot& slot) {
                return slot.available_in_s <= 0 && slot.capacity.covers(spec.need);
            });
        if (has_free_capacity || is_being_preempted(bin->id)) {
            if (waiting_tasks > 0) --waiting_tasks;
            continue;
        }
        const auto lost_work_s = preemption_cost_s(*bin, spec, reservation);
        if (lost_work_s && !state_cache_.tasks_on(bin->id).empty())
            preemptible.emplace_back(*lost_work_s, bin->id);
    }
    std::stable_sort(preemptible.begin(), preemptible.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::size_t preemptible_without_loss = 0;
    for (const auto& [lost_work_s, id] : preemptible) {
        if (waiting_tasks > 0) {
            --waiting_tasks;
            preempt_tasks_on(id, lost_work_s, reservation);
        } else if (lost_work_s == 0) {
            ++preemptible_without_loss;
        }
    }
    return preemptible_without_loss;
}

void Preemptor::preempt_tasks_on(const MachineId& id, double lost_work_s,
                                 const sched::Reservation& reservation) {
    preempted_at_[id] = env_.now();
    const MachineReport* report = inventory_.find_report(id);
    for (const auto& ref : state_cache_.tasks_on(id)) {
        const Job* job = state_cache_.job(ref.job);
        if (job != nullptr && job->spec.is_service()) continue;
        log::info("event=preemption_planned task={} machine={} for_class={} loss_s={:.1f}", ref.str(),
                  id.value(), reservation.job_class, lost_work_s);
        if (report != nullptr)
            peers_.send(report->leader,
                        wire::PreemptionRequest{ref.job, ref.task, state_cache_.task(ref).attempt});
    }
}

}  // namespace zincdyke::autoscaler
