/// How a job's tasks are divided into pages, each stored as one record.
#pragma once
#include <cstdint>
#include <string>

#include "base/settings.h"
#include "base/types.h"
#include "store/job.h"

namespace zincdyke {

/// Tasks whose page surely fits a value of the store under these limits. Every version of the program derives
/// the same number from the settings, so that no record needs to name it.
[[nodiscard]] std::uint32_t page_size_for(const StateLimits& limits);

/// A run of page numbers.
struct PageRange {
    std::uint32_t first = 0;
    std::uint32_t end = 0;  ///< one past the last
};

/// The pages of one job: a value, derived from the job's record and the standard page size.
///
/// A job's pages are of the standard size unless its record names a smaller one, which it does once and for
/// good. The pages of the standard size are then frozen, and a small page takes precedence over its range of
/// them from its first write on (docs/design.md, "Upgrade").
class PageLayout {
  public:
    /// `standard_size` and `small_size` count tasks; `small_size` 0: the job has standard pages only.
    PageLayout(TaskIndex task_count, std::uint32_t standard_size, std::uint32_t small_size)
        : task_count_(task_count), standard_size_(standard_size), small_size_(small_size) {}
    PageLayout(const Job& job, std::uint32_t standard_size)
        : PageLayout(job.spec.tasks, standard_size, job.small_page_size) {}

    /// Whether the job's record names a smaller page size.
    [[nodiscard]] bool has_small_pages() const { return small_size_ != 0; }
    /// Tasks in a page that is written today; the last one may have fewer.
    [[nodiscard]] std::uint32_t page_size() const { return has_small_pages() ? small_size_ : standard_size_; }
    [[nodiscard]] std::uint32_t page_count() const;
    [[nodiscard]] std::uint32_t page_of(TaskIndex task) const { return task / page_size(); }
    /// Where in its page a task stands.
    [[nodiscard]] std::uint32_t position_in_page(TaskIndex task) const { return task % page_size(); }
    [[nodiscard]] TaskIndex first_task_in_page(std::uint32_t page) const { return page * page_size(); }
    /// How many tasks an existing page has.
    [[nodiscard]] TaskIndex task_count_in_page(std::uint32_t page) const;

    /// The same of pages of the standard size, whether frozen or not.
    [[nodiscard]] std::uint32_t standard_page_count() const;
    [[nodiscard]] TaskIndex first_task_in_standard_page(std::uint32_t page) const {
        return page * standard_size_;
    }
    [[nodiscard]] TaskIndex task_count_in_standard_page(std::uint32_t page) const;

    /// The frozen pages that hold the tasks of a small page.
    [[nodiscard]] PageRange frozen_pages_of(std::uint32_t small_page) const;
    /// The small pages that hold tasks of a frozen page.
    [[nodiscard]] PageRange small_pages_of(std::uint32_t frozen_page) const;

  private:
    TaskIndex task_count_;
    std::uint32_t standard_size_;
    std::uint32_t small_size_;
};

/// The key under which a page is written today, of whichever size the job has.
[[nodiscard]] std::string page_key(const Job& job, std::uint32_t page);

}  // namespace zincdyke
