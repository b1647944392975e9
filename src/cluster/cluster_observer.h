/// What the other parts of a controller are told of its standing in the cluster.
#pragma once
#include <cstdint>

#include "base/types.h"

namespace zincdyke {

/// Told, from the event loop, of what ClusterCoordinator learns.
class ClusterObserver {
  public:
    ClusterObserver() = default;
    ClusterObserver(const ClusterObserver&) = delete;
    ClusterObserver& operator=(const ClusterObserver&) = delete;
    virtual ~ClusterObserver() = default;

    /// This node leads the shard from now on, under a term of its own.
    virtual void on_leadership_acquired(std::uint32_t shard) = 0;
    /// All that the key-value store held when it was asked, at `sent`, is in the state cache.
    virtual void on_state_read(SteadyTime sent) = 0;
};

}  // namespace zincdyke
