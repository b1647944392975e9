/// Computes which jobs are covered by the guaranteed quota of their team.
#pragma once
#include <unordered_set>

#include "store/state_cache.h"

namespace zincdyke {

/// Returns the unfinished jobs that fit into their team's guaranteed quota, counted in the order of
/// submission. The pointers refer to jobs in the state cache and are valid until the cache changes. Visits
/// every job of the cache.
[[nodiscard]] std::unordered_set<const Job*> jobs_within_guarantee(const StateCache& state_cache);

}  // namespace zincdyke
