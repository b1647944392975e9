#include "autoscaler/plan.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

#include "sched/placement_rules.h"

namespace zincdyke::autoscaler {
namespace {
constexpr std::size_t max_planned_tasks = 50'000;  // limits how long planning blocks the event loop
constexpr double boot_margin_s = 0.1;  // tolerance when a maximum wait is compared with a boot time

double fetch_time_s(const wire::JobSpec& spec, const wire::MachineType& type) {
    return spec.image_gb / type.fetch_gb_per_s;
}

// The capacity slots that the tasks of one demand may use, ordered by when the slots become available. The
// slots are collected once for each demand, because searching all machines for each task would be slow.
class UsableSlots {
  public:
    UsableSlots(std::vector<MachineBin>& bins, const Demand& demand,
                const std::vector<wire::MachineType>& types)
        : bins_(bins), demand_(demand), types_(types) {
        for (std::size_t i = 0; i < bins.size(); ++i) add_bin(i);
    }
    void add_bin(std::size_t bin_index) {
        const MachineBin& bin = bins_[bin_index];
        const wire::MachineType* type = usable_type(bin);
        if (type == nullptr) return;
        if (bin.reservation && !sched::may_use_reserved(*demand_.spec, *bin.reservation)) return;
        for (std::size_t i = 0; i < bin.slots.size(); ++i) add(bin.slots[i], bin_index, i, type);
    }
    // Places one task of the demand into the capacity slot that is available first. Returns false if no slot
    // is available within `max_wait_s`.
    bool place_task(double max_wait_s) {
        while (!queue_.empty()) {
            const QueuedSlot queued = queue_.top();
            CapacitySlot& slot = bins_[queued.bin_index].slots[queued.slot_index];
            if (!slot.capacity.covers(demand_.spec->need)) {
                queue_.pop();
                continue;
            }
            if (queued.available_in_s > max_wait_s) return false;
            MachineBin& bin = bins_[queued.bin_index];
            const bool fetches_image = !std::exchange(bin.is_used, true);
            slot.capacity -= demand_.spec->need;
            bin.slots.push_back({queued.available_in_s + demand_.run_time_s +
                                     (fetches_image ? fetch_time_s(*demand_.spec, *queued.type) : 0),
                                 demand_.spec->need});
            add(bin.slots.back(), queued.bin_index, bin.slots.size() - 1, queued.type);
            return true;
        }
        return false;
    }

  private:
    struct QueuedSlot {
        double available_in_s = 0;
        std::size_t bin_index = 0;   // index of the machine in `bins_`
        std::size_t slot_index = 0;  // index of the capacity slot in that machine's `slots`
        const wire::MachineType* type = nullptr;
        // std::priority_queue returns the largest element first. A slot that is available earlier is
        // therefore the larger one; of slots available at the same time, the one with the lower indexes.
        bool operator<(const QueuedSlot& other) const {
            return std::tie(other.available_in_s, other.bin_index, other.slot_index) <
                   std::tie(available_in_s, bin_index, slot_index);
        }
    };
    void add(const CapacitySlot& slot, std::size_t bin_index, std::size_t slot_index,
             const wire::MachineType* type) {
        if (slot.capacity.covers(demand_.spec->need))
            queue_.push({slot.available_in_s, bin_index, slot_index, type});
    }
    // Returns the machine's type if tasks of the demand may run on the machine, otherwise null. The result is
    // cached, because it is the same for all machines of the same type, zone and spot attribute.
    const wire::MachineType* usable_type(const MachineBin& bin) {
        for (const auto& [kind, type] : usable_types_)
            if (kind->type == bin.type && kind->zone == bin.zone && kind->spot == bin.spot) return type;
        const wire::MachineType* usable = nullptr;
        auto found = std::find_if(types_.begin(), types_.end(),
                                  [&](const auto& type) { return type.name == bin.type; });
        if (found != types_.end() &&
            sched::machine_allowed(*demand_.spec, demand_.required_zone, bin.type, bin.zone, bin.spot) &&
            sched::should_use_type(*demand_.spec, *found, types_))
            usable = &*found;
        kinds_.push_back({bin.type, bin.zone, bin.spot});
        usable_types_.emplace_back(&kinds_.back(), usable);
        return usable;
    }
    std::vector<MachineBin>& bins_;
    const Demand& demand_;
    const std::vector<wire::MachineType>& types_;
    std::deque<MachineKind> kinds_;  // a deque keeps the pointers in usable_types_ valid
    std::vector<std::pair<const MachineKind*, const wire::MachineType*>> usable_types_;
    std::priority_queue<QueuedSlot> queue_;
};

// The kind of new machine that is chosen for a demand, with the details of its machine type.
struct MachineChoice {
    MachineKind kind;
    const wire::MachineType* type = nullptr;
};

// Calculates a plan: places the waiting tasks of each demand on machines, the most urgent demand first.
class Planner {
  public:
    explicit Planner(PlanInput& input) : input_(input) {}
    Plan make();

  private:
    // How much of a demand one new machine is estimated to serve, and for how long the machine is billed.
    struct MachineEstimate {
        double task_count = 0;     // tasks that the machine runs, in parallel or in sequence
        double billed_time_s = 0;  // time from the start of the boot until the last task ends
    };
    void plan_demand(Demand& demand);
    void extend_wait_to_boot(Demand& demand) const;
    bool place_on_new_machine(const Demand& demand, UsableSlots& usable_slots, TaskIndex remaining_tasks);
    std::optional<MachineChoice> cheapest_machine_kind(const Demand& demand, TaskIndex remaining_tasks) const;
    static MachineEstimate estimate_machine(const Demand& demand, const wire::MachineType& type,
                                            TaskIndex remaining_tasks);

