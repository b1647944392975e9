#include "jobs/restart_backoff.h"

#include <algorithm>

namespace zincdyke {
namespace {
constexpr Duration max_short_run_duration = std::chrono::seconds(30);
// A single short run may be caused by its machine and does not delay the restart.
constexpr int short_runs_without_delay = 1;
constexpr Duration min_restart_delay = std::chrono::seconds(2), max_restart_delay = std::chrono::seconds(60);
constexpr int max_delay_doublings = 5;

Duration restart_delay(int consecutive_short_runs) {
    const int delayed_runs = consecutive_short_runs - short_runs_without_delay;
    if (delayed_runs <= 0) return Duration(0);
    return std::min<Duration>(max_restart_delay,
                              min_restart_delay * (1 << std::min(delayed_runs - 1, max_delay_doublings)));
}
}  // namespace

void RestartBackoff::on_replica_placed(TaskIndex replica, SteadyTime now) {
    Replica& state = replicas_[replica];
    state.placed_at = now;
    state.is_placed = true;
}

SteadyTime RestartBackoff::earliest_start(TaskIndex replica, SteadyTime now) {
    const auto found = replicas_.find(replica);
    if (found == replicas_.end()) return now;
    Replica& state = found->second;
    if (!state.is_placed) return state.earliest_start;
    state.is_placed = false;
    state.consecutive_short_runs =
        now - state.placed_at < max_short_run_duration ? state.consecutive_short_runs + 1 : 0;
    state.earliest_start = now + restart_delay(state.consecutive_short_runs);
    return state.earliest_start;
}

}  // namespace zincdyke
