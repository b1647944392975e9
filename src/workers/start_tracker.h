/// Tracks the delivery of start commands to workers, and the step durations of committed task starts.
#pragma once
#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/env.h"
#include "store/state_cache.h"
#include "wire/json_api.h"
#include "workers/start_duration_histograms.h"
#include "workers/task_attempt.h"

namespace zincdyke {

/// Delivery state of the start command for one task attempt.
struct StartDelivery {
    std::uint64_t agent_epoch = 0;  // agent epoch in which the start was last sent or the task last reported
    int sent_count = 0;             // number of heartbeat responses that carried the start command
    bool was_reported = false;      // whether the worker has reported the task
};

/// Owns the delivery state of task starts on the machines of this node's shards. Measures the step durations
/// of the starts that this node decided.
class StartTracker {
  public:
    StartTracker(Env& env, const StateCache& state_cache) : env_(env), state_cache_(state_cache) {}

    /// Called when the start of an attempt on the machine has been committed. `progress` contains the times
    /// of the steps before the commit.
    void on_start_committed(const MachineId& id, const TaskAttempt& attempt, const StartProgress& progress);
    /// Called when a heartbeat response that carries the start command is sent to the worker.
    void on_start_sent(const MachineId& id, const TaskAttempt& attempt, std::uint64_t agent_epoch);
    /// Called when a heartbeat reports a task that is placed on the machine; `job` is the task's job.
    void on_task_reported(const MachineId& id, const wire::TaskStatus& status, std::uint64_t agent_epoch,
                          const Job& job);
    /// Discards the recorded starts of attempts that are no longer placed on the machine, if many starts are
    /// recorded for the machine.
    void prune(const MachineId& id);
    /// Discards the delivery state of all starts on a machine that was removed from the registry.
    void on_machine_removed(const MachineId& id) { machines_.erase(id); }

    /// Returns the delivery state of an attempt's start, or null if the start was neither sent nor reported.
    /// The pointer is valid until the next call of a non-const function.
    [[nodiscard]] const StartDelivery* start_delivery(const MachineId& id, const TaskAttempt& attempt) const;
    /// Returns the step durations of the task starts that this node decided.
    [[nodiscard]] const StartDurationHistograms& start_durations() const { return start_durations_; }

  private:
    struct MachineStarts {
        std::map<TaskAttempt, StartDelivery> deliveries;
        std::map<TaskAttempt, StartProgress>
            progress;  // starts decided by this node whose tasks were not reported as running
    };
    void record_progress(const MachineId& id, MachineStarts& starts, const wire::TaskStatus& status,
                         const Job& job);
    void record_running(const MachineId& id, const wire::TaskStatus& status, const Job& job,
                        const StartProgress& progress);
    Env& env_;
    const StateCache& state_cache_;
    std::unordered_map<MachineId, MachineStarts> machines_;
    StartDurationHistograms start_durations_;
};

}  // namespace zincdyke
