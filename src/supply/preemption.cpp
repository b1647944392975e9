#include "supply/preemption.h"

#include <algorithm>

#include "base/log.h"

namespace zd::supply {
namespace {
constexpr Duration clearing_memory = std::chrono::seconds(12);
// What was there before this supplier was elected may have run for long.
constexpr Duration unknown_run_time = std::chrono::hours(1);
}  // namespace

Preemptor::Preemptor(Env& env, const Policy& policy, const Model& model, const MachineInventory& inventory,
                     SendPeer send)
    : env_(env), policy_(policy), model_(model), inventory_(inventory), send_(std::move(send)) {}

void Preemptor::reset() {
    tracking_ = false;
    placed_since_.clear();
}

void Preemptor::track_placements() {
    const Mono now = env_.now();
    const Mono unknown_since = tracking_ ? now : now - unknown_run_time;
    std::map<std::pair<TaskRef, Attempt>, Mono> still_placed;
    for (const auto& [id, tasks] : model_.machines())
        for (const auto& ref : tasks) {
            const std::pair key{ref, model_.task(ref).attempt};
            auto known = placed_since_.find(key);
            still_placed.emplace(key, known != placed_since_.end() ? known->second : unknown_since);
        }
    placed_since_ = std::move(still_placed);
    tracking_ = true;
}

void Preemptor::expire() {
    const Mono now = env_.now();
    std::erase_if(clearing_, [&](const auto& entry) { return now - entry.second > clearing_memory; });
}

// Stopping what saves loses nothing. Of the rest only tasks of lower rank that have just begun are stopped:
// most of their time so far went into their image, which stays.
std::optional<double> Preemptor::loss_of(const Bin& machine, const wire::JobSpec& spec,
                                         const sched::Reservation& reservation) const {
    const wire::MachineType* type = model_.type(machine.type);
    if (type == nullptr) return std::nullopt;
    Room beside_services = type->room;
    double loss_s = 0;
    for (const auto& ref : model_.on_machine(machine.id)) {
        const Job* job = model_.job(ref.job);
        if (job == nullptr) return std::nullopt;
        if (job->spec.is_service()) {
            beside_services -= job->spec.need;
            if (!beside_services.fits(spec.need)) return std::nullopt;
            continue;
        }
        if (job->spec.rank <= reservation.rank || job->spec.shape != wire::Shape::array) return std::nullopt;
        if (sched::yields(job->spec, reservation)) continue;
        auto since = placed_since_.find({ref, model_.task(ref).attempt});
        if (since == placed_since_.end()) return std::nullopt;
        const double ran_s = to_s(env_.now() - since->second);
        if (ran_s > policy_.preempt_loss_s) return std::nullopt;
        loss_s += ran_s;
    }
    return loss_s;
}

std::size_t Preemptor::make_room(const std::vector<RatedBin>& machines, std::size_t waiting,
                                 const wire::JobSpec& spec, const sched::Reservation& reservation) {
    std::vector<std::pair<double, MachineId>> candidates;  // by what clearing them would lose
    for (const auto& [rating, bin] : machines) {
        const bool free_now = std::any_of(bin->slots.begin(), bin->slots.end(), [&](const Slot& slot) {
            return slot.free_at <= 0 && slot.room.fits(spec.need);
        });
        if (free_now || is_clearing(bin->id)) {
            if (waiting > 0) --waiting;
            continue;
        }
        const auto loss_s = loss_of(*bin, spec, reservation);
        if (loss_s && !model_.on_machine(bin->id).empty()) candidates.emplace_back(*loss_s, bin->id);
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
    for (const auto& ref : model_.on_machine(id)) {
        const Job* job = model_.job(ref.job);
        if (job != nullptr && job->spec.is_service()) continue;
        log::info("event=preempt task={} machine={} for_class={} loss_s={:.1f}", ref.str(), id.v,
                  reservation.job_class, loss_s);
        if (report != nullptr)
            send_(report->owner, wire::Preempt{ref.job, ref.task, model_.task(ref).attempt});
    }
}

}  // namespace zd::supply
