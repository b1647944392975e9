/// Reconciles the tasks that a machine reports with the tasks placed on it.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "jobs/task_committer.h"
#include "store/state_cache.h"
#include "wire/json_api.h"
#include "workers/command_sender.h"
#include "workers/machine_cordons.h"
#include "workers/machine_registry.h"
#include "workers/start_tracker.h"

namespace zincdyke {

/// Derives commands to a worker from the differences between reported and placed tasks, and commits the task
/// ends that a heartbeat proves. Stateless.
class TaskReconciler {
  public:
    TaskReconciler(const Settings& settings, const StateCache& state_cache, const ClusterCoordinator& cluster,
                   TaskCommitter& committer, StartTracker& start_tracker, MachineCordons& cordons,
                   const CommandSender& sender);

    /// Returns the commands for the response to the machine's newest heartbeat, and commits the task ends
    /// that the heartbeat proves. `term` is this node's term as the leader of the machine's shard.
    [[nodiscard]] std::vector<wire::Command> reconcile(const MachineId& id, Machine& machine,
                                                       const wire::Heartbeat& heartbeat, Term term);
    /// Returns stop commands for all tasks of cancelled jobs in the heartbeat. Also valid for an outdated
    /// heartbeat, because cancellations are final.
    [[nodiscard]] std::vector<wire::Command> stops_for_cancelled_jobs(const wire::Heartbeat& heartbeat) const;
    /// Commits the release of all attempts placed on the machine. `reason` appears in the log only.
    void release_all_tasks(const MachineId& id, ReleaseReason reason);

  private:
    // Maximum number of heartbeat responses that carry the same start command. If the worker does not report
    // the task after that, its attempt is released as not acknowledged.
    static constexpr int max_start_sends = 2;
    [[nodiscard]] bool is_placed_on(const MachineId& id, const wire::TaskStatus& status) const;
    std::optional<wire::Command> reconcile_reported_task(const MachineId& id,
                                                         const wire::Heartbeat& heartbeat,
                                                         const wire::TaskStatus& status, Term term);
    [[nodiscard]] std::optional<wire::Command> stop_command_for(const wire::Heartbeat& heartbeat,
                                                                const wire::TaskStatus& status,
                                                                const Job& job) const;
    void commit_end(const MachineId& id, const wire::Heartbeat& heartbeat, const wire::TaskStatus& status,
                    Term term);
    std::optional<wire::Command> reconcile_missing_task(const MachineId& id, Machine& machine,
                                                        const wire::Heartbeat& heartbeat, const TaskRef& ref,
                                                        Term term);
    // Returns the reason why a task missing from the heartbeat has ended or will not start, or nothing if the
    // task may still start.
    static std::optional<ReleaseReason> absence_reason(const wire::Heartbeat& heartbeat, const Job& job,
                                                       const StartDelivery* delivery);
    const Settings& settings_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    TaskCommitter& committer_;
    StartTracker& start_tracker_;
    MachineCordons& cordons_;
    const CommandSender& sender_;
};

}  // namespace zincdyke
