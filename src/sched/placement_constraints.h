/// Constraints of a job on the machines that its tasks may be placed on.
#pragma once
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "wire/json_api.h"

namespace zincdyke::sched {

/// The constraints of a job on its machines, other than the resources that its tasks need.
///
/// Jobs with equal constraints can be placed on the same machines if their tasks fit. The type serves as part
/// of map keys that group such jobs.
struct PlacementConstraints {
    bool spot = false;                              ///< Whether spot machines are allowed.
    std::optional<std::vector<std::string>> types;  ///< Allowed machine types; any type if not set.
    std::optional<std::string> zone;                ///< Required zone; any zone if not set.

    /// Returns the constraints with which a job was submitted.
    static PlacementConstraints of(const wire::JobSpec& spec) { return {spec.spot, spec.types, spec.zone}; }

    auto operator<=>(const PlacementConstraints&) const = default;
};

}  // namespace zincdyke::sched
