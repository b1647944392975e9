#include "autoscaler/provisioner.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "base/log.h"

namespace zincdyke::autoscaler {
namespace {
constexpr std::size_t max_returned_per_call = 100;  // by the cloud's protocol
constexpr std::uint32_t max_rented_per_call = 50;   // likewise
constexpr double rent_share_of_calls = 0.25;        // the rest is left to lists and returns
constexpr double rent_retry_s = 2;                  // after trouble
constexpr double unknown_outcome_list_lags = 2;     // until the list shows what became of a rental

const char* name_of(ReturnReason reason) {
    switch (reason) {
        case ReturnReason::idle:
            return "idle";
        case ReturnReason::silent:
            return "silent";
        case ReturnReason::slow_boot:
            return "slow_boot";
        case ReturnReason::failed:
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

std::set<MachineKind> Provisioner::refused(SteadyTime now) const {
    std::set<MachineKind> kinds;
    for (const auto& [kind, until] : refused_until_)
        if (until > now) kinds.insert(kind);
    return kinds;
}

std::size_t Provisioner::max_planned() const {
    const double calls = std::max(1.0, std::ceil(settings_.cloud_rps * rent_share_of_calls));
    return max_rented_per_call * static_cast<std::size_t>(calls);
}

void Provisioner::rent(const std::map<MachineKind, std::uint32_t>& counts) {
    for (const auto& [kind, count] : counts) {
        if (renting_.contains(kind)) continue;
        for (std::uint32_t left = count; left > 0; left -= std::min(left, max_rented_per_call))
            request(kind, std::min(left, max_rented_per_call));
    }
}

void Provisioner::request(const MachineKind& kind, std::uint32_t count) {
    // Unique for ever: no two processes share an incarnation, and none counts backwards.
    const std::string name = settings_.node.value() + "." + std::to_string(cluster_.incarnation().value()) +
                             "." + std::to_string(++last_request_);
    renting_[kind] += count;
    log::info("event=scale_out_requested request={} type={} zone={} spot={} count={}", name, kind.type,
              kind.zone, kind.spot, count);
    cloud_.rent(name, kind.type, kind.zone, kind.spot, count,
                [this, kind, count, name](CloudClient::Rent outcome, const std::vector<MachineId>& machines) {
                    on_rented(kind, count, outcome, machines);
                    log::info("event=scale_out_finished request={} outcome={} machines={}", name,
                              static_cast<int>(outcome), machines.size());
                });
}

void Provisioner::on_rented(const MachineKind& kind, std::uint32_t count, CloudClient::Rent outcome,
                            const std::vector<MachineId>& machines) {
    const SteadyTime now = env_.now();
    if (auto it = renting_.find(kind); it != renting_.end()) {
        it->second -= std::min(it->second, count);
        if (it->second == 0) renting_.erase(it);
    }
    for (const auto& id : machines) inventory_.record_rented(id, kind, now);
    const bool complete = outcome == CloudClient::Rent::ok && machines.size() >= count;
    if (complete) return;
    double pause_s = rent_retry_s;
    if (outcome == CloudClient::Rent::no_capacity || outcome == CloudClient::Rent::ok)
        pause_s = policy_.no_capacity_pause_s;
    else if (outcome == CloudClient::Rent::unknown)
        pause_s = settings_.list_lag_s * unknown_outcome_list_lags + rent_retry_s;
    refused_until_[kind] = now + seconds(pause_s);
}

void Provisioner::give_back(std::vector<MachineId> machines, ReturnReason reason) {
    std::erase_if(machines, [&](const auto& id) {
        const RentedMachine* machine = inventory_.find_rented(id);
        return machine != nullptr && machine->returning;
    });
    if (machines.empty()) return;
    if (machines.size() > max_returned_per_call) machines.resize(max_returned_per_call);
    for (const auto& id : machines) {
        if (RentedMachine* machine = inventory_.find_rented(id)) machine->returning = true;
        log::info("event=scale_in machine={} reason={}", id.value(), name_of(reason));
    }
    cloud_.give_back(machines, [this, machines](bool confirmed) { on_give_back(machines, confirmed); });
}

void Provisioner::on_give_back(const std::vector<MachineId>& machines, bool confirmed) {
    if (!confirmed) {
        for (const auto& id : machines)
            if (RentedMachine* machine = inventory_.find_rented(id)) machine->returning = false;
        return;
    }
    // The cloud's word that they are gone is proof for every leader.
    for (const auto& node : settings_.all_nodes())
        peers_.send(node, wire::MachinesTerminatedNotification{machines});
}

}  // namespace zincdyke::autoscaler
