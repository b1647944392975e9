#include "workers/task_reconciler.h"

#include <set>

#include "base/log.h"
#include "sched/placement_rules.h"

namespace zincdyke {
namespace {
// A machine that lacks the resources or the means for a task gets no more for so long.
constexpr Duration rejected_task_cordon = std::chrono::seconds(3);

bool has_gang_failed(const Job& job) {
    return job.spec.shape == wire::Shape::gang && sched::gang_state(job).failed;
}
}  // namespace

TaskReconciler::TaskReconciler(const Settings& settings, const StateCache& state_cache,
                               const ClusterCoordinator& cluster, TaskCommitter& committer,
                               StartTracker& starts, MachineCordons& cordons, const CommandSender& sender)
    : settings_(settings),
      state_cache_(state_cache),
      cluster_(cluster),
      committer_(committer),
      starts_(starts),
      cordons_(cordons),
      sender_(sender) {}

std::vector<wire::Command> TaskReconciler::reconcile(const MachineId& id, Machine& machine,
                                                     const wire::Heartbeat& heartbeat, Term term) {
    std::vector<wire::Command> commands;
    std::set<TaskRef> mentioned;
    for (const auto& status : heartbeat.tasks) {
        // No start of a task here while another attempt of it is still around.
        if (status.phase != wire::TaskPhase::ended || is_placed_on(id, status)) mentioned.insert(status.task);
        if (const auto command = reconcile_reported(id, heartbeat, status, term))
            commands.push_back(*command);
    }
    for (const auto& ref : std::set<TaskRef>(state_cache_.tasks_on(id))) {
        if (mentioned.contains(ref)) continue;
        if (const auto command = reconcile_absent(id, machine, heartbeat, ref, term))
            commands.push_back(*command);
    }
    starts_.prune(id);
    return commands;
}

std::vector<wire::Command> TaskReconciler::stops_of_cancelled(const wire::Heartbeat& heartbeat) const {
    std::vector<wire::Command> commands;
    for (const auto& status : heartbeat.tasks)
        if (const Job* job = state_cache_.job(status.task.job);
            job != nullptr && job->cancelled && status.phase != wire::TaskPhase::ended)
            commands.push_back({wire::CommandKind::stop, status.task, status.attempt, 0});
    return commands;
}

void TaskReconciler::release_all(const MachineId& id, ReleaseReason reason) {
    for (const auto& ref : std::set<TaskRef>(state_cache_.tasks_on(id)))
        committer_.commit_release(ref, state_cache_.task(ref).attempt, id, reason);
}

bool TaskReconciler::is_placed_on(const MachineId& id, const wire::TaskStatus& status) const {
    const TaskState task = state_cache_.task(status.task);
    return state_cache_.job(status.task.job) != nullptr && task.status == TaskState::Status::placed &&
           task.machine == id && task.attempt == status.attempt;
}

std::optional<wire::Command> TaskReconciler::reconcile_reported(const MachineId& id,
                                                                const wire::Heartbeat& heartbeat,
                                                                const wire::TaskStatus& status, Term term) {
    const Job* job = state_cache_.job(status.task.job);
    const bool is_placed_here = is_placed_on(id, status);
    if (is_placed_here) starts_.on_task_reported(id, status, heartbeat.sequence.agent_epoch, *job);
    if (status.phase == wire::TaskPhase::ended) {
        // Its end is committed already, or it was never ours to count.
        if (!is_placed_here) return wire::Command{wire::CommandKind::forget, status.task, status.attempt, 0};
        commit_end(id, heartbeat, status, term);
        return std::nullopt;
    }
    if (!is_placed_here) {
        log::info("event=unknown_task_stopped task={} attempt={} machine={}", status.task.str(),
                  status.attempt, id.value());
        return wire::Command{wire::CommandKind::stop, status.task, status.attempt, 0};
    }
    return stop_for(heartbeat, status, *job);
}

// The stop of a task that is placed where it runs, if it is not wanted there any more.
std::optional<wire::Command> TaskReconciler::stop_for(const wire::Heartbeat& heartbeat,
                                                      const wire::TaskStatus& status, const Job& job) const {
    if (job.cancelled || has_gang_failed(job))
        return wire::Command{wire::CommandKind::stop, status.task, status.attempt, 0};
    const wire::Command stop_with_grace{wire::CommandKind::stop, status.task, status.attempt,
                                        job.spec.save_s + save_margin_s};
    if (sender_.is_preempted({status.task, status.attempt})) {
        if (status.phase == wire::TaskPhase::saving) return std::nullopt;
        return stop_with_grace;
    }
    // A task that can save does so as late as the notice allows, and a replica moves then; an array's task
    // that can't save runs on: it may finish.
    const bool can_move = job.spec.checkpoint_s > 0 || job.spec.is_service();
    if (heartbeat.notice_s && can_move && status.phase == wire::TaskPhase::running &&
        *heartbeat.notice_s < job.spec.save_s + 2.5 * settings_.report_s)
        return stop_with_grace;
    return std::nullopt;
}

// The end of an attempt that is placed on the machine.
void TaskReconciler::commit_end(const MachineId& id, const wire::Heartbeat& heartbeat,
                                const wire::TaskStatus& status, Term term) {
    const Job& job = *state_cache_.job(status.task.job);
    if (status.cause == wire::ExitCause::done && !job.spec.is_service()) {
        cordons_.on_task_completed(id);
        committer_.commit_completion(status.task, status.attempt, id);
        return;
    }
    // A failed end is believed only of a heartbeat that shows our term. A copy of an older one may be late,
    // and since then the same attempt may have been started again in a new epoch.
    if (heartbeat.token.term != term) return;
    if (status.cause == wire::ExitCause::error) cordons_.on_task_failed(id, job);
    if (status.cause == wire::ExitCause::no_room || status.cause == wire::ExitCause::unknown)
        cordons_.cordon(id, rejected_task_cordon);
    committer_.commit_release(status.task, status.attempt, id, release_reason(status.cause));
}

std::optional<ReleaseReason> TaskReconciler::prove_absence(const wire::Heartbeat& heartbeat, const Job& job,
                                                           const StartDelivery* delivery) {
    if (delivery != nullptr && delivery->was_reported) return ReleaseReason::missing_from_heartbeat;
    // The lease under which it was sent is over, or response after response with it was lost.
    if (delivery != nullptr &&
        (delivery->agent_epoch < heartbeat.sequence.agent_epoch || delivery->sent_count >= max_start_sends))
        return ReleaseReason::start_not_acknowledged;
    if (job.cancelled || heartbeat.notice_s || has_gang_failed(job)) return ReleaseReason::never_started;
    return std::nullopt;
}

// What is placed on the machine and not in its heartbeat is to be started or, by proof, over.
std::optional<wire::Command> TaskReconciler::reconcile_absent(const MachineId& id, Machine& machine,
                                                              const wire::Heartbeat& heartbeat,
                                                              const TaskRef& ref, Term term) {
    const TaskAttempt attempt{ref, state_cache_.task(ref).attempt};
    const Job* job = state_cache_.job(ref.job);
    // Judged to be over, only not committed yet (the key-value store may be unreachable): a worker back in a
    // new epoch must not be told to start it again, or it would run while its successor is started elsewhere.
    if (job == nullptr || committer_.has_pending_end(ref, attempt.attempt)) return std::nullopt;
    const StartDelivery* delivery = starts_.delivery(id, attempt);
    if (const auto reason = prove_absence(heartbeat, *job, delivery)) {
        // Only a heartbeat that shows our term is proof: no start of an earlier leader counts any more, and
        // those in our responses to earlier heartbeats were executed or dropped before this one was sent.
        if (heartbeat.token.term == term) committer_.commit_release(ref, attempt.attempt, id, *reason);
        return std::nullopt;
    }
    if (delivery != nullptr && machine.link.receives_responses()) {
        log::info("event=start_not_acknowledged task={} attempt={} machine={} responses={}", ref.str(),
                  attempt.attempt, id.value(), delivery->sent_count);
        machine.link.mark_responses_unacknowledged();
    }
    // Without the key-value store nothing is started: the job may be cancelled and the shard another's by
    // now.
    if (!cluster_.is_up_to_date()) return std::nullopt;
    starts_.on_start_sent(id, attempt, heartbeat.sequence.agent_epoch);
    return wire::Command{wire::CommandKind::start, ref, attempt.attempt, 0};
}

}  // namespace zincdyke
