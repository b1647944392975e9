#include "autoscaler/inventory.h"

#include "base/log.h"

namespace zincdyke::autoscaler {
namespace {
constexpr Duration report_retention = std::chrono::seconds(60);
// Records of unlisted and of terminated machines are kept for this multiple of the time by which the cloud's
// machine list lags behind the actual state, plus a margin.
constexpr double list_lag_multiple = 3;
constexpr double unlisted_margin_s = 5;
constexpr double terminated_margin_s = 30;
}  // namespace

ProvisionedMachine* MachineInventory::find_machine(const MachineId& id) {
    auto it = machines_.find(id);
    return it == machines_.end() ? nullptr : &it->second;
}

const MachineReport* MachineInventory::find_report(const MachineId& id) const {
    auto it = reports_.find(id);
    return it == reports_.end() ? nullptr : &it->second;
}

bool MachineInventory::is_recent_report(const MachineReport& report, SteadyTime now) {
    return now - report.received_at < max_report_age;
}

const MachineReport* MachineInventory::recent_report(const MachineId& id, SteadyTime now) const {
    const MachineReport* report = find_report(id);
    return report != nullptr && is_recent_report(*report, now) ? report : nullptr;
}

void MachineInventory::record_report(const NodeName& leader, const wire::MachineStatus& status,
                                     SteadyTime now) {
    reports_[status.id] = {status, leader, now};
    // A machine that sends heartbeats is added to the inventory even if the cloud's machine list, which lags,
    // does not contain it yet. Plans can then use it, and it is terminated once it is idle.
    if (status.silent || status.address.empty()) return;
    auto [it, is_new] = machines_.try_emplace(status.id);
    ProvisionedMachine& machine = it->second;
    if (is_new) {
        machine.first_seen_at = now;
        log::info("event=machine_adopted machine={} type={}", status.id.value(), status.type);
    }
    machine.type = status.type;
    machine.zone = status.zone;
    machine.spot = status.spot;
    machine.phase = wire::MachinePhase::running;
    machine.has_sent_heartbeat = true;
    machine.last_listed_at = now;
}

void MachineInventory::record_listed_machine(const wire::ListedMachine& listed, SteadyTime now) {
    if (terminated_at_.contains(listed.id)) return;
    auto [it, is_new] = machines_.try_emplace(listed.id);
    ProvisionedMachine& machine = it->second;
    if (is_new) {
        machine.first_seen_at = now;
        machine.listed_age_s = listed.age_s;
    }
    machine.type = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
    machine.last_listed_at = now;
    machine.address = listed.address;
    // The cloud's machine list lags, so it may still contain the machine's phase before its first heartbeat.
    if (!machine.has_sent_heartbeat || listed.phase == wire::MachinePhase::failed)
        machine.phase = listed.phase;
}

void MachineInventory::record_provisioned_machine(const MachineId& id, const MachineKind& kind,
                                                  SteadyTime now) {
    auto [it, is_new] = machines_.try_emplace(id);
    if (!is_new) return;
    ProvisionedMachine& machine = it->second;
    machine.type = kind.type;
    machine.zone = kind.zone;
    machine.spot = kind.spot;
    machine.first_seen_at = machine.last_listed_at = now;
}

void MachineInventory::record_terminated_machine(const MachineId& id, SteadyTime now) {
    machines_.erase(id);
    reports_.erase(id);
    terminated_at_[id] = now;
}

// Plans do not use removed machines, because a machine that is missing from the cloud's list for long
// probably does not exist. Its absence from the list does not prove that its tasks have stopped.
void MachineInventory::remove_unlisted_machines(const std::set<MachineId>& listed, SteadyTime now) {
    const Duration retention = seconds(settings_.cloud_list_lag_s * list_lag_multiple + unlisted_margin_s);
    std::erase_if(machines_, [&](const auto& entry) {
        const auto& [id, machine] = entry;
        return !listed.contains(id) && now - machine.last_listed_at > retention &&
               now - machine.first_seen_at > retention;
    });
}

void MachineInventory::remove_expired_records(SteadyTime now) {
    const Duration retention = seconds(settings_.cloud_list_lag_s * list_lag_multiple + terminated_margin_s);
    std::erase_if(terminated_at_, [&](const auto& entry) { return now - entry.second > retention; });
    std::erase_if(reports_,
                  [&](const auto& entry) { return now - entry.second.received_at > report_retention; });
}

std::vector<wire::DiscoveredMachine> MachineInventory::running_machines_without_heartbeat(
    SteadyTime now) const {
    std::vector<wire::DiscoveredMachine> machines;
    for (const auto& [id, machine] : machines_) {
        if (machine.phase != wire::MachinePhase::running || machine.address.empty() || machine.is_terminating)
            continue;
        const MachineReport* report = recent_report(id, now);
        const bool has_heartbeat =
            report != nullptr && !report->status.silent && !report->status.address.empty();
        if (!has_heartbeat) machines.push_back({id, machine.address});
    }
    return machines;
}

}  // namespace zincdyke::autoscaler
