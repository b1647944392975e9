/// The autoscaler leader's inventory of machines: requested from the cloud, listed by the cloud, reported by
/// controllers, or terminated.
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

/// Age from which a machine report is out of date.
constexpr Duration max_report_age = std::chrono::seconds(3);

/// A machine that the autoscaler believes to exist in the cloud.
struct ProvisionedMachine {
    std::string type, zone;
    bool spot = false;
    wire::MachinePhase phase = wire::MachinePhase::booting;
    SteadyTime first_seen_at{}, last_listed_at{};
    double listed_age_s = 0;          ///< The machine's age at `first_seen_at` according to the cloud.
    bool has_sent_heartbeat = false;  ///< Whether any controller has ever received its heartbeat.
    bool is_terminating = false;      ///< Whether its termination has been requested from the cloud.
    std::string address;              ///< The worker's address in the cloud's machine list.
    /// Start of the time in which the cloud lists the machine as running but no controller receives
    /// heartbeats from it; 0: no such time.
    SteadyTime no_heartbeat_since{};
    SteadyTime drain_requested_at{};  ///< The last drain request; 0: none.
};

/// The latest status of a machine that the leader of its shard has sent.
struct MachineReport {
    wire::MachineStatus status;
    NodeName leader;
    SteadyTime received_at{};
};

/// The autoscaler leader's records of all machines. It sends no messages.
class MachineInventory {
  public:
    explicit MachineInventory(const Settings& settings) : settings_(settings) {}

    const std::map<MachineId, ProvisionedMachine>& machines() const { return machines_; }
    std::map<MachineId, ProvisionedMachine>& machines() { return machines_; }
    const std::map<MachineId, MachineReport>& reports() const { return reports_; }
    /// Returns the machine's record; null if there is none.
    ProvisionedMachine* find_machine(const MachineId& id);
    /// Returns the latest report on a machine; null if there is none.
    const MachineReport* find_report(const MachineId& id) const;
    /// Returns the latest report on a machine; null if there is none or it is out of date.
    const MachineReport* recent_report(const MachineId& id, SteadyTime now) const;
    /// Whether a report is younger than `max_report_age`.
    static bool is_recent(const MachineReport& report, SteadyTime now);
    /// Whether the cloud has recently confirmed the machine's termination. Its machine list may still contain
    /// the machine.
    bool was_terminated(const MachineId& id) const { return terminated_at_.contains(id); }

    /// Records a machine's status as reported by its shard leader.
    void record_report(const NodeName& leader, const wire::MachineStatus& status, SteadyTime now);
    /// Records an entry of the cloud's machine list.
    void record_listed(const wire::ListedMachine& listed, SteadyTime now);
    /// Records a machine that the cloud has just provisioned.
    void record_provisioned(const MachineId& id, const MachineKind& kind, SteadyTime now);
    /// Records that the cloud has confirmed the machine's termination.
    void record_terminated(const MachineId& id, SteadyTime now);
    /// Removes machines that are missing from the complete list `listed` and were last seen long ago.
    void remove_unlisted(const std::set<MachineId>& listed, SteadyTime now);
    /// Removes old reports and old records of terminations.
    void expire(SteadyTime now);

    /// Machines that the cloud lists as running and from which no controller receives heartbeats.
    std::vector<wire::DiscoveredMachine> running_without_heartbeat(SteadyTime now) const;

  private:
    const Settings& settings_;
    std::map<MachineId, ProvisionedMachine> machines_;
    std::map<MachineId, MachineReport> reports_;
    std::map<MachineId, SteadyTime> terminated_at_;
};

}  // namespace zincdyke::autoscaler
