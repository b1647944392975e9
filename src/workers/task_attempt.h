/// Identifier of one attempt to run a task.
#pragma once
#include "base/types.h"

namespace zincdyke {

/// A task together with an attempt number. Every committed start of a task has a new attempt number.
struct TaskAttempt {
    TaskRef task;
    Attempt attempt = 0;
    auto operator<=>(const TaskAttempt&) const = default;
};

}  // namespace zincdyke
