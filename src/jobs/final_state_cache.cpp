#include "jobs/final_state_cache.h"

namespace zincdyke {

const FinalState* FinalStateCache::find(const JobId& id) {
    const auto found = by_job_.find(id);
    if (found == by_job_.end()) return nullptr;
    entries_.splice(entries_.begin(), entries_, found->second);
    return &found->second->state;
}

void FinalStateCache::put(const JobId& id, FinalState state) {
    if (by_job_.contains(id)) return;
    entries_.push_front({id, state});
    by_job_[id] = entries_.begin();
    if (entries_.size() > max_entries_) {
        by_job_.erase(entries_.back().id);
        entries_.pop_back();
    }
}

}  // namespace zincdyke
