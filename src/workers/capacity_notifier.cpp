#include "workers/capacity_notifier.h"

#include <algorithm>
#include <utility>

namespace zincdyke {

CapacityNotifier::CapacityNotifier(Env& env, const Settings& settings, const StateCache& state_cache,
                                   PeerChannel& peers, CapacityTracker& capacity,
                                   const MachineAvailability& availability)
    : env_(env),
      settings_(settings),
      state_cache_(state_cache),
      peers_(peers),
      capacity_(capacity),
      availability_(availability) {}

void CapacityNotifier::on_capacity_freed(const MachineId& id, Machine& machine) {
    if (!availability_.is_schedulable(id, machine) || !state_cache_.has_pending_tasks()) return;
    const Resources free = capacity_.free_capacity(id, machine);
    const bool is_timer_running = !freed_.empty();
    Resources& most = freed_.try_emplace(machine.type, free).first->second;
    most.cpu = std::max(most.cpu, free.cpu);
    most.gpu = std::max(most.gpu, free.gpu);
    most.ram = std::max(most.ram, free.ram);
    if (!is_timer_running) env_.after(gather_delay, [this] { send(); });
}

void CapacityNotifier::send() {
    for (const auto& [type, free] : std::exchange(freed_, {}))
        for (const auto& node : settings_.all_nodes())
            peers_.send(node, wire::CapacityFreedNotification{type, free});
}

}  // namespace zincdyke
