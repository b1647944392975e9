/// Calculation of how many machines the waiting tasks need, and how soon.
#pragma once
#include <vector>

#include "autoscaler/plan.h"
#include "base/settings.h"
#include "policy/policy.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// Returns one demand for each job with waiting tasks, the most urgent job first. Tasks that exceed the quota
/// of their team are left out.
std::vector<Demand> waiting_demands(const Settings& settings, const Policy& policy,
                                    const StateCache& state_cache, WallTime now);

/// Merges demands that have the same job class, rank and placement constraints and similar resources and
/// maximum waits. Fewer demands make planning faster. A short list is returned unchanged.
std::vector<Demand> merge_similar_demands(std::vector<Demand> demands);

/// Returns the expected run time of each task of a job, in seconds. For a service, whose replicas run until
/// the job is cancelled, returns a value that is longer than any plan considers.
double expected_run_time_s(const wire::JobSpec& spec);

/// Returns the maximum time from a job's submission to the start of its tasks, in seconds, that is acceptable
/// under the job's deadline and the service-level objectives of its class.
double acceptable_wait_s(const Settings& settings, const wire::JobSpec& spec);

}  // namespace zincdyke::autoscaler
