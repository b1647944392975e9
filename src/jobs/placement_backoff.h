/// Limits how often placement rounds are started for jobs of the same kind.
#pragma once
#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "sched/placement_constraints.h"
#include "store/job.h"

namespace zincdyke {

/// Groups jobs that can be placed on the same machines, by job class and placement constraints. The amount of
/// resources that a job needs is not part of the key, so that the jobs of a burst share one kind.
struct JobKind {
    std::string job_class;
    sched::PlacementConstraints constraints;

    static JobKind of(const Job& job) {
        return {job.spec.job_class, sched::PlacementConstraints::of(job.spec)};
    }
    auto operator<=>(const JobKind&) const = default;
};

/// Limits the CPU time that placement rounds take during a burst of jobs. Rounds for one kind of jobs keep a
/// minimum interval. After a failed round, jobs of the kind that need at least as many resources wait until
/// capacity is freed or a delay has passed. All times are passed in by the caller.
class PlacementBackoff {
  public:
    /// Returns whether a placement round for the job may start now.
    [[nodiscard]] bool may_start_round(const Job& job, SteadyTime now) const;
    /// Records the start of a round, which delays the next round for the same kind of jobs.
    void on_round_started(const JobKind& kind, SteadyTime now);
    /// Records that no capacity was found for tasks of the job: no round starts before `retry_at` for jobs of
    /// its kind that need at least as many resources.
    void on_placement_failed(const Job& job, SteadyTime now, SteadyTime retry_at);
    /// Ends the delay of all kinds of jobs whose failed tasks fit into the capacity that was freed on a
    /// machine of this type. Returns these kinds.
    std::set<JobKind> on_capacity_freed(const std::string& machine_type, const Resources& freed);
    /// Removes expired entries, which no longer delay placement rounds.
    void remove_expired(SteadyTime now);

  private:
    struct Failure {
        Resources need;
        std::optional<std::vector<std::string>> machine_types;  // nothing if all types are allowed
        SteadyTime retry_at{};
    };
    std::map<JobKind, Failure> failures_;
    std::map<JobKind, SteadyTime> next_round_at_;
};

}  // namespace zincdyke
