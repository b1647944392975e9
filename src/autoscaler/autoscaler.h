/// The autoscaler: its elected leader scales out for the waiting work, and scales in again.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "autoscaler/inventory.h"
#include "autoscaler/peer_messages.h"
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

/// The autoscaler. Every controller has one; only that of the elected autoscaler leader acts.
///
/// Twice a second it plans which machines the waiting work needs, rents those that are missing, gives up slow
/// boots, and returns machines that are idle, silent or failed.
class Autoscaler {
  public:
    Autoscaler(Env& env, const Settings& settings, const Policy& policy, StoreClient& store,
               StateCache& state_cache, ClusterCoordinator& cluster, CloudClient& cloud, PeerChannel& peers);

    /// Begins to tick.
    void start();
    /// A controller reports the machines of its shards.
    void on_peer_heartbeat(const NodeName& from, const wire::PeerHeartbeat& beat);
    /// A leader has emptied a machine that it was asked to drain.
    void on_drain_response(const wire::DrainResponse& message);
    /// The autoscaler leader tells of machines whose termination is confirmed.
    void on_machines_terminated(const wire::MachinesTerminatedNotification& message);

  private:
    /// Machines to return, found while looking through all.
    struct Faulty {
        std::vector<MachineId> silent, slow, failed;
    };

    void tick();
    void activate(SteadyTime now);
    void deactivate();
    void read_types();
    void on_types(const std::vector<wire::MachineType>& types);
    void read_list(const std::string& after, std::set<MachineId> seen);
    void announce_discovered_machines();
    void return_drained();
    void delete_orphaned_pages();

    void plan();
    void add_machines(autoscaler::PlanInput& input, Faulty& faulty, SteadyTime now);
    bool add_heard_slots(autoscaler::Bin& bin, const wire::MachineStatus& beat,
                         const wire::MachineType& type) const;
    bool add_unheard_slots(autoscaler::Bin& bin, autoscaler::RentedMachine& machine,
                           const wire::MachineType& type, Faulty& faulty, SteadyTime now) const;
    bool add_booting_slots(autoscaler::Bin& bin, const autoscaler::RentedMachine& machine,
                           const wire::MachineType& type, Faulty& faulty, SteadyTime now) const;
    void find_silent_placements(Faulty& faulty, SteadyTime now) const;
    void add_rentals_under_way(autoscaler::PlanInput& input) const;
    bool is_lost(const wire::MachineStatus& beat) const;
    bool inventory_complete(SteadyTime now) const;
    void drain_idle(const std::set<MachineId>& wanted, SteadyTime now);
    bool is_idle(const wire::MachineStatus& beat, const wire::MachineType* type) const;
    void return_faulty(Faulty faulty);

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
    autoscaler::ReservationPlanner reservations_;
    bool active_ = false;    // this node is the autoscaler leader
    bool listing_ = false;   // a page of the cloud's list has been asked for
    bool listed_ = false;    // the list has been read to its end since this node became the leader
    bool cleaning_ = false;  // an orphan is being deleted
    SteadyTime active_since_{}, list_due_{}, types_due_{};
    std::set<MachineId> drained_;  // empty by their leaders' word, to be returned together
};

}  // namespace zincdyke
