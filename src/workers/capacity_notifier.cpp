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
    const bool is_timer_running = !freed_by_machine_type_.empty();
    Resources& max_free = freed_by_machine_type_.try_emplace(machine.type, free).first->second;
    max_free.cpu = std::max(max_free.cpu, free.cpu);
    max_free.gpu = std::max(max_free.gpu, free.gpu);
    max_free.ram = std::max(max_free.ram, free.ram);
    if (!is_timer_running) env_.after(batch_delay, [this] { send_notifications(); });
}

void CapacityNotifier::send_notifications() {
    for (const auto& [type, free] : std::exchange(freed_by_machine_type_, {}))
        for (const auto& node : settings_.all_nodes())
            peers_.send(node, wire::CapacityFreedNotification{type, free});
}

}  // namespace zincdyke
