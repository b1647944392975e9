#include "sched/spread.h"

#include <algorithm>

#include "sched/placement_rules.h"

namespace zincdyke::sched {
namespace {
TaskIndex page_zone_limit(std::uint32_t page, std::size_t tasks) {
    const auto task_count = static_cast<TaskIndex>(tasks);
    return page == 0 ? max_tasks_per_zone(task_count) : task_count / 2;
}

TaskIndex count_placed(const std::vector<TaskState>& tasks, const std::string& zone) {
    return static_cast<TaskIndex>(std::count_if(tasks.begin(), tasks.end(), [&](const auto& task) {
        return task.status == TaskState::Status::placed && task.zone == zone;
    }));
}
}  // namespace

bool is_below_zone_limit(const std::vector<TaskState>& page_tasks, std::uint32_t page,
                         const std::string& zone) {
    return count_placed(page_tasks, zone) < page_zone_limit(page, page_tasks.size());
}

bool all_pages_within_zone_limit(const Job& job) {
    if (job.small_page_size == 0) return true;
    return std::all_of(job.pages.begin(), job.pages.end(), [](const auto& entry) {
        const auto& [number, page] = entry;
        const TaskIndex limit = page_zone_limit(number, page.tasks.size());
        return std::all_of(
            page.tasks.begin(), page.tasks.end(), [&, &tasks = page.tasks](const TaskState& task) {
                return task.status != TaskState::Status::placed || count_placed(tasks, task.zone) <= limit;
            });
    });
}

}  // namespace zincdyke::sched
