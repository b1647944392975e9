/// What the supplier knows of the machines: rented, listed by the cloud, reported by their owners, returned.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/settings.h"
#include "base/types.h"
#include "supply/plan.h"
#include "wire/json_api.h"
#include "wire/peer.h"

namespace zd::supply {

/// What was reported longer ago is too old to count on.
constexpr Duration fresh_report_age = std::chrono::seconds(3);

/// A machine that is, or may be, rented.
struct RentedMachine {
    std::string type, zone;
    bool spot = false;
    wire::MachinePhase phase = wire::MachinePhase::booting;
    Mono first_seen{}, last_listed{};
    double age_s = 0;        ///< At `first_seen`, by the cloud's list.
    bool ever_up = false;    ///< Some controller has heard it.
    bool returning = false;  ///< Its return has been asked of the cloud.
    std::string address;     ///< By the cloud's list.
    Mono unheard_since{};    ///< Listed as running, and no controller hears it.
    Mono drain_asked{};
};

/// The latest word of a machine's owner.
struct MachineReport {
    wire::MachineBeat beat;
    NodeName owner;
    Mono at{};
};

/// The supplier's view of all machines. It sends nothing.
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
    const MachineReport* fresh_report(const MachineId& id, Mono now) const;
    /// Whether a report is recent enough to count on.
    static bool is_fresh(const MachineReport& report, Mono now);
    /// Whether the cloud confirmed the machine's return not long ago; its lists may still show it.
    bool was_returned(const MachineId& id) const { return returned_.contains(id); }

    /// Takes over what its owner reports of a machine.
    void record_report(const NodeName& owner, const wire::MachineBeat& beat, Mono now);
    /// Takes over a line of the cloud's list.
    void record_listed(const wire::ListedMachine& listed, Mono now);
    /// Takes over a machine that the cloud has just rented to us.
    void record_rented(const MachineId& id, const MachineKind& kind, Mono now);
    /// The cloud confirmed that the machine is gone.
    void record_returned(const MachineId& id, Mono now);
    /// Forgets machines that a whole list lacks, long after they were last seen.
    void forget_unlisted(const std::set<MachineId>& listed, Mono now);
    /// Forgets old reports and returns.
    void expire(Mono now);

    /// Machines that the cloud lists as running and that no controller hears.
    std::vector<wire::SightedMachine> unheard(Mono now) const;

  private:
    const Settings& settings_;
    std::map<MachineId, RentedMachine> rented_;
    std::map<MachineId, MachineReport> reports_;
    std::map<MachineId, Mono> returned_;
};

}  // namespace zd::supply
