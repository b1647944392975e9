// The rule that at most half of a job's tasks may be in one zone, kept page by page: no commit names more
// than a page's own record.
#pragma once
#include <string>
#include <vector>

#include "store/job.h"

namespace zincdyke::sched {

// Whether one more task of the page may be placed in the zone. Each page keeps to half of its own tasks, the
// first rounding up: together they keep to half of all.
bool is_below_zone_limit(const std::vector<TaskState>& page_tasks, std::uint32_t page,
                         const std::string& zone);

// Whether every page of the job keeps to its half. A page that became smaller may hold more tasks of a zone,
// from when it was part of a larger one; until enough of them have ended no other page may use up its half.
// Once a page keeps to its half it does so for good.
bool all_pages_within_zone_limit(const Job& j);

}  // namespace zincdyke::sched
