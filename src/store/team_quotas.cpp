#include "store/team_quotas.h"

#include <utility>

namespace zincdyke {

void TeamQuotas::add_placed(const TeamName& team, const Resources& need, std::int64_t tasks) {
    if (tasks == 0) return;
    QuotaUsage& usage = usage_[team];
    usage.cpu += tasks * need.cpu;
    usage.gpu += tasks * need.gpu;
}

void TeamQuotas::set_lock_holder(const TeamName& team, NodeName holder) {
    lock_holders_[team] = std::move(holder);
}

void TeamQuotas::clear() {
    usage_.clear();
    lock_holders_.clear();
}

const Team* TeamQuotas::limits(const TeamName& team) const {
    const auto found = settings_.teams.find(team);
    return found == settings_.teams.end() ? nullptr : &found->second;
}

QuotaUsage TeamQuotas::usage(const TeamName& team) const {
    const auto found = usage_.find(team);
    return found != usage_.end() ? found->second : QuotaUsage{};
}

bool TeamQuotas::fits(const TeamName& team, const Resources& need, TaskIndex tasks) const {
    const Team* const limit = limits(team);
    if (limit == nullptr) return false;
    const QuotaUsage used = usage(team);
    const auto count = static_cast<std::int64_t>(tasks);
    return (limit->cpu_max == 0 || used.cpu + need.cpu * count <= limit->cpu_max) &&
           (limit->gpu_max == 0 || used.gpu + need.gpu * count <= limit->gpu_max);
}

const NodeName& TeamQuotas::lock_holder(const TeamName& team) const {
    static const NodeName none;
    const auto found = lock_holders_.find(team);
    return found != lock_holders_.end() ? found->second : none;
}

}  // namespace zincdyke
