/// Size limits of the autoscaler's messages to other controllers.
#pragma once
#include <cstddef>
#include <functional>

#include "base/types.h"
#include "wire/peer_messages.h"

namespace zincdyke::autoscaler {

/// Maximum number of machines in one message. Longer lists are split into several messages, so that each
/// message stays well below the maximum frame size.
constexpr std::size_t max_machines_per_message = 1000;

}  // namespace zincdyke::autoscaler