    PlanInput& input_;
    Plan plan_;
    std::size_t planned_tasks_ = 0, new_machine_count_ = 0;
};

Plan Planner::make() {
    for (Demand& demand : input_.demands) {
        extend_wait_to_boot(demand);
        plan_demand(demand);
    }
    for (const MachineBin& bin : input_.machine_bins)
        if (bin.is_used && !bin.id.empty()) plan_.needed_machines.insert(bin.id);
    return std::move(plan_);
}

// Extends the maximum wait of a demand to the shortest boot time of an allowed machine type, because no new
// machine could start the tasks earlier.
void Planner::extend_wait_to_boot(Demand& demand) const {
    std::optional<double> shortest_boot_s;
    for (const auto& type : *input_.machine_types)
        if (sched::type_allowed(*demand.spec, type))
            shortest_boot_s = std::min(shortest_boot_s.value_or(type.boot_s), type.boot_s);
    if (shortest_boot_s) demand.max_wait_s = std::max(demand.max_wait_s, *shortest_boot_s + boot_margin_s);
}

void Planner::plan_demand(Demand& demand) {
    TaskIndex remaining_tasks = demand.task_count;
    if (remaining_tasks == 0 || planned_tasks_ >= max_planned_tasks) return;
    UsableSlots usable_slots(input_.machine_bins, demand, *input_.machine_types);
    while (remaining_tasks > 0 && planned_tasks_ < max_planned_tasks) {
        ++planned_tasks_;
        if (!usable_slots.place_task(demand.max_wait_s) &&
            !place_on_new_machine(demand, usable_slots, remaining_tasks))
            return;
        --remaining_tasks;
    }
}

// Plans a new machine and places one task of the demand on it. `remaining_tasks` is the number of tasks of
// the demand that have not been placed yet. Returns false if the plan's limit on new machines is reached or
// no available machine type fits the task.
bool Planner::place_on_new_machine(const Demand& demand, UsableSlots& usable_slots,
                                   TaskIndex remaining_tasks) {
    if (new_machine_count_ >= input_.max_new_machines) return false;
    const std::optional<MachineChoice> choice = cheapest_machine_kind(demand, remaining_tasks);
    if (!choice) return false;
    const auto& [kind, type] = *choice;
    ++plan_.new_machines[kind];
    ++new_machine_count_;
    input_.machine_bins.push_back(
        {MachineId(), kind.type, kind.zone, kind.spot, {{type->boot_s, type->capacity}}, true, {}});
    usable_slots.add_bin(input_.machine_bins.size() - 1);
    // The task is placed even if the new machine boots for longer than the task's maximum wait, because no
    // other machine is available in time.
    return usable_slots.place_task(std::max(demand.max_wait_s, type->boot_s + boot_margin_s));
}

// Returns the machine type, zone and spot attribute with the lowest cost per task; nothing if no combination
// is allowed for the demand and available from the cloud.
std::optional<MachineChoice> Planner::cheapest_machine_kind(const Demand& demand,
                                                            TaskIndex remaining_tasks) const {
    std::optional<MachineChoice> cheapest;
    double lowest_cost = std::numeric_limits<double>::max();
    for (const auto& type : *input_.machine_types) {
        if (!sched::type_allowed(*demand.spec, type)) continue;
        if (!sched::should_use_type(*demand.spec, type, *input_.machine_types)) continue;
        const MachineEstimate estimate = estimate_machine(demand, type, remaining_tasks);
        for (const auto& zone : type.zones)
            for (const bool spot : {true, false}) {
                MachineKind kind{type.name, zone, spot};
                if (!sched::machine_allowed(*demand.spec, demand.required_zone, type.name, zone, spot) ||
                    input_.unavailable_machine_kinds.contains(kind))
                    continue;
                const double cost =
                    (spot ? type.spot_price : type.price) * estimate.billed_time_s / estimate.task_count;
                if (cost < lowest_cost) {
                    lowest_cost = cost;
                    cheapest = MachineChoice{std::move(kind), &type};
                }
            }
    }
    return cheapest;
}

// Estimates how many of the demand's remaining tasks a new machine of type `type` would run, and for how long
// the machine would be billed.
Planner::MachineEstimate Planner::estimate_machine(const Demand& demand, const wire::MachineType& type,
                                                   TaskIndex remaining_tasks) {
    const auto tasks = static_cast<std::int64_t>(remaining_tasks);
    auto count_fitting = [&](std::int64_t available, std::int64_t per_task) {
        return per_task > 0 ? available / per_task : tasks;
    };
    const Resources& need = demand.spec->need;
    const std::int64_t parallel_tasks =
        std::min({count_fitting(type.capacity.cpu, need.cpu), count_fitting(type.capacity.gpu, need.gpu),
                  count_fitting(type.capacity.ram, need.ram)});
    const double rounds =
        std::max(1.0, 1 + (demand.max_wait_s - type.boot_s) / std::max(1.0, demand.run_time_s));
    const double task_count =
        std::min(static_cast<double>(tasks), static_cast<double>(parallel_tasks) * rounds);
    const double run_time_s =
        demand.run_time_s * std::max(1.0, task_count / static_cast<double>(parallel_tasks));
    return {task_count, type.boot_s + fetch_time_s(*demand.spec, type) + run_time_s};
}
}  // namespace

Plan make_plan(PlanInput input) { return Planner(input).make(); }

}  // namespace zincdyke::autoscaler
