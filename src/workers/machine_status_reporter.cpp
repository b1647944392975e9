#include "workers/machine_status_reporter.h"

#include <algorithm>

namespace zincdyke {
namespace {
std::uint32_t to_status_ms(Duration duration) {
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count() / 1000, 0, 1'000'000'000));
}
}  // namespace

MachineStatusReporter::MachineStatusReporter(Env& env, const Settings& settings,
                                             const StateCache& state_cache, const ClusterCoordinator& cluster,
                                             MachineRegistry& registry, const CapacityTracker& capacity,
                                             const MachineAvailability& availability)
    : env_(env),
      settings_(settings),
      state_cache_(state_cache),
      cluster_(cluster),
      registry_(registry),
      capacity_(capacity),
      availability_(availability) {}

std::vector<wire::MachineStatus> MachineStatusReporter::machine_statuses() {
    std::vector<wire::MachineStatus> statuses;
    if (!cluster_.is_up_to_date()) return statuses;
    for (const auto& [id, machine] : registry_)
        if (cluster_.leader_term(id)) statuses.push_back(build_status(id, machine));
    return statuses;
}

wire::MachineStatus MachineStatusReporter::build_status(const MachineId& id, const Machine& machine) {
    const SteadyTime now = env_.now();
    const bool is_idle = capacity_.is_idle(id, machine);
    SteadyTime& idle_since = idle_since_.try_emplace(id, now).first->second;
    if (!is_idle) idle_since = now;
    // A machine that sends heartbeats but does not receive the responses counts as unreachable.
    const SteadyTime last_connected = std::max(machine.link.last_connected_at(), machine.monitored_since);
    wire::MachineStatus status;
    status.id = id;
    status.type = machine.type;
    status.zone = machine.zone;
    status.address = machine.address;
    status.spot = machine.spot;
    status.usable = availability_.is_schedulable(id, machine);
    status.silent = now - last_connected > seconds(settings_.lease_s);
    status.agent_epoch = machine.link.agent_epoch();
    if (!is_idle)
        status.busy_tasks =
            static_cast<std::uint32_t>(std::max<std::size_t>(1, state_cache_.tasks_on(id).size()));
    status.idle_ms = to_status_ms(now - idle_since);
    status.silent_ms = to_status_ms(now - last_connected);
    return status;
}

}  // namespace zincdyke
