#include "workers/start_tracker.h"

#include "base/log.h"

namespace zincdyke {

void StartTracker::on_start_committed(const MachineId& id, const TaskAttempt& attempt,
                                      const StartProgress& progress) {
    StartProgress& start = machines_[id].progress[attempt];
    start = progress;
    start.committed_at = env_.now();
}

void StartTracker::on_start_sent(const MachineId& id, const TaskAttempt& attempt, std::uint64_t agent_epoch) {
    MachineStarts& starts = machines_[id];
    StartDelivery& delivery = starts.deliveries[attempt];
    delivery.agent_epoch = agent_epoch;
    ++delivery.sent_count;
    const auto start = starts.progress.find(attempt);
    if (start != starts.progress.end() && start->second.sent_at == SteadyTime{})
        start->second.sent_at = env_.now();
}

void StartTracker::on_task_reported(const MachineId& id, const wire::TaskStatus& status,
                                    std::uint64_t agent_epoch, const Job& job) {
    MachineStarts& starts = machines_[id];
    StartDelivery& delivery = starts.deliveries[{status.task, status.attempt}];
    delivery.agent_epoch = agent_epoch;
    delivery.was_reported = true;
    record_progress(id, starts, status, job);
}

void StartTracker::record_progress(const MachineId& id, MachineStarts& starts, const wire::TaskStatus& status,
                                   const Job& job) {
    const auto start = starts.progress.find({status.task, status.attempt});
    if (start == starts.progress.end() || status.phase == wire::TaskPhase::fetching) return;
    if (start->second.image_ready_at == SteadyTime{}) start->second.image_ready_at = env_.now();
    if (status.phase == wire::TaskPhase::waiting) return;
    if (start->second.sent_at != SteadyTime{}) record_running(id, status, job, start->second);
    starts.progress.erase(start);
}

void StartTracker::record_running(const MachineId& id, const wire::TaskStatus& status, const Job& job,
                                  const StartProgress& progress) {
    const SteadyTime now = env_.now();
    const auto step_ms = [&](StartStep step) { return step_duration(progress, step, now).count() / 1000; };
    log::info(
        "event=task_running task={} attempt={} machine={} class={} queue_ms={} commit_ms={} delivery_ms={} "
        "image_ms={} gang_ms={}",
        status.task.str(), status.attempt, id.value(), job.spec.job_class, step_ms(StartStep::queue),
        step_ms(StartStep::commit), step_ms(StartStep::delivery), step_ms(StartStep::image),
        step_ms(StartStep::gang));
    start_durations_.add_start(job.spec.job_class, progress, now);
}

void StartTracker::prune(const MachineId& id) {
    const auto found = machines_.find(id);
    if (found == machines_.end()) return;
    const auto is_no_longer_placed = [&](const auto& entry) {
        const TaskState task = state_cache_.task(entry.first.task);
        return task.status != TaskState::Status::placed || task.machine != id ||
               task.attempt != entry.first.attempt;
    };
    const std::size_t max_entries = 2 * state_cache_.tasks_on(id).size() + 32;
    if (found->second.deliveries.size() > max_entries)
        std::erase_if(found->second.deliveries, is_no_longer_placed);
    if (found->second.progress.size() > max_entries)
        std::erase_if(found->second.progress, is_no_longer_placed);
}

const StartDelivery* StartTracker::start_delivery(const MachineId& id, const TaskAttempt& attempt) const {
    const auto machine = machines_.find(id);
    if (machine == machines_.end()) return nullptr;
    const auto found = machine->second.deliveries.find(attempt);
    return found == machine->second.deliveries.end() ? nullptr : &found->second;
}

}  // namespace zincdyke
