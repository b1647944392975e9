/// Index of the quota usage and the team lock of each team.
#pragma once
#include <cstdint>
#include <map>

#include "base/settings.h"
#include "base/types.h"

namespace zincdyke {

/// Resources used by a team's placed tasks: `cpu` in thousandths of a CPU, `gpu` in thousandths of a GPU.
struct QuotaUsage {
    std::int64_t cpu = 0, gpu = 0;
};

/// Resource limits of teams (from the settings), their usage, and the controllers that hold their team locks.
class TeamQuotas {
  public:
    /// `settings` must outlive this object.
    explicit TeamQuotas(const Settings& settings) : settings_(settings) {}

    /// Adds `task_count` placed tasks to the team's usage, each of which uses `need`. A negative count
    /// removes tasks.
    void add_placed(const TeamName& team, const Resources& need, std::int64_t task_count);
    void set_lock_holder(const TeamName& team, NodeName holder);

    /// Returns the team's limits; null if the settings do not define the team.
    [[nodiscard]] const Team* limits(const TeamName& team) const;
    /// Returns the usage of the team's placed tasks; 0 for an unknown team.
    [[nodiscard]] QuotaUsage usage(const TeamName& team) const;
    /// Returns whether `task_count` more tasks fit the team's limits; false for an unknown team.
    [[nodiscard]] bool fits(const TeamName& team, const Resources& need, TaskIndex task_count) const;
    /// Returns the controller that holds the team lock; empty if the lock was never acquired.
    [[nodiscard]] const NodeName& lock_holder(const TeamName& team) const;

  private:
    const Settings& settings_;
    std::map<TeamName, QuotaUsage> usage_;
    std::map<TeamName, NodeName> lock_holders_;
};

}  // namespace zincdyke
