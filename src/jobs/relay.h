/// The relay, which starts placement rounds for the pending tasks of the jobs assigned to this node.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "jobs/placement_backoff.h"
#include "jobs/restart_backoff.h"
#include "jobs/task_committer.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Sends placement requests for pending tasks to all scorers, and closes jobs that are finished. The
/// PlacementGatherer of each round chooses among the scorers' offers.
class Relay {
  public:
    /// Keeps all reference arguments; they must outlive the relay.
    Relay(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
          ClusterCoordinator& cluster, TaskCommitter& committer, PeerChannel& peers);
    /// Starts the periodic search for jobs with pending tasks.
    void start();

    /// Handles a change or the removal of a job in the state cache.
    void on_job_changed(const JobId& id);
    /// Schedules a new placement round for tasks that could not be placed.
    void on_placement_failure(const wire::PlacementFailure& failure);
    /// Retries jobs whose tasks may fit into capacity that has been freed.
    void on_capacity_freed(const wire::CapacityFreedNotification& notification);

    /// Totals of the placement rounds that this node started as relay, and of their failed task placements,
    /// since the process started.
    struct Counts {
        std::uint64_t rounds_started = 0;
        /// Task placements that failed for lack of capacity or because of a conflict.
        std::uint64_t failed_placements = 0;
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    // The state of placement for one job while this node is its relay.
    struct WaitingJob {
        // Request times of the tasks in a placement round. A task is removed when it is placed, or when its
        // round fails or times out.
        std::map<TaskIndex, SteadyTime> requested_tasks;
        SteadyTime next_round_at{};               // earliest start of the job's next placement round
        std::optional<SteadyTime> failing_since;  // time of the first failed round since a task was placed
        std::optional<SteadyTime> relay_changed_at;
        RestartBackoff restart_backoff;  // used only for the replicas of services
    };

    void run_periodic_work();
    void remove_expired();
    void schedule_scan();
    void scan_jobs();
    std::vector<const Job*> close_finished_and_list_pending_jobs();
    void sort_by_precedence(std::vector<const Job*>& jobs) const;
    void remove_placed_tasks(const Job& job, WaitingJob& waiting) const;

    // Returns whether a change of the job's relay was requested from the key-value store.
    bool change_relay_if_failing(const Job& job, WaitingJob& waiting);
    // Returns whether a placement request was sent.
    bool start_round(const Job& job, WaitingJob& waiting);

    std::vector<TaskIndex> tasks_to_request(const Job& job, WaitingJob& waiting) const;
    bool needs_request(const Job& job, WaitingJob& waiting, TaskIndex task, const TaskState& state) const;
    // Returns whether the placement of a task in state `state` may be requested. The team's quota must allow
    // `requested_count` more tasks of the job, and after a failed attempt of a gang, all tasks of that
    // attempt must have ended.
    bool is_placement_request_allowed(const Job& job, const TaskState& state,
                                      TaskIndex requested_count) const;
    void send_placement_request(const Job& job, std::vector<TaskIndex> tasks);

    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    TaskCommitter& committer_;
    PeerChannel& peers_;
    std::map<JobId, WaitingJob> waiting_jobs_;
    PlacementBackoff backoff_;
    std::uint64_t last_round_number_ = 0;
    bool is_scan_scheduled_ = false;
    SteadyTime last_scan_at_{};
    Counts counts_;
};

}  // namespace zincdyke
