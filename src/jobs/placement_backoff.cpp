#include "jobs/placement_backoff.h"

#include <algorithm>
#include <chrono>

namespace zincdyke {
namespace {
// Minimum interval between the placement rounds of a placement group. The result of one round shows whether
// there is capacity for the other jobs of the group.
constexpr Duration min_round_interval = std::chrono::milliseconds(30);
}  // namespace

bool PlacementBackoff::may_start_round(const Job& job, SteadyTime now) const {
    const PlacementGroup group = PlacementGroup::of(job);
    if (const auto next = next_round_at_.find(group); next != next_round_at_.end() && next->second > now)
        return false;
    const auto failure = failures_.find(group);
    return failure == failures_.end() || failure->second.retry_at <= now ||
           !job.spec.need.covers(failure->second.need);
}

void PlacementBackoff::on_round_started(const PlacementGroup& group, SteadyTime now) {
    next_round_at_[group] = now + min_round_interval;
}

void PlacementBackoff::on_placement_failed(const Job& job, SteadyTime now, SteadyTime retry_at) {
    Failure& failure = failures_[PlacementGroup::of(job)];
    // While a delay lasts, only a smaller resource need replaces the stored one, since jobs that need more
    // than the smallest failed need would fail as well.
    if (failure.retry_at <= now || failure.need.covers(job.spec.need)) failure.need = job.spec.need;
    failure.machine_types = job.spec.types;
    failure.retry_at = retry_at;
}

std::set<PlacementGroup> PlacementBackoff::on_capacity_freed(const std::string& machine_type,
                                                             const Resources& freed) {
    std::set<PlacementGroup> groups;
    std::erase_if(failures_, [&](const auto& entry) {
        const auto& [group, failure] = entry;
        if (!freed.covers(failure.need)) return false;
        const auto& types = failure.machine_types;
        if (types && std::find(types->begin(), types->end(), machine_type) == types->end()) return false;
        groups.insert(group);
        return true;
    });
    return groups;
}

void PlacementBackoff::remove_expired(SteadyTime now) {
    std::erase_if(failures_, [&](const auto& entry) { return entry.second.retry_at <= now; });
    std::erase_if(next_round_at_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace zincdyke
