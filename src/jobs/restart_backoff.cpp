#include "jobs/restart_backoff.h"

#include <algorithm>

namespace zincdyke {
namespace {
constexpr Duration short_run = std::chrono::seconds(30);
// The first short run may be its machine's fault.
constexpr int short_runs_allowed = 1;
constexpr Duration first_pause = std::chrono::seconds(2), longest_pause = std::chrono::seconds(60);
constexpr int most_doublings = 5;
}  // namespace

void RestartBackoff::placed(TaskIndex replica, SteadyTime now) {
    Replica& r = replicas_[replica];
    r.placed = now;
    r.runs = true;
}

SteadyTime RestartBackoff::earliest_start(TaskIndex replica, SteadyTime now) {
    const auto known = replicas_.find(replica);
    if (known == replicas_.end()) return now;
    Replica& r = known->second;
    if (!r.runs) return r.earliest;
    r.runs = false;
    r.short_runs = now - r.placed < short_run ? r.short_runs + 1 : 0;
    const int counted = r.short_runs - short_runs_allowed;
    r.earliest = now;
    if (counted > 0)
        r.earliest +=
            std::min<Duration>(longest_pause, first_pause * (1 << std::min(counted - 1, most_doublings)));
    return r.earliest;
}

}  // namespace zincdyke
