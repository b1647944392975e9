/// Stopping tasks so that work of higher rank finds room on their machines.
#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "autoscaler/inventory.h"
#include "autoscaler/peer_messages.h"
#include "autoscaler/plan.h"
#include "base/env.h"
#include "cluster/peer_channel.h"
#include "policy/policy.h"
#include "sched/placement_rules.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// A machine to reserve, with its place in the order of choice: the lowest rating first.
struct RatedBin {
    double rating = 0;
    Bin* bin = nullptr;
};

/// Chooses which tasks to stop, and asks their leaders to.
class Preemptor {
  public:
    Preemptor(Env& env, const Policy& policy, const StateCache& state_cache,
              const MachineInventory& inventory, PeerChannel& peers);

    /// Forgets since when tasks are placed: this node is not the autoscaler leader.
    void reset();
    /// Notes what has been placed or has ended since the last call.
    void track_placements();
    /// Forgets the machines that were asked to make room long ago.
    void expire();
    /// Whether the machine's tasks were asked to make room, not long ago.
    bool is_clearing(const MachineId& id) const { return clearing_.contains(id); }
    /// The work that making room for such tasks would lose by stopping others on the machine, in seconds;
    /// nothing when they may not be stopped. Replicas of services stay, where there is room beside them.
    std::optional<double> loss_of(const Bin& machine, const wire::JobSpec& spec,
                                  const sched::Reservation& reservation) const;
    /// Clears as many of these machines as the `waiting` tasks of a job like `spec` lack. Returns how many
    /// more could be cleared without loss of work.
    std::size_t make_room(const std::vector<RatedBin>& machines, std::size_t waiting,
                          const wire::JobSpec& spec, const sched::Reservation& reservation);

  private:
    void clear(const MachineId& id, double loss_s, const sched::Reservation& reservation);

    Env& env_;
    const Policy& policy_;
    const StateCache& state_cache_;
    const MachineInventory& inventory_;
    PeerChannel& peers_;
    bool tracking_ = false;
    std::map<std::pair<TaskRef, Attempt>, SteadyTime> placed_since_;  // as this leader saw it
    std::map<MachineId, SteadyTime> clearing_;                        // when it was asked
};

}  // namespace zincdyke::autoscaler
