/// Whether a start or an end may change its task, judged by the records as they were last read. Pure
/// functions.
#pragma once
#include <vector>

#include "jobs/pending_operation.h"
#include "store/state_cache.h"

namespace zincdyke {

/// What came of applying an operation to a page's tasks.
enum class ApplyResult : std::uint8_t {
    applied,
    not_in_page,         ///< the page has no such task
    superseded,          ///< the task is no longer in the state that the operation is about
    never_completes,     ///< a service's replica is never done
    job_cancelled,       ///< nothing of it is started any more
    waited_too_long,     ///< a start older than `start_commit_timeout`
    no_attempt_allowed,  ///< tasks of a gang's failed attempt are still on machines
    unknown_team,
    over_quota,
    zone_full  ///< the job is spread, and its page has as many tasks in the zone as it may
};

/// Applies `operation` to `tasks`, the tasks of `page` in order, and to `usage`, its team's quota usage. Both
/// are changed only where the result is `applied`.
[[nodiscard]] ApplyResult apply_operation(const StateCache& state_cache, SteadyTime now, const Job& job,
                                          const PendingOperation& operation, std::uint32_t page,
                                          std::vector<TaskState>& tasks, QuotaUsage& usage);

}  // namespace zincdyke
