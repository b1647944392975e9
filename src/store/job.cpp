#include "store/job.h"

#include <algorithm>

namespace zd {

void Page::count() {
    const auto in = [&](TaskState::At at) {
        return static_cast<TaskIndex>(
            std::count_if(tasks.begin(), tasks.end(), [&](const auto& t) { return t.at == at; }));
    };
    placed = in(TaskState::At::placed);
    done = in(TaskState::At::done);
}

}  // namespace zd
