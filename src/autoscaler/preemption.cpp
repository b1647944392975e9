#include "autoscaler/preemption.h"

#include <algorithm>

#include "base/log.h"

namespace zincdyke::autoscaler {
namespace {
constexpr Duration clearing_memory = std::chrono::seconds(12);
// What was there before this autoscaler leader was elected may have run for long.
constexpr Duration unknown_run_time = std::chrono::hours(1);
}  // namespace

Preemptor::Preemptor(Env& env, const Policy& policy, const StateCache& state_cache,
                     const MachineInventory& inventory, PeerChannel& peers)
    : env_(env), policy_(policy), state_cache_(state_cache), inventory_(inventory), peers_(peers) {}

void Preemptor::reset() {
    tracking_ = false;
    placed_since_.clear();
}

void Preemptor::track_placements() {
    const SteadyTime now = env_.now();
    const SteadyTime unknown_since = tracking_ ? now : now - unknown_run_time;
    std::map<std::pair<TaskRef, Attempt>, SteadyTime> still_placed;
    for (const auto& [id, tasks] : state_cache_.tasks_by_machine())
        for (const auto& ref : tasks) {
            const std::pair key{ref, state_cache_.task(ref).attempt};
            auto known = placed_since_.find(key);
            still_placed.emplace(key, known != placed_since_.end() ? known->second : unknown_since);
        }
    placed_since_ = std::move(still_placed);
    tracking_ = true;
}

void Preemptor::expire() {
    const SteadyTime now = env_.now();
    std::erase_if(clearing_, [&](const auto& entry) { return now - entry.second > clearing_memory; });
}

// Stopping what saves loses nothing. Of the rest only tasks of lower rank that have just begun are stopped:
// most of their time so far went into their image, which stays.
std::optional<double> Preemptor::loss_of(const Bin& machine, const wire::JobSpec& spec,
                                         const sched::Reservation& reservation) const {
    const wire::MachineType* type = state_cache_.machine_type(machine.type);
    if (type == nullptr) return std::nullopt;
    Resources beside_services = type->capacity;
    double loss_s = 0;
    for (const auto& ref : state_cache_.tasks_on(machine.id)) {
        const Job* job = state_cache_.job(ref.job);
        if (job == nullptr) return std::nullopt;
        if (job->spec.is_service()) {
            beside_services -= job->spec.need;
            if (!beside_services.covers(spec.need)) return std::nullopt;
            continue;
        }
        if (job->spec.rank <= reservation.rank || job->spec.shape != wire::Shape::array) return std::nullopt;
        if (sched::can_be_preempted_for(job->spec, reservation)) continue;
        auto since = placed_since_.find({ref, state_cache_.task(ref).attempt});
        if (since == placed_since_.end()) return std::nullopt;
        const double ran_s = to_seconds(env_.now() - since->second);
        if (ran_s > policy_.max_lost_work_s) return std::nullopt;
        loss_s += ran_s;
    }
    return loss_s;
}

std::size_t Preemptor::make_room(const std::vector<RatedBin>& machines, std::size_t waiting,
                                 const wire::JobSpec& spec, const sched::Reservation& reservation) {
    std::vector<std::pair<double, MachineId>> candidates;  // by what clearing them would lose
    for (const auto& [rating, bin] : machines) {
        const bool free_now = std::any_of(bin->slots.begin(), bin->slots.end(), [&](const Slot& slot) {
            return slot.free_at <= 0 && slot.room.covers(spec.need);
        });
        if (free_now || is_clearing(bin->id)) {
            if (waiting > 0) --waiting;
            continue;
        }
        const auto loss_s = loss_of(*bin, spec, reservation);
        if (loss_s && !state_cache_.tasks_on(bin->id).empty()) candidates.emplace_back(*loss_s, bin->id);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::size_t clearable = 0;
    for (const auto& [loss_s, id] : candidates) {
        if (waiting > 0) {
            --waiting;
            clear(id, loss_s, reservation);
        } else if (loss_s == 0) {
            ++clearable;
        }
    }
    return clearable;
}

void Preemptor::clear(const MachineId& id, double loss_s, const sched::Reservation& reservation) {
    clearing_[id] = env_.now();
    const MachineReport* report = inventory_.find_report(id);
    for (const auto& ref : state_cache_.tasks_on(id)) {
        const Job* job = state_cache_.job(ref.job);
        if (job != nullptr && job->spec.is_service()) continue;
        log::info("event=preemption_planned task={} machine={} for_class={} loss_s={:.1f}", ref.str(),
                  id.value(), reservation.job_class, loss_s);
        if (report != nullptr)
            peers_.send(report->leader,
                        wire::PreemptionRequest{ref.job, ref.task, state_cache_.task(ref).attempt});
    }
}

}  // namespace zincdyke::autoscaler
