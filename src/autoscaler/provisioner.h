/// Scaling out and in: provisions machines from the cloud and terminates them.
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

/// Why a machine is terminated.
enum class TerminationReason : std::uint8_t { idle, silent, slow_boot, failed };

/// Sends the requests that provision and terminate machines, and keeps track of pending requests.
class Provisioner {
  public:
    /// The references must outlive this object.
    Provisioner(Env& env, const Settings& settings, const Policy& policy, const ClusterCoordinator& cluster,
                CloudClient& cloud, MachineInventory& inventory, PeerChannel& peers);

    /// Discards the pending requests. To be called when this node becomes the autoscaler leader.
    void reset() { requested_machines_.clear(); }
    /// The number of machines of each kind that are requested from the cloud and not yet provisioned.
    const std::map<MachineKind, std::uint32_t>& requested_machines() const { return requested_machines_; }
    /// Kinds that are not requested at present, because a recent request for them failed or was served only
    /// in part.
    std::set<MachineKind> unavailable_kinds(SteadyTime now) const;
    /// Maximum number of new machines in one plan, according to the cloud's request rate.
    std::size_t max_new_machines() const;

    /// Requests machines from the cloud, with several requests for a large count. Kinds with a pending
    /// request are skipped.
    void provision(const std::map<MachineKind, std::uint32_t>& counts);
    /// Terminates machines, at most as many as one request may name, and skips those that are already
    /// terminating. When the cloud confirms the termination, all controllers are notified.
    void terminate(std::vector<MachineId> machines, TerminationReason reason);

  private:
    void request(const MachineKind& kind, std::uint32_t count);
    void on_provisioned(const MachineKind& kind, std::uint32_t count, CloudClient::ProvisionOutcome outcome,
                        const std::vector<MachineId>& machines);
    void on_terminated(const std::vector<MachineId>& machines, bool confirmed);

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
