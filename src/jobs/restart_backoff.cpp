#include "jobs/restart_backoff.h"

#include <algorithm>

namespace zincdyke {
namespace {
constexpr Duration max_short_run = std::chrono::seconds(30);
// The first short run may be its machine's fault.
constexpr int free_short_run_count = 1;
constexpr Duration min_delay = std::chrono::seconds(2), max_delay = std::chrono::seconds(60);
constexpr int max_doubling_count = 5;

Duration restart_delay(int short_runs) {
    const int counted = short_runs - free_short_run_count;
    if (counted <= 0) return Duration(0);
    return std::min<Duration>(max_delay, min_delay * (1 << std::min(counted - 1, max_doubling_count)));
}
}  // namespace

void RestartBackoff::on_replica_placed(TaskIndex replica, SteadyTime now) {
    Replica& state = replicas_[replica];
    state.placed_at = now;
    state.is_placed = true;
}

SteadyTime RestartBackoff::earliest_start(TaskIndex replica, SteadyTime now) {
    const auto known = replicas_.find(replica);
    if (known == replicas_.end()) return now;
    Replica& state = known->second;
    if (!state.is_placed) return state.earliest_start;
    state.is_placed = false;
    state.short_runs = now - state.placed_at < max_short_run ? state.short_runs + 1 : 0;
    state.earliest_start = now + restart_delay(state.short_runs);
    return state.earliest_start;
}

}  // namespace zincdyke
