#include "store/job.h"

#include <algorithm>

namespace zincdyke {

void Page::update_counts() {
    const auto count_of = [&](TaskState::Status status) {
        return static_cast<TaskIndex>(std::count_if(
            tasks.begin(), tasks.end(), [&](const TaskState& task) { return task.status == status; }));
    };
    placed_tasks = count_of(TaskState::Status::placed);
    done_tasks = count_of(TaskState::Status::done);
}

}  // namespace zincdyke
