/// Index: what each team's placed tasks use of its quota, and who holds the lock on its starts.
#pragma once
#include <cstdint>
#include <map>

#include "base/settings.h"
#include "base/types.h"

namespace zincdyke {

/// What a team's placed tasks take, in thousandths of a CPU and of a GPU.
struct QuotaUsage {
    std::int64_t cpu = 0, gpu = 0;
};

/// Limits (from the settings), usage and lock holders of the teams.
class TeamQuotas {
  public:
    /// `settings` must outlive this.
    explicit TeamQuotas(const Settings& settings) : settings_(settings) {}

    /// Counts tasks that came (or, below 0, went), each of which takes `need`.
    void add_placed(const TeamName& team, const Resources& need, std::int64_t tasks);
    void set_lock_holder(const TeamName& team, NodeName holder);
    void clear();

    /// Null for a team that the settings don't name.
    [[nodiscard]] const Team* limits(const TeamName& team) const;
    [[nodiscard]] QuotaUsage usage(const TeamName& team) const;
    /// Whether so many more tasks keep to the team's limits; false for an unknown team.
    [[nodiscard]] bool fits(const TeamName& team, const Resources& need, TaskIndex tasks) const;
    /// Empty: none yet.
    [[nodiscard]] const NodeName& lock_holder(const TeamName& team) const;

  private:
    const Settings& settings_;
    std::map<TeamName, QuotaUsage> usage_;
    std::map<TeamName, NodeName> lock_holders_;
};

}  // namespace zincdyke
