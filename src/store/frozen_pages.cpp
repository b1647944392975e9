#include "store/frozen_pages.h"

#include <algorithm>
#include <utility>

namespace zincdyke {

std::vector<TaskState> tasks_in_frozen_pages(const Job& job, const PageLayout& layout,
                                             std::uint32_t small_page) {
    std::vector<TaskState> tasks(layout.task_count_in_page(small_page));
    const TaskIndex first = layout.first_task_in_page(small_page);
    const TaskIndex end = first + layout.task_count_in_page(small_page);
    const PageRange frozen_pages = layout.frozen_pages_of(small_page);
    for (std::uint32_t number = frozen_pages.first; number < frozen_pages.end; ++number) {
        const auto frozen = job.frozen_pages.find(number);
        if (frozen == job.frozen_pages.end()) continue;
        const TaskIndex frozen_first = layout.first_task_in_standard_page(number);
        const TaskIndex frozen_end = frozen_first + layout.task_count_in_standard_page(number);
        for (TaskIndex index = std::max(first, frozen_first); index < std::min(end, frozen_end); ++index)
            tasks[index - first] = frozen->second.tasks.at(index - frozen_first);
    }
    return tasks;
}

void freeze_pages(Job& job, const PageLayout& layout) {
    job.frozen_pages = std::move(job.pages);
    job.pages.clear();
    if (job.frozen_pages.empty()) return;
    for (std::uint32_t number = 0; number < layout.page_count(); ++number) {
        Page page;
        page.tasks = tasks_in_frozen_pages(job, layout, number);
        page.update_counts();
        job.pages[number] = std::move(page);
    }
}

}  // namespace zincdyke
