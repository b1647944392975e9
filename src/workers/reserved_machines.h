/// Machines that the autoscaler reserves for classes of jobs or for single ones.
#pragma once
#include <map>

#include "base/env.h"
#include "sched/placement_rules.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Owns the reservations of the autoscaler's latest update. They end when no update comes for 6 s: an
/// autoscaler leader that is gone leaves none behind.
class ReservedMachines {
  public:
    explicit ReservedMachines(Env& env) : env_(env) {}

    /// Replaces all reservations, with the messages of the same update that follow.
    void on_update(const wire::ReservationUpdate& update);
    /// The machine is reserved, and tasks of this job may not use it meanwhile.
    [[nodiscard]] bool is_reserved_from(const MachineId& id, const wire::JobSpec& job) const;

  private:
    static constexpr Duration update_timeout = std::chrono::seconds(6);
    Env& env_;
    std::map<MachineId, sched::Reservation> reservations_;
    SteadyTime updated_at_{};
};

}  // namespace zincdyke
