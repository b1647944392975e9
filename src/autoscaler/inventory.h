/// Inventory of the machines that the autoscaler has provisioned, the cloud lists, or controllers report, and
/// of recently terminated machines.
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

/// A report on a machine is out of date when it has reached this age.
constexpr Duration max_report_age = std::chrono::seconds(3);

/// A machine that the autoscaler believes to exist in the cloud.
struct ProvisionedMachine {
    std::string type, zone;
    bool spot = false;
    wire::MachinePhase phase = wire::MachinePhase::booting;
    SteadyTime first_seen_at{}, last_listed_at{};
    /// The machine's age at `first_seen_at` according to the cloud's machine list, in seconds; 0 if the
    /// machine was not listed then.
    double listed_age_s = 0;
    bool has_sent_heartbeat = false;  ///< Whether any controller has received a heartbeat from the machine.
    bool is_terminating = false;      ///< Whether the cloud has been requested to terminate the machine.
    std::string address;              ///< The worker's address in the cloud's list; empty: none.
    /// Start of the current period in which the machine is running but its leader has not recently reported a
    /// heartbeat from it; 0: there is no such period.
    SteadyTime no_heartbeat_since{};
    SteadyTime drain_requested_at{};  ///< When the machine's drain was last requested; 0: never.
};

/// The latest status of a machine, received from the leader of the machine's shard.
struct MachineReport {
    wire::MachineStatus status;
    NodeName leader;
    SteadyTime received_at{};
};

/// Records of all machines that the autoscaler has provisioned or discovered. Sends no messages.
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
    /// Returns whether a report on a machine is younger than `max_report_age`.
    static bool is_recent_report(const MachineReport& report, SteadyTime now);
    /// Whether the cloud has recently confirmed the machine's termination. Its machine list may still contain
    /// the machine.
    bool was_terminated(const MachineId& id) const { return terminated_at_.contains(id); }

    /// Records a machine's status as reported by its shard leader.
    void record_report(const NodeName& leader, const wire::MachineStatus& status, SteadyTime now);
    /// Records an entry of the cloud's machine list.
    void record_listed_machine(const wire::ListedMachine& listed, SteadyTime now);
    /// Records a machine that the cloud has just provisioned.
    void record_provisioned_machine(const MachineId& id, const MachineKind& kind, SteadyTime now);
    /// Replaces the machine's record and report by a record of its confirmed termination.
    void record_terminated_machine(const MachineId& id, SteadyTime now);
    /// Removes machines that are not in `listed`, the cloud's complete machine list, and have neither been
    /// listed nor sent a heartbeat for a long time.
    void remove_unlisted_machines(const std::set<MachineId>& listed, SteadyTime now);
    /// Removes reports on machines and records of terminations that are too old to be used.
    void remove_expired_records(SteadyTime now);

    /// Returns the machines that the cloud lists as running but that send heartbeats to no controller.
    std::vector<wire::DiscoveredMachine> running_machines_without_heartbeat(SteadyTime now) const;

  private:
    const Settings& settings_;
    std::map<MachineId, ProvisionedMachine> machines_;
    std::map<MachineId, MachineReport> reports_;
    std::map<MachineId, SteadyTime> terminated_at_;
};

}  // namespace zincdyke::autoscaler
