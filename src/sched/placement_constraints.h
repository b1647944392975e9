/// Which machines a job's tasks may be placed on.
#pragma once
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "wire/json_api.h"

namespace zincdyke::sched {

/// What a job asks of its machines apart from the room that they need to have free.
///
/// Jobs with equal constraints, and needs that fit, can be placed on the same machines. The type is a key for
/// maps that group such jobs; users add to it what else has to be alike for their purpose.
struct PlacementConstraints {
    bool spot = false;                              ///< Spot machines will do as well.
    std::optional<std::vector<std::string>> types;  ///< Machine types; nothing: any.
    std::optional<std::string> zone;                ///< Nothing: any.

    /// The constraints that a job was submitted with.
    static PlacementConstraints of(const wire::JobSpec& spec) { return {spec.spot, spec.types, spec.zone}; }

    auto operator<=>(const PlacementConstraints&) const = default;
};

}  // namespace zincdyke::sched
