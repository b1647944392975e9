/// When the next placement round of a kind of job may start.
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

/// Jobs of one kind find capacity on the same machines. What they need varies from job to job and is no part
/// of the kind: with it, each waiting job of a burst would be a kind of its own, and all would ask anew.
struct JobKind {
    std::string job_class;
    sched::PlacementConstraints constraints;

    static JobKind of(const Job& job) {
        return {job.spec.job_class, sched::PlacementConstraints::of(job.spec)};
    }
    auto operator<=>(const JobKind&) const = default;
};

/// Keeps the rounds of a burst from taking the controllers' processors: rounds of one kind keep a distance,
/// and after one failed, jobs of its kind that need as much or more wait until capacity comes free, or for a
/// time. Pure: knows no clock.
class PlacementBackoff {
  public:
    [[nodiscard]] bool may_start_round(const Job& job, SteadyTime now) const;
    void on_round_started(const JobKind& kind, SteadyTime now);
    /// Tasks of this job found no capacity: nothing that needs as much is tried before `until`.
    void on_placement_failed(const Job& job, SteadyTime now, SteadyTime until);
    /// Capacity came free on machines of a type. Returns the kinds that may ask again for that reason.
    std::set<JobKind> on_capacity_freed(const std::string& machine_type, const Resources& free);
    /// Forgets what no longer holds a round back.
    void forget_expired(SteadyTime now);

  private:
    struct Failure {
        Resources need;
        std::optional<std::vector<std::string>> types;  // nothing: any
        SteadyTime until{};
    };
    std::map<JobKind, Failure> failures_;
    std::map<JobKind, SteadyTime> next_round_;
};

}  // namespace zincdyke
