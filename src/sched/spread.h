/// Limits on how many tasks of a job may be in one zone.
///
/// At most half of the tasks of a job that must be spread over zones may be in the same zone. The limit is
/// enforced for each page of tasks separately, so that a commit needs to involve only the record of one page.
#pragma once
#include <string>
#include <vector>

#include "store/job.h"

namespace zincdyke::sched {

/// Returns whether one more task of a page may be placed in the zone without exceeding half of the page's
/// tasks. `page` is the number of the page. Half of an odd number is rounded up on the first page and down on
/// the others, so that the whole job also stays within half.
bool is_below_zone_limit(const std::vector<TaskState>& page_tasks, std::uint32_t page,
                         const std::string& zone);

/// Returns whether no page of the job has more than its limit of placed tasks in any zone. A page can exceed
/// the limit only after the job's page size was reduced, and no task of the job may be placed until all pages
/// are within their limits again. A page within its limits stays within them.
bool all_pages_within_zone_limit(const Job& job);

}  // namespace zincdyke::sched
