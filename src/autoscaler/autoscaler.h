/// The autoscaler: provisions machines for waiting tasks and terminates machines that are no longer needed.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "autoscaler/inventory.h"
#include "autoscaler/message_limits.h"
#include "autoscaler/plan.h"
#include "autoscaler/provisioner.h"
#include "autoscaler/reservations.h"
#include "base/env.h"
#include "base/settings.h"
#include "cloud/cloud_client.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "policy/policy.h"
#include "store/state_cache.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Scales machines out and in. Every controller has an Autoscaler; only that of the elected autoscaler leader
/// is active.
///
/// An active autoscaler regularly plans which machines the waiting tasks need, provisions the missing ones,
/// and terminates machines that are idle, slow to boot, failed or have stopped sending heartbeats.
class Autoscaler {
  public:
    /// All references but `policy`, which is copied, must outlive this object.
    Autoscaler(Env& env, const Settings& settings, const Policy& policy, StoreClient& store,
               StateCache& state_cache, ClusterCoordinator& cluster, CloudClient& cloud, PeerChannel& peers);

    /// Starts the periodic planning. Must be called only once.
    void start();
    /// Handles a heartbeat from the controller `from` with the status of the machines that it leads.
    void on_peer_heartbeat(const NodeName& from, const wire::PeerHeartbeat& heartbeat);
    /// Handles the message in which a shard's leader confirms that a machine is drained.
    void on_drain_response(const NodeName& from, const wire::DrainResponse& message);
    /// Handles the autoscaler leader's notification that the cloud has confirmed the termination of machines.
    void on_machines_terminated(const wire::MachinesTerminatedNotification& message);

  private:
    /// Machines to terminate because they do not work, grouped by reason.
    struct FaultyMachines {
        std::vector<MachineId> silent, slow_boot, failed;
    };

    void tick();
    void activate(SteadyTime now);
    void deactivate();
    void read_machine_types();
    void on_machine_types(const std::vector<wire::MachineType>& types);
    void read_machine_list(const std::string& start_after, std::set<MachineId> listed);
    void announce_discovered_machines();
    [[nodiscard]] bool is_still_drained(const NodeName& from, const MachineId& id);
    void terminate_drained_machines();
    void delete_orphaned_pages();

    void plan_capacity();
    void add_usable_machines(autoscaler::PlanInput& input, FaultyMachines& faulty, SteadyTime now);
    bool add_capacity_of_reported_machine(autoscaler::MachineBin& bin, const wire::MachineStatus& status,
                                          const wire::MachineType& type) const;
    bool add_capacity_of_unreported_machine(autoscaler::MachineBin& bin,
                                            autoscaler::ProvisionedMachine& machine,
                                            const wire::MachineType& type, FaultyMachines& faulty,
                                            SteadyTime now) const;
    bool add_capacity_of_booting_machine(autoscaler::MachineBin& bin,
                                         const autoscaler::ProvisionedMachine& machine,
                                         const wire::MachineType& type, FaultyMachines& faulty,
                                         SteadyTime now) const;
    void find_silent_unlisted_machines(FaultyMachines& faulty, SteadyTime now) const;
    void add_requested_machines(autoscaler::PlanInput& input) const;
    bool is_presumed_lost(const wire::MachineStatus& status) const;
    bool is_inventory_complete(SteadyTime now) const;
    void drain_idle_machines(const std::set<MachineId>& needed_machines, SteadyTime now);
    bool is_idle(const wire::MachineStatus& status, const wire::MachineType* type) const;
    void terminate_faulty_machines(FaultyMachines faulty);

    Env& env_;
    const Settings& settings_;
    const Policy policy_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    CloudClient& cloud_;
    PeerChannel& peers_;
    autoscaler::MachineInventory inventory_;
    autoscaler::Provisioner provisioner_;
    autoscaler::ReservationPlanner reservation_planner_;
    bool is_active_ = false;         // whether this node is the autoscaler leader
    bool is_reading_list_ = false;   // whether a read of the cloud's machine list is pending
    bool has_read_list_ = false;     // whether this leader has read the whole machine list
    bool is_deleting_page_ = false;  // whether the deletion of an orphaned page is pending
    SteadyTime active_since_{}, next_list_read_at_{}, next_types_read_at_{};
    std::set<MachineId> drained_machines_;  // machines to terminate together at the next tick
};

}  // namespace zincdyke
