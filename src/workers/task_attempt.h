/// Names one attempt to run a task.
#pragma once
#include "base/types.h"

namespace zincdyke {

/// One attempt of a task: each start that is committed bears a new number.
struct TaskAttempt {
    TaskRef task;
    Attempt attempt = 0;
    auto operator<=>(const TaskAttempt&) const = default;
};

}  // namespace zincdyke
