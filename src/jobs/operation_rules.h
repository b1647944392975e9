/// The rules that decide whether a task start or end may be applied to the cached records. The functions have
/// no side effects beyond their arguments.
#pragma once
#include <vector>

#include "jobs/pending_operation.h"
#include "store/state_cache.h"

namespace zincdyke {

/// The result of applying an operation to a page's tasks; all values except `applied` are rejections.
enum class ApplyResult : std::uint8_t {
    applied,
    not_in_page,         ///< the page does not contain the operation's task
    superseded,          ///< the task is no longer in the state that the operation changes
    never_completes,     ///< a service's replicas are restarted instead of being completed
    job_cancelled,       ///< tasks of a cancelled job are not started
    start_expired,       ///< the start waited for longer than `start_commit_timeout`
    no_attempt_allowed,  ///< tasks of the gang's failed attempt are placed, so no new attempt may start
    unknown_team,        ///< the settings do not define the job's team
    over_quota,          ///< the start would exceed the team's quota limit
    zone_full            ///< the start would exceed a page's task limit per zone (job spread over zones)
};

/// Applies a task start or end to `page_tasks`, the tasks of page `page` in order, and to `team_usage`, the
/// quota usage of the job's team. Both are changed only if the result is `ApplyResult::applied`.
[[nodiscard]] ApplyResult apply_operation(const StateCache& state_cache, SteadyTime now, const Job& job,
                                          const PendingOperation& operation, std::uint32_t page,
                                          std::vector<TaskState>& page_tasks, QuotaUsage& team_usage);

}  // namespace zincdyke
