/// Interface through which ClusterCoordinator reports events to the other components of a controller.
#pragma once
#include <cstdint>

#include "base/types.h"

namespace zincdyke {

/// Receives events from ClusterCoordinator. All member functions are called on the event loop.
class ClusterObserver {
  public:
    ClusterObserver() = default;
    ClusterObserver(const ClusterObserver&) = delete;
    ClusterObserver& operator=(const ClusterObserver&) = delete;
    virtual ~ClusterObserver() = default;

    /// Called when this controller becomes leader of the shard.
    virtual void on_leadership_acquired(std::uint32_t shard) = 0;
    /// Called when a read of the key-value store has been applied to the state cache. The read request was
    /// sent at `sent_at`, so the cache contains everything that was committed before that time.
    virtual void on_state_read(SteadyTime sent_at) = 0;
};

}  // namespace zincdyke
