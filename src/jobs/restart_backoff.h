/// How long a replica of a service waits before it is started again. One that keeps running is started at
/// once; one that ends soon after each of its starts waits longer each time, up to a bound.
#pragma once
#include <map>

#include "base/types.h"

namespace zincdyke {

/// The restart delays of one service's replicas. It sets no timer: times are handed in.
class RestartBackoff {
  public:
    /// The replica was placed on a machine at `now`.
    void on_replica_placed(TaskIndex replica, SteadyTime now);
    /// The replica has to run again: when it may be started, at the earliest.
    [[nodiscard]] SteadyTime earliest_start(TaskIndex replica, SteadyTime now);

  private:
    struct Replica {
        SteadyTime placed_at{}, earliest_start{};
        int short_runs = 0;  // one after the other
        bool is_placed = false;
    };
    std::map<TaskIndex, Replica> replicas_;
};

}  // namespace zincdyke
