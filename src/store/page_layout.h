/// Division of a job's tasks into pages, each stored as one record.
#pragma once
#include <cstdint>
#include <string>

#include "base/settings.h"
#include "base/types.h"
#include "store/job.h"

namespace zincdyke {

/// Returns the number of tasks per page for which a page's record always fits the store's value limit. Every
/// version of the program derives the same number from the same limits, so it is not stored in the records.
[[nodiscard]] std::uint32_t page_size_for(const StoreLimits& limits);

/// A half-open range of page numbers.
struct PageRange {
    std::uint32_t first = 0;
    std::uint32_t end = 0;  ///< one past the last page number
};

/// Maps the task indexes of one job to pages, given the job's task count and page sizes.
///
/// Pages have the standard size until the job's record specifies a smaller size, which never changes again.
/// From that change on, the standard pages are frozen (no longer written), and each small page overrides the
/// same tasks of the frozen pages once it has been written (docs/design.md, "Upgrade").
class PageLayout {
  public:
    /// `standard_size` and `small_size` are numbers of tasks per page. A `small_size` of 0 means that the job
    /// has standard pages only.
    PageLayout(TaskIndex task_count, std::uint32_t standard_size, std::uint32_t small_size)
        : task_count_(task_count), standard_size_(standard_size), small_size_(small_size) {}
    PageLayout(const Job& job, std::uint32_t standard_size)
        : PageLayout(job.spec.tasks, standard_size, job.small_page_size) {}

    /// Whether the job's record specifies a smaller page size.
    [[nodiscard]] bool has_small_pages() const { return small_size_ != 0; }
    /// Number of tasks per page, of the small size if the job has one; the last page may have fewer tasks.
    [[nodiscard]] std::uint32_t page_size() const { return has_small_pages() ? small_size_ : standard_size_; }
    [[nodiscard]] std::uint32_t page_count() const;
    [[nodiscard]] std::uint32_t page_of(TaskIndex task) const { return task / page_size(); }
    /// Returns the position of a task within its page, counted from 0.
    [[nodiscard]] std::uint32_t position_in_page(TaskIndex task) const { return task % page_size(); }
    /// Returns the index in the job of a page's first task.
    [[nodiscard]] TaskIndex first_task_in_page(std::uint32_t page) const { return page * page_size(); }
    /// Returns the number of tasks in a page. The page number must be less than `page_count()`.
    [[nodiscard]] TaskIndex task_count_in_page(std::uint32_t page) const;

    /// Number of standard-size pages, frozen or not.
    [[nodiscard]] std::uint32_t standard_page_count() const;
    /// Returns the index in the job of the first task of a standard-size page.
    [[nodiscard]] TaskIndex first_task_in_standard_page(std::uint32_t page) const {
        return page * standard_size_;
    }
    /// Returns the number of tasks in a standard-size page, whose number must be less than
    /// `standard_page_count()`.
    [[nodiscard]] TaskIndex task_count_in_standard_page(std::uint32_t page) const;

    /// Returns the frozen pages that recorded the tasks of a small page before the job switched from
    /// standard pages to small pages, which have fewer tasks per record.
    [[nodiscard]] PageRange frozen_pages_of(std::uint32_t small_page) const;
    /// Returns the small pages that replace a frozen page: those that contain at least one of its tasks.
    [[nodiscard]] PageRange small_pages_of(std::uint32_t frozen_page) const;

  private:
    TaskIndex task_count_;
    std::uint32_t standard_size_;
    std::uint32_t small_size_;
};

/// Returns the key under which the job's page is written: that of a small page if the job has a small page
/// size, otherwise that of a standard page.
[[nodiscard]] std::string page_key(const Job& job, std::uint32_t page);

}  // namespace zincdyke
