/// Exponential backoff for restarting the replicas of a service.
#pragma once
#include <map>

#include "base/types.h"

namespace zincdyke {

/// Computes restart delays for the replicas of one service. A replica that ran long enough is restarted
/// without delay; the delay doubles with each consecutive short run, up to a maximum. All times are passed in
/// by the caller.
class RestartBackoff {
  public:
    /// Records that a replica was placed on a machine at `now`.
    void on_replica_placed(TaskIndex replica, SteadyTime now);
    /// Returns the earliest time at which a replica that ended may be restarted. Repeated calls return the
    /// same time until the replica is placed again.
    [[nodiscard]] SteadyTime earliest_start(TaskIndex replica, SteadyTime now);

  private:
    struct Replica {
        SteadyTime placed_at{}, earliest_start{};
        int consecutive_short_runs = 0;
        bool is_placed = false;
    };
    std::map<TaskIndex, Replica> replicas_;
};

}  // namespace zincdyke
