/// How many machines the waiting work needs: a pure calculation over what is known.
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
#include "sched/logic.h"
#include "wire/json_api.h"

namespace zincdyke::autoscaler {

/// Capacity of a machine that comes free at a moment, counted in seconds from now.
struct Slot {
    double free_at = 0;
    Resources room;
};

/// A machine, rented or planned, as a bin to pack tasks into.
struct Bin {
    MachineId id;  ///< Empty: not rented yet.
    std::string type, zone;
    bool spot = false;
    std::vector<Slot> slots;
    bool used = false;  ///< The plan puts waiting work here.
    std::optional<sched::Reservation> reserved = {};
};

/// Waiting tasks of one job.
struct Demand {
    const wire::JobSpec* spec = nullptr;
    std::optional<std::string> required_zone;
    TaskIndex task_count = 0;
    double run_time_s = 0;  ///< Expected, without the fetch of the image.
    double max_wait_s = 0;  ///< How much longer its tasks may wait for their start.
};

/// What is rented: machines of one kind are interchangeable.
struct MachineKind {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const MachineKind&) const = default;
};

struct PlanInput {
    std::vector<Bin> machine_bins;
    std::vector<Demand> demands;  ///< The most urgent first.
    const std::vector<wire::MachineType>* machine_types = nullptr;
    std::set<MachineKind> unavailable_kinds;  ///< The cloud has none of these now.
    std::size_t max_new_machines = 50;
};

struct Plan {
    std::map<MachineKind, std::uint32_t> new_machines;
    std::set<MachineId> needed_machines;  ///< Rented machines that have waiting work to do.
};

/// Packs the demands into the bins, and rents machines for what finds no room there in time.
Plan make_plan(PlanInput input);

}  // namespace zincdyke::autoscaler
