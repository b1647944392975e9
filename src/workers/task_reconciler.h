/// Compares what a machine reports with what is committed to it.
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

/// Turns the differences into commands to the worker, and commits the ends that a heartbeat proves. Keeps no
/// state of its own.
class TaskReconciler {
  public:
    TaskReconciler(const Settings& settings, const StateCache& state_cache, const ClusterCoordinator& cluster,
                   TaskCommitter& committer, StartTracker& starts, MachineCordons& cordons,
                   const CommandSender& sender);

    /// The commands that answer the machine's newest heartbeat, under this node's `term`.
    [[nodiscard]] std::vector<wire::Command> reconcile(const MachineId& id, Machine& machine,
                                                       const wire::Heartbeat& heartbeat, Term term);
    /// Stops for all that the heartbeat shows of cancelled jobs: right also in response to an old heartbeat.
    [[nodiscard]] std::vector<wire::Command> stops_of_cancelled(const wire::Heartbeat& heartbeat) const;
    /// Commits that all attempts placed on the machine are over; `reason` is for the log.
    void release_all(const MachineId& id, ReleaseReason reason);

  private:
    // Responses with the same start before it is taken as never acknowledged.
    static constexpr int max_start_sends = 2;
    [[nodiscard]] bool is_placed_on(const MachineId& id, const wire::TaskStatus& status) const;
    std::optional<wire::Command> reconcile_reported(const MachineId& id, const wire::Heartbeat& heartbeat,
                                                    const wire::TaskStatus& status, Term term);
    [[nodiscard]] std::optional<wire::Command> stop_for(const wire::Heartbeat& heartbeat,
                                                        const wire::TaskStatus& status, const Job& job) const;
    void commit_end(const MachineId& id, const wire::Heartbeat& heartbeat, const wire::TaskStatus& status,
                    Term term);
    std::optional<wire::Command> reconcile_absent(const MachineId& id, Machine& machine,
                                                  const wire::Heartbeat& heartbeat, const TaskRef& ref,
                                                  Term term);
    // Why a task that the heartbeat does not mention is over or never began; nothing: it may still start.
    static std::optional<ReleaseReason> prove_absence(const wire::Heartbeat& heartbeat, const Job& job,
                                                      const StartDelivery* delivery);
    const Settings& settings_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    TaskCommitter& committer_;
    StartTracker& starts_;
    MachineCordons& cordons_;
    const CommandSender& sender_;
};

}  // namespace zincdyke
