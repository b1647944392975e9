#include "jobs/operation_rules.h"

#include "jobs/commit_timing.h"
#include "sched/placement_rules.h"
#include "sched/spread.h"

namespace zincdyke {
namespace {

// Applies a completion or release to its task. Completions of service replicas are rejected: leaders
// that run an earlier version may still forward them.
ApplyResult apply_end(const Job& job, const PendingOperation& operation, TaskState& task,
                      QuotaUsage& team_usage) {
    const bool is_completion = operation.kind == OperationKind::completion;
    if (is_completion && job.spec.is_service()) return ApplyResult::never_completes;
    if (task.status != TaskState::Status::placed || task.attempt != operation.attempt ||
        task.machine != operation.machine)
        return ApplyResult::superseded;
    task.status = is_completion ? TaskState::Status::done : TaskState::Status::pending;
    task.machine = {};
    task.zone.clear();
    team_usage.cpu -= job.spec.need.cpu;
    team_usage.gpu -= job.spec.need.gpu;
    return ApplyResult::applied;
}

bool is_over_quota(const Team& team, const Resources& need, const QuotaUsage& team_usage) {
    return (team.cpu_max > 0 && team_usage.cpu + need.cpu > team.cpu_max) ||
           (team.gpu_max > 0 && team_usage.gpu + need.gpu > team.gpu_max);
}

// Returns whether a job that is spread over zones may place one more task of the page in the zone. Returns
// false for a job with small pages until the state cache contains the final contents of its frozen pages.
bool is_zone_available(const StateCache& state_cache, const Job& job,
                       const std::vector<TaskState>& page_tasks, std::uint32_t page,
                       const std::string& zone) {
    const bool has_final_frozen_pages =
        job.small_page_size == 0 || state_cache.applied_revision >= job.version;
    return has_final_frozen_pages && sched::all_pages_within_zone_limit(job) &&
           sched::is_below_zone_limit(page_tasks, page, zone);
}

}  // namespace

ApplyResult apply_operation(const StateCache& state_cache, SteadyTime now, const Job& job,
                            const PendingOperation& operation, std::uint32_t page,
                            std::vector<TaskState>& page_tasks, QuotaUsage& team_usage) {
    const std::size_t index = operation.task - std::size_t{page} * state_cache.page_size(job);
    if (index >= page_tasks.size()) return ApplyResult::not_in_page;
    TaskState& task = page_tasks[index];
    if (!operation.is_start()) return apply_end(job, operation, task, team_usage);

    if (task.status != TaskState::Status::pending) return ApplyResult::superseded;
    if (job.cancelled) return ApplyResult::job_cancelled;
    if (now - operation.accepted_at > start_commit_timeout) return ApplyResult::start_expired;
    const auto attempt = sched::next_attempt_number(job, task);
    if (!attempt) return ApplyResult::no_attempt_allowed;
    const Team* team = state_cache.team_limits(job.spec.team);
    if (team == nullptr) return ApplyResult::unknown_team;
    if (is_over_quota(*team, job.spec.need, team_usage)) return ApplyResult::over_quota;
    if (job.spec.spread) {
        if (!is_zone_available(state_cache, job, page_tasks, page, operation.zone))
            return ApplyResult::zone_full;
        task.zone = operation.zone;
    }
    task.status = TaskState::Status::placed;
    task.attempt = *attempt;
    task.machine = operation.machine;
    team_usage.cpu += job.spec.need.cpu;
    team_usage.gpu += job.spec.need.gpu;
    return ApplyResult::applied;
}

}  // namespace zincdyke
