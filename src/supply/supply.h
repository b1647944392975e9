/// The supplier: the elected controller that rents machines for the waiting work and returns them.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cloud/cloud.h"
#include "cluster/cluster.h"
#include "policy/policy.h"
#include "store/model.h"
#include "store/store.h"
#include "supply/inventory.h"
#include "supply/peer_messages.h"
#include "supply/plan.h"
#include "supply/provisioner.h"
#include "supply/reservations.h"
#include "wire/peer.h"

namespace zd {

/// The autoscaler. Every controller has one; only the elected supplier's acts.
///
/// Twice a second it plans which machines the waiting work needs, rents those that are missing, gives up slow
/// boots, and returns machines that are idle, silent or failed.
class Supply {
  public:
    using SendPeer = supply::SendPeer;
    Supply(Env& env, const Settings& settings, const Policy& policy, StoreClient& store, Model& model,
           Cluster& cluster, CloudClient& cloud, const SendPeer& send);

    /// Begins to tick.
    void start();
    /// A controller reports the machines of its parts.
    void on_beat(const NodeName& from, const wire::Beat& beat);
    /// An owner has emptied a machine that it was asked to drain.
    void on_drained(const wire::Drained& message);
    /// The supplier tells of machines whose return is confirmed.
    void on_gone(const wire::Gone& message);

  private:
    /// Machines to return, found while looking through all.
    struct Faulty {
        std::vector<MachineId> silent, slow, failed;
    };

    void tick();
    void activate(Mono now);
    void deactivate();
    void read_types();
    void on_types(const std::vector<wire::MachineType>& types);
    void read_list(const std::string& after, std::set<MachineId> seen);
    void announce_sighted();
    void return_drained();
    void clean_orphans();

    void plan();
    void add_machines(supply::PlanInput& input, Faulty& faulty, Mono now);
    bool add_heard_slots(supply::Bin& bin, const wire::MachineBeat& beat,
                         const wire::MachineType& type) const;
    bool add_unheard_slots(supply::Bin& bin, supply::RentedMachine& machine, const wire::MachineType& type,
                           Faulty& faulty, Mono now) const;
    bool add_booting_slots(supply::Bin& bin, const supply::RentedMachine& machine,
                           const wire::MachineType& type, Faulty& faulty, Mono now) const;
    void find_silent_placements(Faulty& faulty, Mono now) const;
    void add_rentals_under_way(supply::PlanInput& input) const;
    bool is_lost(const wire::MachineBeat& beat) const;
    bool inventory_complete(Mono now) const;
    void drain_idle(const std::set<MachineId>& wanted, Mono now);
    bool is_idle(const wire::MachineBeat& beat, const wire::MachineType* type) const;
    void return_faulty(Faulty faulty);

    Env& env_;
    const Settings& settings_;
    const Policy policy_;
    StoreClient& store_;
    Model& model_;
    Cluster& cluster_;
    CloudClient& cloud_;
    SendPeer send_;
    supply::MachineInventory inventory_;
    supply::Provisioner provisioner_;
    supply::ReservationPlanner reservations_;
    bool active_ = false;    // this node is the supplier
    bool listing_ = false;   // a page of the cloud's list has been asked for
    bool listed_ = false;    // the list has been read to its end since this node became the supplier
    bool cleaning_ = false;  // an orphan is being deleted
    Mono active_since_{}, list_due_{}, types_due_{};
    std::set<MachineId> drained_;  // empty by their owners' word, to be returned together
};

}  // namespace zd
