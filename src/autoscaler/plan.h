/// Capacity planning: calculates how many machines the waiting tasks need. It has no side effects.
#pragma once
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "sched/placement_rules.h"
#include "wire/json_api.h"

namespace zincdyke::autoscaler {

/// Capacity of a machine that becomes available at one time.
struct CapacitySlot {
    double available_in_s = 0;  ///< Seconds from now; 0: available now.
    Resources capacity;
};

/// An existing or planned machine, as a bin for bin packing.
struct MachineBin {
    MachineId id;  ///< Empty for a machine that has not been provisioned yet.
    std::string type, zone;
    bool spot = false;
    std::vector<CapacitySlot> slots;
    bool is_used = false;  ///< Whether the plan places waiting tasks on this machine.
    std::optional<sched::Reservation> reservation = {};
};

/// Demand for machines by the waiting tasks of one job, or of several similar jobs.
struct Demand {
    const wire::JobSpec* spec = nullptr;
    std::optional<std::string> required_zone;
    TaskIndex task_count = 0;
    double run_time_s = 0;  ///< Expected run time of each task, without the image fetch.
    double max_wait_s = 0;  ///< How much longer the tasks may wait for their start.
};

/// The attributes by which the cloud provisions machines. Machines of one kind are interchangeable.
struct MachineKind {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const MachineKind&) const = default;
};

/// Everything that a plan is calculated from.
struct PlanInput {
    std::vector<MachineBin> machine_bins;
    std::vector<Demand> demands;  ///< Ordered by urgency, the most urgent first.
    const std::vector<wire::MachineType>* machine_types = nullptr;
    std::set<MachineKind> unavailable_kinds;  ///< Kinds that are not requested from the cloud at present.
    std::size_t max_new_machines = 50;
};

/// The result of capacity planning.
struct Plan {
    std::map<MachineKind, std::uint32_t> new_machines;  ///< How many machines of each kind to provision.
    std::set<MachineId> needed_machines;                ///< Existing machines that get waiting tasks.
};

/// Packs the demands into the machine bins, and plans new machines for tasks that would otherwise wait too
/// long.
Plan make_plan(PlanInput input);

}  // namespace zincdyke::autoscaler
