/// Selection of the controllers that act as relay and as committer of a job.
#pragma once
#include <vector>

#include "base/settings.h"
#include "base/types.h"
#include "cluster/membership.h"
#include "store/job.h"
#include "store/state_cache.h"

namespace zincdyke {

/// Picks the relay and the committer of a job from the job's record and the set of live controllers.
///
/// Controllers with the same state cache contents make the same choice. While their caches differ, two
/// controllers may act for the same job; this causes commit conflicts but no incorrect state.
class JobRoles {
  public:
    /// All constructor arguments must outlive the JobRoles object.
    JobRoles(const Settings& settings, const StateCache& state_cache, const Membership& membership);

    /// Returns the controller that requests placements for the job's tasks: the one that accepted the job, or
    /// a live controller picked by hash while the accepting controller is not alive.
    [[nodiscard]] NodeName relay_of(const Job& job) const;
    /// Returns the controller that should commit the job's task starts and ends: the job's relay, or for a
    /// team with resource limits one controller for all jobs of the team. Any controller may commit them;
    /// using a single one avoids commit conflicts.
    [[nodiscard]] NodeName committer_of(const Job& job) const;

  private:
    const Settings& settings_;
    const StateCache& state_cache_;
    const Membership& membership_;
    const std::vector<NodeName> all_nodes_;
};

}  // namespace zincdyke
