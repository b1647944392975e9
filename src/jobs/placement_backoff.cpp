#include "jobs/placement_backoff.h"

#include <algorithm>
#include <chrono>

namespace zincdyke {
namespace {
// One round at a time shows whether there is capacity at all.
constexpr Duration round_interval = std::chrono::milliseconds(30);  // of one kind
}  // namespace

bool PlacementBackoff::may_start_round(const Job& job, SteadyTime now) const {
    const JobKind kind = JobKind::of(job);
    if (const auto next = next_round_.find(kind); next != next_round_.end() && next->second > now)
        return false;
    const auto failure = failures_.find(kind);
    return failure == failures_.end() || failure->second.until <= now ||
           !job.spec.need.covers(failure->second.need);
}

void PlacementBackoff::on_round_started(const JobKind& kind, SteadyTime now) {
    next_round_[kind] = now + round_interval;
}

void PlacementBackoff::on_placement_failed(const Job& job, SteadyTime now, SteadyTime until) {
    Failure& failure = failures_[JobKind::of(job)];
    // The least that failed counts, as long as it holds.
    if (failure.until <= now || failure.need.covers(job.spec.need)) failure.need = job.spec.need;
    failure.types = job.spec.types;
    failure.until = until;
}

std::set<JobKind> PlacementBackoff::on_capacity_freed(const std::string& machine_type,
                                                      const Resources& free) {
    std::set<JobKind> kinds;
    std::erase_if(failures_, [&](const auto& entry) {
        const auto& [kind, failure] = entry;
        if (!free.covers(failure.need)) return false;
        const auto& types = failure.types;
        if (types && std::find(types->begin(), types->end(), machine_type) == types->end()) return false;
        kinds.insert(kind);
        return true;
    });
    return kinds;
}

void PlacementBackoff::forget_expired(SteadyTime now) {
    std::erase_if(failures_, [&](const auto& entry) { return entry.second.until <= now; });
    std::erase_if(next_round_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace zincdyke
