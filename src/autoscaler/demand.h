/// Demand of the waiting tasks for machines.
#pragma once
#include <vector>

#include "autoscaler/plan.h"
#include "base/settings.h"
#include "policy/policy.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// Returns the demands of all jobs with waiting tasks at `now`, the most urgent first. Tasks that exceed
/// their team's quota are left out.
std::vector<Demand> waiting_demands(const Settings& settings, const Policy& policy,
                                    const StateCache& state_cache, WallTime now);

/// Merges demands with the same placement constraints and similar resources and waiting times, which shortens
/// planning. Returns a short list unchanged.
std::vector<Demand> merge_similar(std::vector<Demand> demands);

/// Returns the expected run time of each task of a job, in seconds. Replicas of a service, which run until
/// the job is cancelled, get a value beyond any planning period.
double expected_run_time_s(const wire::JobSpec& spec);

/// Returns how long a job's tasks may wait for their start, in seconds, according to its deadline and the
/// service-level objectives of its class.
double acceptable_wait_s(const Settings& settings, const wire::JobSpec& spec);

}  // namespace zincdyke::autoscaler
