/// Scaling out and in: renting machines from the cloud and returning them.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "autoscaler/inventory.h"
#include "autoscaler/peer_messages.h"
#include "autoscaler/plan.h"
#include "base/env.h"
#include "base/settings.h"
#include "cloud/cloud_client.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "policy/policy.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// Why a machine is returned.
enum class ReturnReason : std::uint8_t { idle, silent, slow_boot, failed };

/// Makes the calls that rent and return machines, and keeps account of those under way.
class Provisioner {
  public:
    Provisioner(Env& env, const Settings& settings, const Policy& policy, const ClusterCoordinator& cluster,
                CloudClient& cloud, MachineInventory& inventory, PeerChannel& peers);

    /// Forgets the rentals under way: this node has just become the autoscaler leader.
    void reset() { renting_.clear(); }
    /// Machines asked for, by kind, while the cloud has not answered.
    const std::map<MachineKind, std::uint32_t>& renting() const { return renting_; }
    /// Kinds that the cloud refused a short while ago.
    std::set<MachineKind> refused(SteadyTime now) const;
    /// The number of machines to plan for at a time.
    std::size_t max_planned() const;

    /// Rents machines, in as many calls as it takes. A kind that is being rented already is left out.
    void rent(const std::map<MachineKind, std::uint32_t>& counts);
    /// Returns machines, as many as one call takes; those that are being returned already are left out. When
    /// the cloud confirms it, all controllers are told.
    void give_back(std::vector<MachineId> machines, ReturnReason reason);

  private:
    void request(const MachineKind& kind, std::uint32_t count);
    void on_rented(const MachineKind& kind, std::uint32_t count, CloudClient::Rent outcome,
                   const std::vector<MachineId>& machines);
    void on_give_back(const std::vector<MachineId>& machines, bool confirmed);

    Env& env_;
    const Settings& settings_;
    const Policy& policy_;
    const ClusterCoordinator& cluster_;
    CloudClient& cloud_;
    MachineInventory& inventory_;
    PeerChannel& peers_;
    std::map<MachineKind, SteadyTime> refused_until_;
    std::map<MachineKind, std::uint32_t> renting_;
    std::uint64_t last_request_ = 0;
};

}  // namespace zincdyke::autoscaler
