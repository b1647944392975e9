/// Interface for notifications about changes of the state cache.
#pragma once
#include "base/types.h"

namespace zincdyke {

/// Receives a notification of each change while the state cache applies it, on the event-loop thread. The
/// observer may read the cache, which may contain only part of the change, but must not modify it.
class StateObserver {
  public:
    StateObserver() = default;
    StateObserver(const StateObserver&) = delete;
    StateObserver& operator=(const StateObserver&) = delete;
    virtual ~StateObserver() = default;

    /// A job or one of its pages was changed, or the job was removed. Called after `on_placement_changed` for
    /// the job's tasks.
    virtual void on_job_changed(const JobId& id) = 0;
    /// The set of tasks placed on a machine changed. When a task moves from one machine to another, called
    /// first for the machine that the task leaves.
    virtual void on_placement_changed(const MachineId& id) = 0;
    /// A job's tasks were moved to small pages. Called before `on_job_changed`.
    virtual void on_pages_resized(const JobId& id) = 0;
    /// A cancellation of the job was read or received from a peer. Called after `on_job_changed`.
    virtual void on_job_cancelled(const JobId& id) = 0;
    /// A job is about to be added or was removed. Called before `on_job_changed`.
    virtual void on_job_set_changed() = 0;
    /// A record of a live node, a shard, the autoscaler's leader or a format level changed.
    virtual void on_membership_changed() = 0;
};

}  // namespace zincdyke
