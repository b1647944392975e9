#include "autoscaler/inventory.h"

#include "base/log.h"

namespace zincdyke::autoscaler {
namespace {
constexpr Duration report_memory = std::chrono::seconds(60);
// The cloud's list lags behind; what depends on it waits for several times as long.
constexpr double list_lags_waited = 3;
constexpr double unlisted_margin_s = 5;
constexpr double returned_margin_s = 30;
}  // namespace

RentedMachine* MachineInventory::find_rented(const MachineId& id) {
    auto it = rented_.find(id);
    return it == rented_.end() ? nullptr : &it->second;
}

const MachineReport* MachineInventory::find_report(const MachineId& id) const {
    auto it = reports_.find(id);
    return it == reports_.end() ? nullptr : &it->second;
}

bool MachineInventory::is_fresh(const MachineReport& report, SteadyTime now) {
    return now - report.at < fresh_report_age;
}

const MachineReport* MachineInventory::fresh_report(const MachineId& id, SteadyTime now) const {
    const MachineReport* report = find_report(id);
    return report != nullptr && is_fresh(*report, now) ? report : nullptr;
}

void MachineInventory::record_report(const NodeName& leader, const wire::MachineStatus& beat,
                                     SteadyTime now) {
    reports_[beat.id] = {beat, leader, now};
    // A machine that reports is there, whatever the lagging list says: unexpected ones are used or returned.
    if (beat.silent || beat.address.empty()) return;
    auto [it, fresh] = rented_.try_emplace(beat.id);
    RentedMachine& machine = it->second;
    if (fresh) {
        machine.first_seen = now;
        log::info("event=machine_adopted machine={} type={}", beat.id.value(), beat.type);
    }
    machine.type = beat.type;
    machine.zone = beat.zone;
    machine.spot = beat.spot;
    machine.phase = wire::MachinePhase::running;
    machine.ever_up = true;
    machine.last_listed = now;
}

void MachineInventory::record_listed(const wire::ListedMachine& listed, SteadyTime now) {
    if (returned_.contains(listed.id)) return;
    auto [it, fresh] = rented_.try_emplace(listed.id);
    RentedMachine& machine = it->second;
    if (fresh) {
        machine.first_seen = now;
        machine.age_s = listed.age_s;
    }
    machine.type = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
    machine.last_listed = now;
    machine.address = listed.address;
    // A list is older than what the machine itself said.
    if (!machine.ever_up || listed.phase == wire::MachinePhase::failed) machine.phase = listed.phase;
}

void MachineInventory::record_rented(const MachineId& id, const MachineKind& kind, SteadyTime now) {
    auto [it, fresh] = rented_.try_emplace(id);
    if (!fresh) return;
    RentedMachine& machine = it->second;
    machine.type = kind.type;
    machine.zone = kind.zone;
    machine.spot = kind.spot;
    machine.first_seen = machine.last_listed = now;
}

void MachineInventory::record_returned(const MachineId& id, SteadyTime now) {
    rented_.erase(id);
    reports_.erase(id);
    returned_[id] = now;
}

// Not listed long after it was: gone. The list proves nothing about its tasks, only what we may count on.
void MachineInventory::forget_unlisted(const std::set<MachineId>& listed, SteadyTime now) {
    const Duration wait = seconds(settings_.list_lag_s * list_lags_waited + unlisted_margin_s);
    std::erase_if(rented_, [&](const auto& entry) {
        const auto& [id, machine] = entry;
        return !listed.contains(id) && now - machine.last_listed > wait && now - machine.first_seen > wait;
    });
}

void MachineInventory::expire(SteadyTime now) {
    const Duration wait = seconds(settings_.list_lag_s * list_lags_waited + returned_margin_s);
    std::erase_if(returned_, [&](const auto& entry) { return now - entry.second > wait; });
    std::erase_if(reports_, [&](const auto& entry) { return now - entry.second.at > report_memory; });
}

std::vector<wire::DiscoveredMachine> MachineInventory::unheard(SteadyTime now) const {
    std::vector<wire::DiscoveredMachine> machines;
    for (const auto& [id, machine] : rented_) {
        if (machine.phase != wire::MachinePhase::running || machine.address.empty() || machine.returning)
            continue;
        const MachineReport* report = fresh_report(id, now);
        const bool heard = report != nullptr && !report->beat.silent && !report->beat.address.empty();
        if (!heard) machines.push_back({id, machine.address});
    }
    return machines;
}

}  // namespace zincdyke::autoscaler
