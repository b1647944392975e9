#include "jobs/final_state_cache.h"

namespace zincdyke {

const FinalState* FinalStateCache::find(const JobId& id) {
    const auto found = entries_by_job_.find(id);
    if (found == entries_by_job_.end()) return nullptr;
    entries_.splice(entries_.begin(), entries_, found->second);
    return &found->second->state;
}

void FinalStateCache::put(const JobId& id, FinalState state) {
    if (entries_by_job_.contains(id)) return;
    entries_.push_front({id, state});
    entries_by_job_[id] = entries_.begin();
    if (entries_.size() > max_entries_) {
        entries_by_job_.erase(entries_.back().id);
        entries_.pop_back();
    }
}

}  // namespace zincdyke
