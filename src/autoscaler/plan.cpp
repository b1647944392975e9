#include "autoscaler/plan.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

#include "sched/logic.h"

namespace zincdyke::autoscaler {
namespace {
constexpr std::size_t max_considered = 50'000;  // tasks: a plan must not stall the loop
constexpr double boot_margin_s = 0.1;           // what is rented now is counted on this long after its boot

double fetch_time(const wire::JobSpec& spec, const wire::MachineType& type) {
    return spec.image_gb / type.fetch_gb_per_s;
}

// The slots that one demand may use, the soonest first. Looked up once for all of its tasks: a search through
// all machines for each task took a third of a controller's share at nine hundred of them.
class Openings {
  public:
    Openings(std::vector<Bin>& bins, const Demand& demand, const std::vector<wire::MachineType>& types)
        : bins_(bins), demand_(demand), types_(types) {
        for (std::size_t b = 0; b < bins.size(); ++b) add_bin(b);
    }
    void add_bin(std::size_t b) {
        const Bin& bin = bins_[b];
        const wire::MachineType* type = usable_type(bin);
        if (type == nullptr) return;
        if (bin.reserved && !sched::may_use_reserved(*demand_.spec, *bin.reserved)) return;
        for (std::size_t i = 0; i < bin.slots.size(); ++i) add(bin.slots[i], b, i, type);
    }
    // Puts one task into the slot that is free first, if that is early enough.
    bool place(double max_wait_s) {
        while (!heap_.empty()) {
            const Entry entry = heap_.top();
            Slot& slot = bins_[entry.bin].slots[entry.slot];
            if (!slot.room.covers(demand_.spec->need)) {
                heap_.pop();
                continue;
            }
            if (entry.free_at > max_wait_s) return false;
            Bin& bin = bins_[entry.bin];
            const bool first = !std::exchange(bin.used, true);
            slot.room -= demand_.spec->need;
            bin.slots.push_back(
                {entry.free_at + demand_.run_time_s + (first ? fetch_time(*demand_.spec, *entry.type) : 0),
                 demand_.spec->need});
            add(bin.slots.back(), entry.bin, bin.slots.size() - 1, entry.type);
            return true;
        }
        return false;
    }

  private:
    struct Entry {
        double free_at = 0;
        std::size_t bin = 0, slot = 0;
        const wire::MachineType* type = nullptr;
        // The top of the heap is the soonest, then the first listed.
        bool operator<(const Entry& other) const {
            return std::tie(other.free_at, other.bin, other.slot) < std::tie(free_at, bin, slot);
        }
    };
    void add(const Slot& free, std::size_t bin, std::size_t slot, const wire::MachineType* type) {
        if (free.room.covers(demand_.spec->need)) heap_.push({free.free_at, bin, slot, type});
    }
    // Machines come in few kinds: each is judged once.
    const wire::MachineType* usable_type(const Bin& bin) {
        for (const auto& [like, type] : kinds_)
            if (like->type == bin.type && like->zone == bin.zone && like->spot == bin.spot) return type;
        const wire::MachineType* found = nullptr;
        auto known = std::find_if(types_.begin(), types_.end(),
                                  [&](const auto& kind) { return kind.name == bin.type; });
        if (known != types_.end() &&
            sched::machine_allowed(*demand_.spec, demand_.required_zone, bin.type, bin.zone, bin.spot) &&
            sched::should_use_type(*demand_.spec, *known, types_))
            found = &*known;
        seen_.push_back({bin.type, bin.zone, bin.spot});
        kinds_.emplace_back(&seen_.back(), found);
        return found;
    }
    std::vector<Bin>& bins_;
    const Demand& demand_;
    const std::vector<wire::MachineType>& types_;
    std::deque<MachineKind> seen_;
    std::vector<std::pair<const MachineKind*, const wire::MachineType*>> kinds_;
    std::priority_queue<Entry> heap_;
};

// A kind of machine to rent, with its type.
struct RentChoice {
    MachineKind kind;
    const wire::MachineType* type = nullptr;
};

// Packs demands one after another, the most urgent first.
class Planner {
  public:
    explicit Planner(PlanInput& input) : input_(input) {}
    Plan make();

  private:
    // How a machine of a type would serve a demand.
    struct Service {
        double tasks = 0;  // that it takes on
        double rented_s = 0;
    };
    void plan_demand(Demand& demand);
    void wait_for_boot(Demand& demand) const;
    bool place_on_new(const Demand& demand, Openings& openings, TaskIndex left);
    std::optional<RentChoice> cheapest_kind(const Demand& demand, TaskIndex left) const;
    static Service service(const Demand& demand, const wire::MachineType& type, TaskIndex left);

