/// Jobs known to be cancelled, whichever way this node came to know it.
#pragma once
#include <set>

#include "base/types.h"

namespace zincdyke {

/// Outlasts older versions of a job's record: a peer's word that it told its user of the cancellation may be
/// newer than a list read just now, so that this is not cleared before the state is read anew.
class CancelledJobs {
  public:
    /// False if it was known.
    bool add(const JobId& id) { return ids_.insert(id).second; }
    /// The job has ended.
    void remove(const JobId& id) { ids_.erase(id); }
    [[nodiscard]] bool contains(const JobId& id) const { return ids_.contains(id); }
    /// Once there are many, forgets those for which `exists` is false.
    template <class Exists>
    void prune_missing(Exists exists) {
        if (ids_.size() > max_cancelled_jobs)
            std::erase_if(ids_, [&](const JobId& id) { return !exists(id); });
    }

  private:
    static constexpr std::size_t max_cancelled_jobs = 20'000;
    std::set<JobId> ids_;
};

}  // namespace zincdyke
