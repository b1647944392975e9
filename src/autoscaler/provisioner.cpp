#include "autoscaler/provisioner.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/log.h"

namespace zincdyke::autoscaler {
namespace {
// Maximum number of machines in one request to the cloud's API, for termination and for provisioning.
constexpr std::size_t max_terminated_per_call = 100;
constexpr std::uint32_t max_provisioned_per_call = 50;
// Share of the cloud's request rate limit that is used to provision machines. The remaining requests list or
// terminate machines.
constexpr double provision_share_of_calls = 0.25;
// After a failed provisioning request, the same kind of machine is not requested for this time.
constexpr double provision_retry_s = 2;
// After a provisioning request with unknown outcome, the same kind of machine is not requested for this
// multiple of the lag of the cloud's machine list. By then the list contains any machines that the request
// provisioned.
constexpr double unknown_outcome_list_lags = 2;

const char* name_of(TerminationReason reason) {
    switch (reason) {
        case TerminationReason::idle:
            return "idle";
        case TerminationReason::silent:
            return "silent";
        case TerminationReason::slow_boot:
            return "slow_boot";
        case TerminationReason::failed:
            break;
    }
    return "failed";
}
}  // namespace

Provisioner::Provisioner(Env& env, const Settings& settings, const Policy& policy,
                         const ClusterCoordinator& cluster, CloudClient& cloud, MachineInventory& inventory,
                         PeerChannel& peers)
    : env_(env),
      settings_(settings),
      policy_(policy),
      cluster_(cluster),
      cloud_(cloud),
      inventory_(inventory),
      peers_(peers) {}

std::set<MachineKind> Provisioner::unavailable_machine_kinds(SteadyTime now) const {
    std::set<MachineKind> kinds;
    for (const auto& [kind, until] : unavailable_until_)
        if (until > now) kinds.insert(kind);
    return kinds;
}

std::size_t Provisioner::max_new_machines() const {
    const double calls = std::max(1.0, std::ceil(settings_.cloud_rps * provision_share_of_calls));
    return max_provisioned_per_call * static_cast<std::size_t>(calls);
}

void Provisioner::provision_machines(const std::map<MachineKind, std::uint32_t>& counts) {
    for (const auto& [kind, count] : counts) {
        if (requested_machines_.contains(kind)) continue;
        for (std::uint32_t remaining = count; remaining > 0;
             remaining -= std::min(remaining, max_provisioned_per_call))
            request_machines(kind, std::min(remaining, max_provisioned_per_call));
    }
}

void Provisioner::request_machines(const MachineKind& kind, std::uint32_t count) {
    // The request name is the idempotency key, so it must be unique: each controller process has its own
    // incarnation number, and a process never repeats a request number.
    const std::string request_name = settings_.node.value() + "." +
                                     std::to_string(cluster_.incarnation().value()) + "." +
                                     std::to_string(++last_request_number_);
    requested_machines_[kind] += count;
    log::info("event=scale_out_requested request={} type={} zone={} spot={} count={}", request_name,
              kind.type, kind.zone, kind.spot, count);
    cloud_.provision_machines(request_name, kind.type, kind.zone, kind.spot, count,
                              [this, kind, count, request_name](CloudClient::ProvisionOutcome outcome,
                                                                const std::vector<MachineId>& machines) {
                                  on_provision_response(kind, count, outcome, machines);
                                  log::info("event=scale_out_finished request={} outcome={} machines={}",
                                            request_name, static_cast<int>(outcome), machines.size());
                              });
}

void Provisioner::on_provision_response(const MachineKind& kind, std::uint32_t count,
                                        CloudClient::ProvisionOutcome outcome,
                                        const std::vector<MachineId>& machines) {
    const SteadyTime now = env_.now();
    if (auto it = requested_machines_.find(kind); it != requested_machines_.end()) {
        it->second -= std::min(it->second, count);
        if (it->second == 0) requested_machines_.erase(it);
    }
    for (const auto& id : machines) inventory_.record_provisioned_machine(id, kind, now);
    const bool is_complete = outcome == CloudClient::ProvisionOutcome::ok && machines.size() >= count;
    if (is_complete) return;
    double pause_s = provision_retry_s;
    if (outcome == CloudClient::ProvisionOutcome::no_capacity || outcome == CloudClient::ProvisionOutcome::ok)
        pause_s = policy_.no_capacity_pause_s;
    else if (outcome == CloudClient::ProvisionOutcome::unknown)
        pause_s = settings_.cloud_list_lag_s * unknown_outcome_list_lags + provision_retry_s;
    unavailable_until_[kind] = now + seconds(pause_s);
}

void Provisioner::terminate_machines(std::vector<MachineId> machines, TerminationReason reason) {
    std::erase_if(machines, [&](const auto& id) {
        const ProvisionedMachine* machine = inventory_.find_machine(id);
        return machine != nullptr && machine->is_terminating;
    });
    if (machines.empty()) return;
    if (machines.size() > max_terminated_per_call) machines.resize(max_terminated_per_call);
    for (const auto& id : machines) {
        if (ProvisionedMachine* machine = inventory_.find_machine(id)) machine->is_terminating = true;
        log::info("event=scale_in machine={} reason={}", id.value(), name_of(reason));
    }
    cloud_.terminate_machines(
        machines, [this, machines](bool confirmed) { on_terminate_response(machines, confirmed); });
}

void Provisioner::on_terminate_response(const std::vector<MachineId>& machines, bool confirmed) {
    if (!confirmed) {
        for (const auto& id : machines)
            if (ProvisionedMachine* machine = inventory_.find_machine(id)) machine->is_terminating = false;
        return;
    }
    // The cloud has confirmed that the machines are terminated, so no task runs on them any more. Leaders
    // that are notified can release the tasks that were placed on these machines.
    for (const auto& node : settings_.all_nodes())
        peers_.send(node, wire::MachinesTerminatedNotification{machines});
}

}  // namespace zincdyke::autoscaler
