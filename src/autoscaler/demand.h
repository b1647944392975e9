/// The demand of the waiting tasks for machines.
#pragma once
#include <vector>

#include "autoscaler/plan.h"
#include "base/settings.h"
#include "policy/policy.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// What waits for machines at `now`, the most urgent first. Tasks that their team's limit keeps waiting are
/// left out.
std::vector<Demand> waiting_demands(const Settings& settings, const Policy& policy,
                                    const StateCache& state_cache, WallTime now);

/// Of very many demands joins those that are alike in all that counts, so that planning stays quick.
std::vector<Demand> merge_similar(std::vector<Demand> demands);

/// How long a task is expected to run, in seconds. A service's replicas have no expected end: nothing is
/// planned after them.
double expected_run_time_s(const wire::JobSpec& spec);

/// How long a task of this class may wait for its start, by the aims in the settings, in seconds.
double acceptable_wait_s(const Settings& settings, const wire::JobSpec& spec);

}  // namespace zincdyke::autoscaler
