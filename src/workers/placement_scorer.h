/// The scorer of the placement protocol: offers machines for a job's tasks, and starts those that are chosen.
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

/// What the scorer works with; all outlive it.
struct PlacementScorerParts {
    TaskCommitter& committer;
    PeerChannel& peers;
    MachineRegistry& registry;
    CapacityTracker& capacity;
    const MachineAvailability& availability;
    const MachineCordons& cordons;
    const ReservedMachines& reserved;
    StartTracker& starts;
    HeartbeatHandler& heartbeats;
};

/// Answers placement requests with offers, each of which reserves capacity until the decision. Owns the time
/// since when each machine is left to jobs that have precedence.
class PlacementScorer {
  public:
    PlacementScorer(Env& env, const Settings& settings, const StateCache& state_cache,
                    const ClusterCoordinator& cluster, const PlacementScorerParts& parts);

    /// Always sends a response to the request's gatherer, also one without offers.
    void on_placement_request(const wire::PlacementRequest& request);
    /// Commits the starts of the accepted offers that still fit; tasks that cannot start go back to the
    /// relay.
    void on_placement_decision(const wire::PlacementDecision& decision);
    /// Drops what is kept for the machine.
    void on_machine_removed(const MachineId& id) { deferred_since_.erase(id); }

    /// Since the process began.
    struct Counts {
        std::uint64_t placement_requests = 0, offers = 0;
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    // A job that has waited so long, and is older by so much, has precedence,
    static constexpr double precedence_wait_s = 5;
    static constexpr double precedence_min_age_gap_s = 3;
    // for so long on each machine: one whose relay is away, or that fails everywhere, must not keep it idle.
    static constexpr Duration max_deferral = std::chrono::milliseconds(1500);
    static constexpr int max_error_penalty = 5;
    static constexpr int failed_here_penalty = 2;
    /// A job to place, and the zone that its tasks must be in.
    struct Placement {
        const wire::PlacementRequest& request;
        const Job& job;
        std::optional<std::string> zone;
    };
    [[nodiscard]] std::vector<sched::Candidate> find_candidates(const Placement& placement);
    [[nodiscard]] bool is_eligible(const Placement& placement, const MachineId& id,
                                   const Machine& machine) const;
    [[nodiscard]] sched::Candidate make_candidate(const Placement& placement, const MachineId& id,
                                                  const Machine& machine, const Resources& free) const;
    [[nodiscard]] bool is_deferred(const MachineId& id);
    [[nodiscard]] bool could_use(const Job& job, const Machine& machine, const Resources& free) const;
    [[nodiscard]] std::vector<const Job*> jobs_with_precedence(const Job& job) const;
    [[nodiscard]] bool has_precedence(const Job& other, const Job& job) const;
    [[nodiscard]] bool has_image(const MachineId& id, const Machine& machine, const std::string& image) const;
    [[nodiscard]] TaskIndex replicas_on(const MachineId& id, const JobId& job) const;
    bool try_start(const wire::RoundId& round, const TaskRef& ref, const MachineId& id);
    void on_start_decided(const wire::RoundId& round, const TaskRef& ref, const MachineId& id,
                          const StartProgress& progress, bool is_committed);
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    PlacementScorerParts parts_;
    std::map<MachineId, SteadyTime> deferred_since_;
    Counts counts_;
};

}  // namespace zincdyke
