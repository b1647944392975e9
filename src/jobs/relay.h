/// The relay of this node's jobs: starts placement rounds for their waiting tasks.
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

/// Asks all scorers for places for the waiting tasks of the jobs that this node relays, and closes those that
/// are over. Who gets which place is the gatherer's choice (PlacementGatherer).
class Relay {
  public:
    Relay(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
          ClusterCoordinator& cluster, TaskCommitter& committer, PeerChannel& peers);
    void start();

    void on_job_changed(const JobId& id);
    void on_placement_failure(const wire::PlacementFailure& failure);
    void on_capacity_freed(const wire::CapacityFreedNotification& freed);

    struct Counts {
        std::uint64_t rounds_started = 0;     ///< Rounds.
        std::uint64_t failed_placements = 0;  ///< Tasks for which a round found no place.
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    // What is known of the rounds of a job while this node relays it.
    struct WaitingJob {
        std::map<TaskIndex, SteadyTime> requested;  // in a round, or accepted and not yet seen placed
        SteadyTime not_before{};                    // of its next round
        std::optional<SteadyTime> failing_since;    // no task has been placed since a round failed then
        std::optional<SteadyTime> relay_changed;    // when it was last passed to another relay
        RestartBackoff restarts;                    // of a service's replicas
    };

    void tick();
    void forget_expired();
    void plan_soon();
    void plan();
    std::vector<const Job*> jobs_to_place();
    void sort_by_precedence(std::vector<const Job*>& jobs) const;
    void note_placed_tasks(const Job& job, WaitingJob& waiting) const;

    // Each returns whether it did what its name says.
    bool change_relay_if_stuck(const Job& job, WaitingJob& waiting);
    bool start_round(const Job& job, WaitingJob& waiting);

    std::vector<TaskIndex> tasks_to_request(const Job& job, WaitingJob& waiting) const;
    bool is_due(const Job& job, WaitingJob& waiting, TaskIndex task, const TaskState& state) const;
    /// Whether the team's quota allows so many tasks of the job to be requested, and the task may be started
    /// again by now: a gang's only once its last attempt is over.
    bool may_request(const Job& job, const TaskState& state, TaskIndex requested) const;
    void send_placement_request(const Job& job, std::vector<TaskIndex> tasks);

    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    TaskCommitter& committer_;
    PeerChannel& peers_;
    std::map<JobId, WaitingJob> waiting_;
    PlacementBackoff backoff_;
    std::uint64_t last_round_ = 0;
    bool is_plan_scheduled_ = false;
    SteadyTime last_plan_{};
    Counts counts_;
};

}  // namespace zincdyke
