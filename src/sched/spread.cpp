#include "sched/spread.h"

#include <algorithm>

#include "sched/placement_rules.h"

namespace zincdyke::sched {
namespace {
TaskIndex most_in_a_zone(std::uint32_t page, std::size_t tasks) {
    const auto n = static_cast<TaskIndex>(tasks);
    return page == 0 ? max_tasks_per_zone(n) : n / 2;
}

TaskIndex placed_in(const std::vector<TaskState>& tasks, const std::string& zone) {
    return static_cast<TaskIndex>(std::count_if(tasks.begin(), tasks.end(), [&](const auto& t) {
        return t.status == TaskState::Status::placed && t.zone == zone;
    }));
}
}  // namespace

bool is_below_zone_limit(const std::vector<TaskState>& page_tasks, std::uint32_t page,
                         const std::string& zone) {
    return placed_in(page_tasks, zone) < most_in_a_zone(page, page_tasks.size());
}

bool all_pages_within_zone_limit(const Job& j) {
    if (j.small_page_size == 0) return true;
    return std::all_of(j.pages.begin(), j.pages.end(), [](const auto& entry) {
        const auto& [n, page] = entry;
        const TaskIndex most = most_in_a_zone(n, page.tasks.size());
        return std::all_of(
            page.tasks.begin(), page.tasks.end(), [&, &tasks = page.tasks](const TaskState& t) {
                return t.status != TaskState::Status::placed || placed_in(tasks, t.zone) <= most;
            });
    });
}

}  // namespace zincdyke::sched
