/// What the other parts of a controller are told of changes in the state cache.
#pragma once
#include "base/types.h"

namespace zincdyke {

/// Told of each change while it is applied: an observer may read the cache, but must not change it.
class StateObserver {
  public:
    StateObserver() = default;
    StateObserver(const StateObserver&) = delete;
    StateObserver& operator=(const StateObserver&) = delete;
    virtual ~StateObserver() = default;

    /// A job or one of its pages changed, or the job is gone.
    virtual void on_job_changed(const JobId& id) = 0;
    /// The tasks placed on a machine changed.
    virtual void on_placement_changed(const MachineId& id) = 0;
    /// A job's tasks are stored in smaller pages from now on.
    virtual void on_pages_resized(const JobId& id) = 0;
    /// A job became known to be cancelled.
    virtual void on_job_cancelled(const JobId& id) = 0;
    /// A job came or went, or the cache was cleared.
    virtual void on_jobs_changed() = 0;
    /// Live nodes, shards, the autoscaler's leader or registered format levels changed.
    virtual void on_membership_changed() = 0;
};

}  // namespace zincdyke