    PlanInput& input_;
    Plan plan_;
    std::size_t considered_ = 0, rented_ = 0;
};

Plan Planner::make() {
    for (Demand& demand : input_.demands) {
        wait_for_boot(demand);
        plan_demand(demand);
    }
    for (const Bin& bin : input_.machine_bins)
        if (bin.used && !bin.id.empty()) plan_.needed_machines.insert(bin.id);
    return std::move(plan_);
}

// No machine rented now is there before its boot is over: until then, renting helps nobody.
void Planner::wait_for_boot(Demand& demand) const {
    std::optional<double> soonest;
    for (const auto& type : *input_.machine_types)
        if (sched::type_allowed(*demand.spec, type))
            soonest = std::min(soonest.value_or(type.boot_s), type.boot_s);
    if (soonest) demand.max_wait_s = std::max(demand.max_wait_s, *soonest + boot_margin_s);
}

void Planner::plan_demand(Demand& demand) {
    TaskIndex left = demand.task_count;
    if (left == 0 || considered_ >= max_considered) return;
    Openings openings(input_.machine_bins, demand, *input_.machine_types);
    while (left > 0 && considered_ < max_considered) {
        ++considered_;
        if (!openings.place(demand.max_wait_s) && !place_on_new(demand, openings, left)) return;
        --left;
    }
}

// Rents one more machine for a demand of which `left` tasks have no place yet.
bool Planner::place_on_new(const Demand& demand, Openings& openings, TaskIndex left) {
    if (rented_ >= input_.max_new_machines) return false;
    const std::optional<RentChoice> choice = cheapest_kind(demand, left);
    if (!choice) return false;
    const auto& [kind, type] = *choice;
    ++plan_.new_machines[kind];
    ++rented_;
    input_.machine_bins.push_back(
        {MachineId(), kind.type, kind.zone, kind.spot, {{type->boot_s, type->capacity}}, true, {}});
    openings.add_bin(input_.machine_bins.size() - 1);
    // Nothing is there sooner than a boot takes: what is rented for this task serves it however patient it
    // is.
    return openings.place(std::max(demand.max_wait_s, type->boot_s + boot_margin_s));
}

// The kind that costs least for each of the tasks that it would take on.
std::optional<RentChoice> Planner::cheapest_kind(const Demand& demand, TaskIndex left) const {
    std::optional<RentChoice> cheapest;
    double least = std::numeric_limits<double>::max();
    for (const auto& type : *input_.machine_types) {
        if (!sched::type_allowed(*demand.spec, type)) continue;
        if (!sched::should_use_type(*demand.spec, type, *input_.machine_types)) continue;
        const Service served = service(demand, type, left);
        for (const auto& zone : type.zones)
            for (const bool spot : {true, false}) {
                MachineKind kind{type.name, zone, spot};
                if (!sched::machine_allowed(*demand.spec, demand.required_zone, type.name, zone, spot) ||
                    input_.unavailable_kinds.contains(kind))
                    continue;
                const double cost = (spot ? type.spot_price : type.price) * served.rented_s / served.tasks;
                if (cost < least) {
                    least = cost;
                    cheapest = RentChoice{std::move(kind), &type};
                }
            }
    }
    return cheapest;
}

Planner::Service Planner::service(const Demand& demand, const wire::MachineType& type, TaskIndex left) {
    const auto tasks = static_cast<std::int64_t>(left);
    auto fitting = [&](std::int64_t has, std::int64_t need) { return need > 0 ? has / need : tasks; };
    const Resources& need = demand.spec->need;
    const std::int64_t at_once =
        std::min({fitting(type.capacity.cpu, need.cpu), fitting(type.capacity.gpu, need.gpu),
                  fitting(type.capacity.ram, need.ram)});
    const double turns =
        std::max(1.0, 1 + (demand.max_wait_s - type.boot_s) / std::max(1.0, demand.run_time_s));
    const double taken = std::min(static_cast<double>(tasks), static_cast<double>(at_once) * turns);
    const double run_time_s = demand.run_time_s * std::max(1.0, taken / static_cast<double>(at_once));
    return {taken, type.boot_s + fetch_time(*demand.spec, type) + run_time_s};
}
}  // namespace

Plan make_plan(PlanInput input) { return Planner(input).make(); }

}  // namespace zincdyke::autoscaler
