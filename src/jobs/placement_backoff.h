/// Limits how often placement rounds are started for jobs with the same placement constraints.
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

/// Identifies a placement group: all jobs with the same job class and the same placement constraints, which
/// can be placed on the same machines. Jobs that need different amounts of resources share a group, so that a
/// burst of similar jobs is limited as a whole: with the amounts in the key, each waiting job of the burst
/// would be a group of its own, and all would ask again.
struct PlacementGroup {
    std::string job_class;
    sched::PlacementConstraints constraints;

    static PlacementGroup of(const Job& job) {
        return {job.spec.job_class, sched::PlacementConstraints::of(job.spec)};
    }
    auto operator<=>(const PlacementGroup&) const = default;
};

/// Limits the CPU time that placement rounds take during a burst of jobs. The rounds of a placement group
/// start at a minimum interval. After a failed round, the group's jobs that need at least as many resources
/// as the failed job wait until capacity is freed or a delay has passed. The caller passes in all times.
class PlacementBackoff {
  public:
    /// Returns whether a placement round for the job may start now.
    [[nodiscard]] bool may_start_round(const Job& job, SteadyTime now) const;
    /// Records the start of a placement round, which delays the next round of the same placement group.
    void on_round_started(const PlacementGroup& group, SteadyTime now);
    /// Records that no capacity was found for tasks of the job. Until `retry_at`, no placement round starts
    /// for jobs that have the same job class and placement constraints and need at least as many resources.
    void on_placement_failed(const Job& job, SteadyTime now, SteadyTime retry_at);
    /// Ends the delay of all placement groups whose failed tasks fit into `freed`, the capacity that was
    /// freed on a machine of type `machine_type`. Returns these groups.
    std::set<PlacementGroup> on_capacity_freed(const std::string& machine_type, const Resources& freed);
    /// Removes the delays that have expired. Has no effect on `may_start_round`.
    void remove_expired(SteadyTime now);

  private:
    struct Failure {
        Resources need;
        std::optional<std::vector<std::string>> machine_types;  // nothing if all types are allowed
        SteadyTime retry_at{};
    };
    std::map<PlacementGroup, Failure> failures_;
    std::map<PlacementGroup, SteadyTime> next_round_at_;
};

}  // namespace zincdyke
