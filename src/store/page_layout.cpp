#include "store/page_layout.h"

#include <algorithm>

#include "store/keys.h"

namespace zincdyke {
namespace {
// Upper bound for the size of a placed task's JSON entry: index, attempt, machine and zone with punctuation.
constexpr std::size_t max_task_entry_bytes = 40;
// Upper bound for the size of a page's JSON record without its task entries.
constexpr std::size_t page_overhead_bytes = 400;
constexpr std::size_t min_page_tasks = 8;
constexpr std::size_t max_page_tasks = 400;

std::uint32_t divide_rounding_up(std::uint32_t dividend, std::uint32_t divisor) {
    return (dividend + divisor - 1) / divisor;
}
}  // namespace

std::uint32_t page_size_for(const StoreLimits& limits) {
    return static_cast<std::uint32_t>(
        std::clamp<std::size_t>((limits.max_value_bytes() - page_overhead_bytes) / max_task_entry_bytes,
                                min_page_tasks, max_page_tasks));
}

std::uint32_t PageLayout::page_count() const { return divide_rounding_up(task_count_, page_size()); }

TaskIndex PageLayout::task_count_in_page(std::uint32_t page) const {
    return std::min(page_size(), task_count_ - first_task_in_page(page));
}

std::uint32_t PageLayout::standard_page_count() const {
    return divide_rounding_up(task_count_, standard_size_);
}

TaskIndex PageLayout::task_count_in_standard_page(std::uint32_t page) const {
    return std::min(standard_size_, task_count_ - first_task_in_standard_page(page));
}

PageRange PageLayout::frozen_pages_of(std::uint32_t small_page) const {
    const TaskIndex first = first_task_in_page(small_page);
    const TaskIndex last = first + task_count_in_page(small_page) - 1;
    return {first / standard_size_, last / standard_size_ + 1};
}

PageRange PageLayout::small_pages_of(std::uint32_t frozen_page) const {
    const TaskIndex first = first_task_in_standard_page(frozen_page);
    return {page_of(first),
            divide_rounding_up(first + task_count_in_standard_page(frozen_page), page_size())};
}

std::string page_key(const Job& job, std::uint32_t page) {
    return job.small_page_size != 0 ? keys::small_page(job.spec.id, page) : keys::page(job.spec.id, page);
}

}  // namespace zincdyke
