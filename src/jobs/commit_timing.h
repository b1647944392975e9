/// Times that several classes of this package must agree on.
#pragma once
#include "base/types.h"

namespace zincdyke {

/// A start that is not committed by then is given up.
constexpr Duration start_commit_timeout = std::chrono::seconds(6);
/// Starts wait this long for others of their page or team.
constexpr Duration start_delay = std::chrono::milliseconds(20);
/// The longest that a completion waits for others of its page, where writes are short.
constexpr Duration max_completion_delay = std::chrono::seconds(12);

}  // namespace zincdyke
