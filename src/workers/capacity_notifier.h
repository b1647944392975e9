/// Tells the relays that capacity has come free.
#pragma once
#include <map>
#include <string>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/peer_channel.h"
#include "store/state_cache.h"
#include "workers/capacity_tracker.h"
#include "workers/machine_availability.h"
#include "workers/machine_registry.h"

namespace zincdyke {

/// Gathers for a moment what came free, and sends the most of each machine type to every controller.
class CapacityNotifier {
  public:
    CapacityNotifier(Env& env, const Settings& settings, const StateCache& state_cache, PeerChannel& peers,
                     CapacityTracker& capacity, const MachineAvailability& availability);

    /// Capacity may have come free on the machine. Nothing is sent while no task waits.
    void on_capacity_freed(const MachineId& id, Machine& machine);

  private:
    static constexpr Duration gather_delay = std::chrono::milliseconds(25);
    void send();
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    PeerChannel& peers_;
    CapacityTracker& capacity_;
    const MachineAvailability& availability_;
    std::map<std::string, Resources> freed_;  // by machine type; not empty: the timer runs
};

}  // namespace zincdyke
