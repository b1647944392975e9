// How many machines the waiting work wants: a pure calculation over what is known.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/settings.h"
#include "sched/logic.h"
#include "store/model.h"
#include "wire/json_api.h"

namespace zd::supply {

// Part of a machine that comes free at a moment, counted in seconds from now.
struct Slot {
    double free_at = 0;
    Room room;
};
struct Bin {
    MachineId id;  // empty: not rented yet
    std::string type, zone;
    bool spot = false;
    std::vector<Slot> slots;
    bool used = false;  // the plan puts waiting work here
    std::optional<sched::Reservation> reserved = {};
};
// Waiting tasks of one job.
struct Demand {
    const wire::JobSpec* spec = nullptr;
    std::optional<std::string> pin;
    TaskIndex tasks = 0;
    double run_s = 0;       // expected, fetch of the image not counted
    double patience_s = 0;  // how much longer its tasks may wait for their start
};
struct Kind {
    std::string type, zone;
    bool spot = false;
    auto operator<=>(const Kind&) const = default;
};
struct PlanInput {
    std::vector<Bin> bins;
    std::vector<Demand> demands;  // most urgent first
    const std::vector<wire::MachineType>* types = nullptr;
    std::set<Kind> refused;  // the cloud has none of these now
    std::size_t most_new = 50;
};
struct Plan {
    std::map<Kind, std::uint32_t> rent;
    std::set<MachineId> wanted;
};
Plan make_plan(PlanInput in);
// Of very many demands those alike in all that counts are planned as one.
std::vector<Demand> merge(std::vector<Demand> demands);

// How long a task of this class may wait, by the aims in the settings.
double patience(const Settings& s, const wire::JobSpec& spec);

}  // namespace zd::supply
