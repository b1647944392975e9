/// Which jobs their teams' guaranteed amounts cover.
#pragma once
#include <unordered_set>

#include "store/state_cache.h"

namespace zincdyke {

/// The jobs that fit their team's guarantee together with the team's earlier unfinished ones. Their addresses
/// are those of the cache's jobs, and hold as long as it isn't changed. One pass over all jobs.
[[nodiscard]] std::unordered_set<const Job*> jobs_within_guarantee(const StateCache& state_cache);

}  // namespace zincdyke
