/// Scorer of the placement protocol: offers machines for a job's tasks, and starts tasks on the chosen
/// machines.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "jobs/task_committer.h"
#include "sched/placement_rules.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"
#include "workers/capacity_tracker.h"
#include "workers/heartbeat_handler.h"
#include "workers/machine_availability.h"
#include "workers/machine_cordons.h"
#include "workers/machine_registry.h"
#include "workers/reserved_machines.h"
#include "workers/start_tracker.h"

namespace zincdyke {

/// The components that PlacementScorer uses. All of them must outlive it.
struct PlacementScorerComponents {
    TaskCommitter& committer;
    PeerChannel& peers;
    MachineRegistry& registry;
    CapacityTracker& capacity;
    const MachineAvailability& availability;
    const MachineCordons& cordons;
    const ReservedMachines& reserved_machines;
    StartTracker& start_tracker;
    HeartbeatHandler& heartbeat_handler;
};

/// Answers placement requests with offers, each of which reserves capacity until the placement decision. Owns
/// the time since which each machine has been withheld from a job in favor of jobs with precedence.
class PlacementScorer {
  public:
    PlacementScorer(Env& env, const Settings& settings, const StateCache& state_cache,
                    const ClusterCoordinator& cluster, const PlacementScorerComponents& components);

    /// Sends a placement response to the request's gatherer, even if there is nothing to offer.
    void on_placement_request(const wire::PlacementRequest& request);
    /// Commits task starts for the accepted offers. Sends the relay a placement failure with the tasks that
    /// cannot be started.
    void on_placement_decision(const wire::PlacementDecision& decision);
    /// Called when a machine was removed from the registry. Discards the time since which the machine was
    /// withheld in favor of jobs with precedence.
    void on_machine_removed(const MachineId& id) { deferred_since_.erase(id); }

    /// Numbers of placement requests answered and of offers made since the process started.
    struct Counts {
        std::uint64_t placement_requests = 0, offers = 0;
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    // Waiting time after which a job takes precedence over jobs of lower rank and over younger jobs.
    static constexpr double precedence_wait_s = 5;
    // Minimum age difference, in addition to the clock skew, for precedence over a job of the same rank.
    static constexpr double precedence_min_age_gap_s = 3;
    // Maximum time for which a machine is withheld from a job in favor of jobs with precedence. Without this
    // limit, a job whose relay is unavailable, or whose tasks fail everywhere, would keep the machine idle.
    static constexpr Duration max_deferral = std::chrono::milliseconds(1500);
    static constexpr int max_error_penalty = 5;
    static constexpr int failed_on_machine_penalty = 2;
    /// A job to place, and the zone in which its tasks must run.
    struct Placement {
        const wire::PlacementRequest& request;
        const Job& job;
        std::optional<std::string> required_zone;  // zone for all tasks; empty: any zone
    };
    [[nodiscard]] std::vector<sched::Candidate> find_candidates(const Placement& placement);
    [[nodiscard]] bool is_eligible(const Placement& placement, const MachineId& id,
                                   const Machine& machine) const;
    [[nodiscard]] sched::Candidate make_candidate(const Placement& placement, const MachineId& id,
                                                  const Machine& machine, const Resources& free) const;
    [[nodiscard]] bool should_defer(const MachineId& id);
    [[nodiscard]] bool can_use(const Job& job, const Machine& machine, const Resources& free) const;
    [[nodiscard]] std::vector<const Job*> jobs_with_precedence(const Job& job) const;
    [[nodiscard]] bool has_precedence(const Job& other, const Job& job) const;
    [[nodiscard]] bool has_image(const MachineId& id, const Machine& machine, const std::string& image) const;
    [[nodiscard]] TaskIndex replicas_on(const MachineId& id, const JobId& job) const;
    bool try_start(const wire::RoundId& round, const TaskRef& ref, const MachineId& id);
    void on_start_result(const wire::RoundId& round, const TaskRef& ref, const MachineId& id,
                         const StartProgress& progress, bool is_committed);
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    PlacementScorerComponents components_;
    std::map<MachineId, SteadyTime>
        deferred_since_;  // time since which a machine is withheld for jobs with precedence
    Counts counts_;
};

}  // namespace zincdyke
