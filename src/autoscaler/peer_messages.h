/// Messages of the autoscaler to controllers.
#pragma once
#include <cstddef>
#include <functional>

#include "base/types.h"
#include "wire/peer_messages.h"

namespace zincdyke::autoscaler {

/// Lists of machines are split into messages of so many, well below the largest frame.
constexpr std::size_t max_machines_per_message = 1000;

}  // namespace zincdyke::autoscaler
