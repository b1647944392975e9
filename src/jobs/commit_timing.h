/// Timeouts and delays for committing task operations, shared by several classes of this package.
#pragma once
#include "base/types.h"

namespace zincdyke {

/// A task start that has not been committed within this time is rejected.
constexpr Duration start_commit_timeout = std::chrono::seconds(6);
/// How long a task start waits in the commit queue, so that other starts of its page or team share its
/// transaction.
constexpr Duration start_batching_delay = std::chrono::milliseconds(20);
/// The longest time that a task completion waits in the commit queue for other completions of its page. A
/// completion waits this long only when the write budget is nearly used up.
constexpr Duration max_completion_batching_delay = std::chrono::seconds(12);

}  // namespace zincdyke
