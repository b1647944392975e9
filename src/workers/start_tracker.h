/// Follows committed starts until their tasks run.
#pragma once
#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/env.h"
#include "store/state_cache.h"
#include "wire/json_api.h"
#include "workers/start_times.h"
#include "workers/task_attempt.h"

namespace zincdyke {

/// What became of the start of an attempt that was committed to a machine.
struct StartDelivery {
    std::uint64_t agent_epoch = 0;  // in which it was last sent or observed
    int sent_count = 0;             // responses that carried the start
    bool was_reported = false;      // the worker has reported the task
};

/// Owns the delivery state of every start, and the times of those that this node decided.
class StartTracker {
  public:
    StartTracker(Env& env, const StateCache& state_cache) : env_(env), state_cache_(state_cache) {}

    /// The start of this attempt was committed; `progress` tells how long it took until then.
    void on_start_committed(const MachineId& id, const TaskAttempt& attempt, const StartProgress& progress);
    /// A response with the start goes to the worker.
    void on_start_sent(const MachineId& id, const TaskAttempt& attempt, std::uint64_t agent_epoch);
    /// The worker reports the task; `job` is its job.
    void on_task_reported(const MachineId& id, const wire::TaskStatus& status, std::uint64_t agent_epoch,
                          const Job& job);
    /// Drops attempts that are over, once there are many.
    void prune(const MachineId& id);
    /// Drops what is kept for the machine.
    void on_machine_removed(const MachineId& id) { machines_.erase(id); }

    /// Null: the start was neither sent nor observed. Valid until the next change.
    [[nodiscard]] const StartDelivery* delivery(const MachineId& id, const TaskAttempt& attempt) const;
    [[nodiscard]] const StartTimes& times() const { return times_; }

  private:
    struct MachineStarts {
        std::map<TaskAttempt, StartDelivery> deliveries;
        std::map<TaskAttempt, StartProgress> progress;  // of starts decided here and not seen running yet
    };
    void follow(const MachineId& id, MachineStarts& starts, const wire::TaskStatus& status, const Job& job);
    void on_running(const MachineId& id, const wire::TaskStatus& status, const Job& job,
                    const StartProgress& progress);
    Env& env_;
    const StateCache& state_cache_;
    std::unordered_map<MachineId, MachineStarts> machines_;
    StartTimes times_;
};

}  // namespace zincdyke
