/// Capacity planning: calculates how many new machines the waiting tasks need. Planning has no side effects.
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

/// A part of a machine's capacity, and when it becomes available to waiting tasks.
struct CapacitySlot {
    double available_in_s = 0;  ///< Seconds until the capacity is available; 0: now.
    Resources capacity;
};

/// An existing or planned machine into which waiting tasks are packed: a bin, in terms of bin packing.
struct MachineBin {
    MachineId id;  ///< Empty for a machine that is not provisioned yet.
    std::string type, zone;
    bool spot = false;
    std::vector<CapacitySlot> slots;
    bool is_used = false;  ///< Whether the plan places waiting tasks on this machine.
    std::optional<sched::Reservation> reservation = {};
};

/// The waiting tasks of one job, or of several similar jobs, for which a plan must find machines.
struct Demand {
    const wire::JobSpec* spec = nullptr;
    std::optional<std::string> required_zone;
    TaskIndex task_count = 0;
    double run_time_s = 0;  ///< Expected run time of each task, excluding the image fetch.
    double max_wait_s = 0;  ///< Maximum time from now until the tasks start.
};

/// The machine type, zone and spot attribute with which a machine is requested from the cloud. Machines with
/// equal attributes are interchangeable.
struct MachineKind {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const MachineKind&) const = default;
};

/// The machines, demands and limits from which a plan is calculated.
struct PlanInput {
    std::vector<MachineBin> machine_bins;
    std::vector<Demand> demands;  ///< Ordered by urgency, the most urgent first.
    const std::vector<wire::MachineType>* machine_types = nullptr;
    std::set<MachineKind> unavailable_machine_kinds;  ///< Kinds of machines that may not be added.
    std::size_t max_new_machines = 50;
};

/// The machines to provision, and the existing machines that must be kept, for the waiting tasks.
struct Plan {
    std::map<MachineKind, std::uint32_t>
        new_machines;                     ///< Number of machines to provision, by kind of machine.
    std::set<MachineId> needed_machines;  ///< Existing machines on which waiting tasks are placed.
};

/// Places the waiting tasks of all demands on machines, and plans new machines for tasks that would otherwise
/// wait too long.
Plan make_plan(PlanInput input);

}  // namespace zincdyke::autoscaler
