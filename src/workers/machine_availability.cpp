#include "workers/machine_availability.h"

namespace zincdyke {

MachineAvailability::MachineAvailability(Env& env, const Settings& settings,
                                         const ClusterCoordinator& cluster, PeerChannel& peers,
                                         const MachineRegistry& registry, const CapacityTracker& capacity,
                                         const MachineCordons& cordons)
    : env_(env),
      settings_(settings),
      cluster_(cluster),
      peers_(peers),
      registry_(registry),
      capacity_(capacity),
      cordons_(cordons) {}

bool MachineAvailability::is_schedulable(const MachineId& id, const Machine& machine) const {
    const auto term = cluster_.leader_term(id);
    return term && machine.link.is_connected(*term) && !machine.spot_notice_s &&
           !drain_started_at_.contains(id) && !cordons_.is_cordoned(id) &&
           env_.now() - machine.link.last_message_at() < seconds(settings_.heartbeat_interval_s * 2.5);
}

void MachineAvailability::on_drain_request(const NodeName& from, const wire::DrainRequest& request) {
    const Machine* machine = registry_.find(request.machine);
    if (!cluster_.leader_term(request.machine) || machine == nullptr) return;
    if (!capacity_.is_idle(request.machine, *machine)) return;
    drain_started_at_[request.machine] = env_.now();
    peers_.send(from, wire::DrainResponse{request.machine});
}

void MachineAvailability::expire_drains() {
    const SteadyTime now = env_.now();
    std::erase_if(drain_started_at_, [&](const auto& drain) { return now - drain.second > drain_timeout; });
}

}  // namespace zincdyke
