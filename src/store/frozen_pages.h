/// What frozen pages say of a job's tasks, for the small pages that have not been written yet.
#pragma once
#include <cstdint>
#include <vector>

#include "store/job.h"
#include "store/page_layout.h"

namespace zincdyke {

/// The tasks of a small page as the job's frozen pages show them; pending where no frozen page was written.
[[nodiscard]] std::vector<TaskState> tasks_in_frozen_pages(const Job& job, const PageLayout& layout,
                                                           std::uint32_t small_page);

/// Freezes the pages of a job whose record has just named a smaller page size, and gives it small pages that
/// show the same. No task changes by it: only the pages in which they stand do.
void freeze_pages(Job& job, const PageLayout& layout);

}  // namespace zincdyke
