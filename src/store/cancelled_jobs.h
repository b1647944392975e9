/// The set of jobs that are known to be cancelled.
#pragma once
#include <set>

#include "base/types.h"

namespace zincdyke {

/// Ids of cancelled jobs, learned from records of the key-value store or from peer heartbeats. A cancellation
/// received from a peer may be newer than the job records that are read afterwards.
class CancelledJobs {
  public:
    /// Adds a job to the set; returns false if the set already contained it.
    bool add(const JobId& id) { return ids_.insert(id).second; }
    void remove(const JobId& id) { ids_.erase(id); }
    [[nodiscard]] bool contains(const JobId& id) const { return ids_.contains(id); }
    /// Removes the jobs for which `exists` returns false, but only when the set has grown beyond its size
    /// limit.
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
