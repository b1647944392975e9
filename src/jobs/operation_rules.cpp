#include "jobs/operation_rules.h"

#include "jobs/commit_timing.h"
#include "sched/logic.h"
#include "sched/spread.h"

namespace zincdyke {
namespace {

// An earlier version's leader may forward a replica's completion: that is no proof of its end.
ApplyResult apply_end(const Job& job, const PendingOperation& operation, TaskState& task, QuotaUsage& usage) {
    const bool is_completion = operation.kind == OperationKind::completion;
    if (is_completion && job.spec.is_service()) return ApplyResult::never_completes;
    if (task.status != TaskState::Status::placed || task.attempt != operation.attempt ||
        task.machine != operation.machine)
        return ApplyResult::superseded;
    task.status = is_completion ? TaskState::Status::done : TaskState::Status::pending;
    task.machine = {};
    task.zone.clear();
    usage.cpu -= job.spec.need.cpu;
    usage.gpu -= job.spec.need.gpu;
    return ApplyResult::applied;
}

bool is_over_quota(const Team& team, const Resources& need, const QuotaUsage& usage) {
    return (team.cpu_max > 0 && usage.cpu + need.cpu > team.cpu_max) ||
           (team.gpu_max > 0 && usage.gpu + need.gpu > team.gpu_max);
}

// Whether every page is spread is known once the cache shows the frozen pages as they were left.
bool zone_has_room(const StateCache& state_cache, const Job& job, const std::vector<TaskState>& tasks,
                   std::uint32_t page, const std::string& zone) {
    const bool is_known = job.small_page_size == 0 || state_cache.applied_revision >= job.version;
    return is_known && sched::every_page_spread(job) && sched::zone_has_room(tasks, page, zone);
}

}  // namespace

ApplyResult apply_operation(const StateCache& state_cache, SteadyTime now, const Job& job,
                            const PendingOperation& operation, std::uint32_t page,
                            std::vector<TaskState>& tasks, QuotaUsage& usage) {
    const std::size_t index = operation.task - std::size_t{page} * state_cache.page_size(job);
    if (index >= tasks.size()) return ApplyResult::not_in_page;
    TaskState& task = tasks[index];
    if (!operation.is_start()) return apply_end(job, operation, task, usage);

    if (task.status != TaskState::Status::pending) return ApplyResult::superseded;
    if (job.cancelled) return ApplyResult::job_cancelled;
    if (now - operation.accepted_at > start_commit_timeout) return ApplyResult::waited_too_long;
    const auto attempt = sched::next_attempt(job, task);
    if (!attempt) return ApplyResult::no_attempt_allowed;
    const Team* team = state_cache.team_limits(job.spec.team);
    if (team == nullptr) return ApplyResult::unknown_team;
    if (is_over_quota(*team, job.spec.need, usage)) return ApplyResult::over_quota;
    if (job.spec.spread) {
        if (!zone_has_room(state_cache, job, tasks, page, operation.zone)) return ApplyResult::zone_full;
        task.zone = operation.zone;
    }
    task.status = TaskState::Status::placed;
    task.attempt = *attempt;
    task.machine = operation.machine;
    usage.cpu += job.spec.need.cpu;
    usage.gpu += job.spec.need.gpu;
    return ApplyResult::applied;
}

}  // namespace zincdyke
