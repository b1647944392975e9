/// What the autoscaler leader knows of the machines: rented, listed by the cloud, reported by their leaders,
/// returned.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "autoscaler/plan.h"
#include "base/settings.h"
#include "base/types.h"
#include "wire/json_api.h"
#include "wire/peer_messages.h"

namespace zincdyke::autoscaler {

/// What was reported longer ago is too old to count on.
constexpr Duration fresh_report_age = std::chrono::seconds(3);

/// A machine that is, or may be, rented.
struct RentedMachine {
    std::string type, zone;
    bool spot = false;
    wire::MachinePhase phase = wire::MachinePhase::booting;
    SteadyTime first_seen{}, last_listed{};
    double age_s = 0;            ///< At `first_seen`, by the cloud's list.
    bool ever_up = false;        ///< Some controller has heard it.
    bool returning = false;      ///< Its return has been asked of the cloud.
    std::string address;         ///< By the cloud's list.
    SteadyTime unheard_since{};  ///< Listed as running, and no controller hears it.
    SteadyTime drain_asked{};
};

/// The latest report of a machine's leader.
struct MachineReport {
    wire::MachineStatus beat;
    NodeName leader;
    SteadyTime at{};
};

/// The autoscaler leader's view of all machines. It sends nothing.
class MachineInventory {
  public:
    explicit MachineInventory(const Settings& settings) : settings_(settings) {}

    const std::map<MachineId, RentedMachine>& rented() const { return rented_; }
    std::map<MachineId, RentedMachine>& rented() { return rented_; }
    const std::map<MachineId, MachineReport>& reports() const { return reports_; }
    /// The machine's record; null when it isn't rented.
    RentedMachine* find_rented(const MachineId& id);
    /// The latest report on a machine; null when there is none.
    const MachineReport* find_report(const MachineId& id) const;
    /// Likewise, but null as well when it is too old to count on.
    const MachineReport* fresh_report(const MachineId& id, SteadyTime now) const;
    /// Whether a report is recent enough to count on.
    static bool is_fresh(const MachineReport& report, SteadyTime now);
    /// Whether the cloud confirmed the machine's return not long ago; its lists may still show it.
    bool was_returned(const MachineId& id) const { return returned_.contains(id); }

    /// Takes over what its leader reports of a machine.
    void record_report(const NodeName& leader, const wire::MachineStatus& beat, SteadyTime now);
    /// Takes over a line of the cloud's list.
    void record_listed(const wire::ListedMachine& listed, SteadyTime now);
    /// Takes over a machine that the cloud has just rented to us.
    void record_rented(const MachineId& id, const MachineKind& kind, SteadyTime now);
    /// The cloud confirmed that the machine is gone.
    void record_returned(const MachineId& id, SteadyTime now);
    /// Forgets machines that a whole list lacks, long after they were last seen.
    void forget_unlisted(const std::set<MachineId>& listed, SteadyTime now);
    /// Forgets old reports and returns.
    void expire(SteadyTime now);

    /// Machines that the cloud lists as running and that no controller hears.
    std::vector<wire::DiscoveredMachine> unheard(SteadyTime now) const;

  private:
    const Settings& settings_;
    std::map<MachineId, RentedMachine> rented_;
    std::map<MachineId, MachineReport> reports_;
    std::map<MachineId, SteadyTime> returned_;
};

}  // namespace zincdyke::autoscaler
