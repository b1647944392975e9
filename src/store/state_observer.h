/// What the other parts of a controller are told of changes in the state cache.
#pragma once
#include "base/types.h"

namespace zincdyke {

/// Told of each change while it is applied, on the event loop and in the order given at each function: an
/// observer may read the cache, which then shows part of the change, but must not change it.
class StateObserver {
  public:
    StateObserver() = default;
    StateObserver(const StateObserver&) = delete;
    StateObserver& operator=(const StateObserver&) = delete;
    virtual ~StateObserver() = default;

    /// A job or one of its pages changed, or the job is gone. Comes after the calls for its tasks'
    /// placements.
    virtual void on_job_changed(const JobId& id) = 0;
    /// The tasks placed on a machine changed. A task that moves: first for the machine that it left.
    virtual void on_placement_changed(const MachineId& id) = 0;
    /// A job's tasks are stored in small pages from now on. Comes before `on_job_changed`.
    virtual void on_pages_resized(const JobId& id) = 0;
    /// A job became known to be cancelled. Comes after `on_job_changed`.
    virtual void on_job_cancelled(const JobId& id) = 0;
    /// A job is about to come, or went, or the cache was cleared. Comes before `on_job_changed`.
    virtual void on_job_set_changed() = 0;
    /// Live nodes, shards, the autoscaler's leader or format levels changed.
    virtual void on_membership_changed() = 0;
};

}  // namespace zincdyke
