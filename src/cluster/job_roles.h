/// Which controllers relay a job's tasks and commit its changes.
#pragma once
#include <vector>

#include "base/settings.h"
#include "base/types.h"
#include "cluster/membership.h"
#include "store/job.h"
#include "store/state_cache.h"

namespace zincdyke {

/// Picks a job's controllers from its record and the live ones. All controllers with the same view pick
/// alike; for a while they may differ, which costs conflicts but breaks nothing.
class JobRoles {
  public:
    /// All must outlive this object.
    JobRoles(const Settings& settings, const StateCache& state_cache, const Membership& membership);

    /// The controller that asks for placements of the job's tasks: the one that accepted the job, or while
    /// that is away one picked by hash.
    [[nodiscard]] NodeName relay_of(const Job& job) const;
    /// The controller through which the job's starts and ends are committed: its relay, or for a team with
    /// limits one for all of the team's jobs. Any other may commit them too; this one does so without
    /// conflicts.
    [[nodiscard]] NodeName committer_of(const Job& job) const;

  private:
    const Settings& settings_;
    const StateCache& state_cache_;
    const Membership& membership_;
    const std::vector<NodeName> all_nodes_;
};

}  // namespace zincdyke
