/// Derives the contents of a job's small pages from its frozen pages.
#pragma once
#include <cstdint>
#include <vector>

#include "store/job.h"
#include "store/page_layout.h"

namespace zincdyke {

/// Returns the tasks of a small page (a page with fewer tasks than the standard size) as recorded in the
/// job's frozen pages, which are its standard pages from before the size changed. Tasks whose frozen page was
/// never written are pending.
[[nodiscard]] std::vector<TaskState> tasks_in_frozen_pages(const Job& job, const PageLayout& layout,
                                                           std::uint32_t small_page);

/// Moves a job's standard pages to its frozen pages after the job's record has specified a smaller page size,
/// and fills the small pages from the frozen ones. No task changes its state. `layout` is the layout with
/// small pages.
void freeze_pages(Job& job, const PageLayout& layout);

}  // namespace zincdyke
