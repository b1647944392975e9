#include "store/job.h"

#include <algorithm>

namespace zincdyke {

void Page::count() {
    const auto in = [&](TaskState::Status at) {
        return static_cast<TaskIndex>(
            std::count_if(tasks.begin(), tasks.end(), [&](const auto& t) { return t.status == at; }));
    };
    placed = in(TaskState::Status::placed);
    done = in(TaskState::Status::done);
}

}  // namespace zincdyke
