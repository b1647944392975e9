/// Sends the autoscaler's requests to provision and terminate machines to the cloud.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "autoscaler/inventory.h"
#include "autoscaler/message_limits.h"
#include "autoscaler/plan.h"
#include "base/env.h"
#include "base/settings.h"
#include "cloud/cloud_client.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "policy/policy.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// Why the autoscaler terminates a machine, as written to the log.
enum class TerminationReason : std::uint8_t { idle, silent, slow_boot, failed };

/// Requests the provisioning and the termination of machines from the cloud, and tracks pending requests.
class Provisioner {
  public:
    /// The references must outlive this object.
    Provisioner(Env& env, const Settings& settings, const Policy& policy, const ClusterCoordinator& cluster,
                CloudClient& cloud, MachineInventory& inventory, PeerChannel& peers);

    /// Forgets the pending requests for machines. Must be called when this node becomes the autoscaler
    /// leader.
    void discard_pending_requests() { requested_machines_.clear(); }
    /// Returns, by kind of machine, how many machines have been requested from the cloud but not provisioned
    /// yet.
    const std::map<MachineKind, std::uint32_t>& requested_machines() const { return requested_machines_; }
    /// Returns the kinds of machines that must not be requested at present, because a recent request for them
    /// failed or returned too few machines.
    std::set<MachineKind> unavailable_machine_kinds(SteadyTime now) const;
    /// Returns the maximum number of new machines in one plan, which depends on the cloud's rate limit for
    /// requests.
    std::size_t max_new_machines() const;

    /// Requests `counts` machines of each kind from the cloud. A large count is split into several requests.
    /// Kinds of machines for which a request is already pending are skipped.
    void provision_machines(const std::map<MachineKind, std::uint32_t>& counts);
    /// Requests the termination of machines that are not terminating yet, limited to the maximum number in
    /// one request. All controllers are notified when the cloud confirms the termination.
    void terminate_machines(std::vector<MachineId> machines, TerminationReason reason);

  private:
    void request_machines(const MachineKind& kind, std::uint32_t count);
    void on_provision_response(const MachineKind& kind, std::uint32_t count,
                               CloudClient::ProvisionOutcome outcome, const std::vector<MachineId>& machines);
    void on_terminate_response(const std::vector<MachineId>& machines, bool confirmed);

    Env& env_;
    const Settings& settings_;
    const Policy& policy_;
    const ClusterCoordinator& cluster_;
    CloudClient& cloud_;
    MachineInventory& inventory_;
    PeerChannel& peers_;
    std::map<MachineKind, SteadyTime> unavailable_until_;
    std::map<MachineKind, std::uint32_t> requested_machines_;
    std::uint64_t last_request_number_ = 0;
};

}  // namespace zincdyke::autoscaler
