#include "store/team_quotas.h"

#include <utility>

namespace zincdyke {

void TeamQuotas::add_placed(const TeamName& team, const Resources& need, std::int64_t task_count) {
    if (task_count == 0) return;
    QuotaUsage& usage = usage_[team];
    usage.cpu += task_count * need.cpu;
    usage.gpu += task_count * need.gpu;
}

void TeamQuotas::set_lock_holder(const TeamName& team, NodeName holder) {
    lock_holders_[team] = std::move(holder);
}

const Team* TeamQuotas::limits(const TeamName& team) const {
    const auto found = settings_.teams.find(team);
    return found == settings_.teams.end() ? nullptr : &found->second;
}

QuotaUsage TeamQuotas::usage(const TeamName& team) const {
    const auto found = usage_.find(team);
    return found != usage_.end() ? found->second : QuotaUsage{};
}

bool TeamQuotas::fits(const TeamName& team, const Resources& need, TaskIndex task_count) const {
    const Team* const quota = limits(team);
    if (quota == nullptr) return false;
    const QuotaUsage used = usage(team);
    const auto count = static_cast<std::int64_t>(task_count);
    return (quota->cpu_max == 0 || used.cpu + need.cpu * count <= quota->cpu_max) &&
           (quota->gpu_max == 0 || used.gpu + need.gpu * count <= quota->gpu_max);
}

const NodeName& TeamQuotas::lock_holder(const TeamName& team) const {
    static const NodeName none;
    const auto found = lock_holders_.find(team);
    return found != lock_holders_.end() ? found->second : none;
}

}  // namespace zincdyke
