/// Notifies the relays when capacity becomes free.
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

/// Collects capacity that becomes free for 25 ms, then sends every controller one notification per machine
/// type with the largest free amount of each resource.
class CapacityNotifier {
  public:
    CapacityNotifier(Env& env, const Settings& settings, const StateCache& state_cache, PeerChannel& peers,
                     CapacityTracker& capacity, const MachineAvailability& availability);

    /// Called when capacity may have become free on the machine. Has no effect if the machine
    /// accepts no new tasks or no task is pending.
    void on_capacity_freed(const MachineId& id, Machine& machine);

  private:
    static constexpr Duration batch_delay = std::chrono::milliseconds(25);
    void send_notifications();
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    PeerChannel& peers_;
    CapacityTracker& capacity_;
    const MachineAvailability& availability_;
    std::map<std::string, Resources>
        freed_by_machine_type_;  // largest free capacity to send; empty if no notification is scheduled
};

}  // namespace zincdyke
