#include "workers/task_reconciler.h"

#include <set>

#include "base/log.h"
#include "sched/placement_rules.h"

namespace zincdyke {
namespace {
// Duration of the cordon of a machine that rejected a task, because the machine cannot run it or lacks the
// resources.
constexpr Duration rejected_task_cordon = std::chrono::seconds(3);

bool has_gang_failed(const Job& job) {
    return job.spec.shape == wire::Shape::gang && sched::gang_state(job).failed;
}
}  // namespace

TaskReconciler::TaskReconciler(const Settings& settings, const StateCache& state_cache,
                               const ClusterCoordinator& cluster, TaskCommitter& committer,
                               StartTracker& start_tracker, MachineCordons& cordons,
                               const CommandSender& sender)
    : settings_(settings),
      state_cache_(state_cache),
      cluster_(cluster),
      committer_(committer),
      start_tracker_(start_tracker),
      cordons_(cordons),
      sender_(sender) {}

std::vector<wire::Command> TaskReconciler::reconcile(const MachineId& id, Machine& machine,
                                                     const wire::Heartbeat& heartbeat, Term term) {
    std::vector<wire::Command> commands;
    std::set<TaskRef> reported_tasks;
    for (const auto& status : heartbeat.tasks) {
        // A task is not started on a machine that still runs another attempt of it.
        if (status.phase != wire::TaskPhase::ended || is_placed_on(id, status))
            reported_tasks.insert(status.task);
        if (const auto command = reconcile_reported_task(id, heartbeat, status, term))
            commands.push_back(*command);
    }
    for (const auto& ref : std::set<TaskRef>(state_cache_.tasks_on(id))) {
        if (reported_tasks.contains(ref)) continue;
        if (const auto command = reconcile_missing_task(id, machine, heartbeat, ref, term))
            commands.push_back(*command);
    }
    start_tracker_.prune(id);
    return commands;
}

std::vector<wire::Command> TaskReconciler::stops_for_cancelled_jobs(const wire::Heartbeat& heartbeat) const {
    std::vector<wire::Command> commands;
    for (const auto& status : heartbeat.tasks)
        if (const Job* job = state_cache_.job(status.task.job);
            job != nullptr && job->cancelled && status.phase != wire::TaskPhase::ended)
            commands.push_back({wire::CommandKind::stop, status.task, status.attempt, 0});
    return commands;
}

void TaskReconciler::release_all_tasks(const MachineId& id, ReleaseReason reason) {
    for (const auto& ref : std::set<TaskRef>(state_cache_.tasks_on(id)))
        committer_.commit_release(ref, state_cache_.task(ref).attempt, id, reason);
}

bool TaskReconciler::is_placed_on(const MachineId& id, const wire::TaskStatus& status) const {
    const TaskState task = state_cache_.task(status.task);
    return state_cache_.job(status.task.job) != nullptr && task.status == TaskState::Status::placed &&
           task.machine == id && task.attempt == status.attempt;
}

std::optional<wire::Command> TaskReconciler::reconcile_reported_task(const MachineId& id,
                                                                     const wire::Heartbeat& heartbeat,
                                                                     const wire::TaskStatus& status,
                                                                     Term term) {
    const Job* job = state_cache_.job(status.task.job);
    const bool is_placed_here = is_placed_on(id, status);
    if (is_placed_here) start_tracker_.on_task_reported(id, status, heartbeat.sequence.agent_epoch, *job);
    if (status.phase == wire::TaskPhase::ended) {
        // The end of an attempt that is not placed on the machine needs no commit, so the worker may discard
        // it.
        if (!is_placed_here) return wire::Command{wire::CommandKind::forget, status.task, status.attempt, 0};
        commit_end(id, heartbeat, status, term);
        return std::nullopt;
    }
    if (!is_placed_here) {
        log::info("event=unknown_task_stopped task={} attempt={} machine={}", status.task.str(),
                  status.attempt, id.value());
        return wire::Command{wire::CommandKind::stop, status.task, status.attempt, 0};
    }
    return stop_command_for(heartbeat, status, *job);
}

// Returns a stop command if a task that is placed on the machine should no longer run there.
std::optional<wire::Command> TaskReconciler::stop_command_for(const wire::Heartbeat& heartbeat,
                                                              const wire::TaskStatus& status,
                                                              const Job& job) const {
    if (job.cancelled || has_gang_failed(job))
        return wire::Command{wire::CommandKind::stop, status.task, status.attempt, 0};
    const wire::Command stop_with_grace{wire::CommandKind::stop, status.task, status.attempt,
                                        job.spec.save_s + save_margin_s};
    if (sender_.is_preempted({status.task, status.attempt})) {
        if (status.phase == wire::TaskPhase::saving) return std::nullopt;
        return stop_with_grace;
    }
    // After a spot notice, tasks that can save a checkpoint and service replicas are stopped as late as the
    // notice allows. Other tasks keep running because they may finish in time.
    const bool can_move = job.spec.checkpoint_s > 0 || job.spec.is_service();
    if (heartbeat.spot_notice_s && can_move && status.phase == wire::TaskPhase::running &&
        *heartbeat.spot_notice_s < job.spec.save_s + 2.5 * settings_.heartbeat_interval_s)
        return stop_with_grace;
    return std::nullopt;
}

// Commits the reported end of an attempt that is placed on the machine.
void TaskReconciler::commit_end(const MachineId& id, const wire::Heartbeat& heartbeat,
                                const wire::TaskStatus& status, Term term) {
    const Job& job = *state_cache_.job(status.task.job);
    if (status.cause == wire::ExitCause::done && !job.spec.is_service()) {
        cordons_.on_task_completed(id);
        committer_.commit_completion(status.task, status.attempt, id);
        return;
    }
    // An end that makes the task pending again is committed only if the heartbeat carries this node's term.
    // An older heartbeat may arrive late, after the same attempt has been started again in a new agent epoch.
    if (heartbeat.token.term != term) return;
    if (status.cause == wire::ExitCause::error) cordons_.on_task_failed(id, job);
    if (status.cause == wire::ExitCause::no_capacity || status.cause == wire::ExitCause::unknown)
        cordons_.cordon(id, rejected_task_cordon);
    committer_.commit_release(status.task, status.attempt, id, release_reason(status.cause));
}

std::optional<ReleaseReason> TaskReconciler::absence_reason(const wire::Heartbeat& heartbeat, const Job& job,
                                                            const StartDelivery* delivery) {
    if (delivery != nullptr && delivery->was_reported) return ReleaseReason::missing_from_heartbeat;
    // Start commands are sent in heartbeat responses, and a worker that received one reports the task in its
    // next heartbeat. A start is not acknowledged if the task is still missing after `max_start_sends`
    // responses, or after the end of the agent epoch in which the command was sent.
    if (delivery != nullptr &&
        (delivery->agent_epoch < heartbeat.sequence.agent_epoch || delivery->sent_count >= max_start_sends))
        return ReleaseReason::start_not_acknowledged;
    if (job.cancelled || heartbeat.spot_notice_s || has_gang_failed(job)) return ReleaseReason::never_started;
    return std::nullopt;
}

// Handles a task that is placed on the machine but missing from its heartbeat: starts the task, or releases
// the attempt if it has provably ended or will not start.
std::optional<wire::Command> TaskReconciler::reconcile_missing_task(const MachineId& id, Machine& machine,
                                                                    const wire::Heartbeat& heartbeat,
                                                                    const TaskRef& ref, Term term) {
    const TaskAttempt attempt{ref, state_cache_.task(ref).attempt};
    const Job* job = state_cache_.job(ref.job);
    // The end of this attempt is decided but may not be committed for a while, for example while the
    // key-value store is unreachable. Starting the attempt again would let it run at the same time as its
    // successor.
    if (job == nullptr || committer_.has_pending_end(ref, attempt.attempt)) return std::nullopt;
    const StartDelivery* delivery = start_tracker_.start_delivery(id, attempt);
    if (const auto reason = absence_reason(heartbeat, *job, delivery)) {
        // Only a heartbeat with this node's term proves that the attempt does not run: the worker rejects
        // start commands of earlier leaders, and has executed or discarded those that this node sent before.
        if (heartbeat.token.term == term) committer_.commit_release(ref, attempt.attempt, id, *reason);
        return std::nullopt;
    }
    if (delivery != nullptr && machine.link.receives_responses()) {
        log::info("event=start_not_acknowledged task={} attempt={} machine={} responses={}", ref.str(),
                  attempt.attempt, id.value(), delivery->sent_count);
        machine.link.mark_responses_unacknowledged();
    }
    // No task is started while the state cache is out of date: the job may be cancelled, or another
    // controller may lead the shard.
    if (!cluster_.is_up_to_date()) return std::nullopt;
    start_tracker_.on_start_sent(id, attempt, heartbeat.sequence.agent_epoch);
    return wire::Command{wire::CommandKind::start, ref, attempt.attempt, 0};
}

}  // namespace zincdyke
