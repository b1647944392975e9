/// Machines that the autoscaler reserves for a job class or for a single job.
#pragma once
#include <map>

#include "base/env.h"
#include "sched/placement_rules.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Holds the machine reservations of the autoscaler's latest update. They expire after 6 s without an update,
/// so that a failed autoscaler leader leaves no reservations behind.
class ReservedMachines {
  public:
    explicit ReservedMachines(Env& env) : env_(env) {}

    /// Applies one message of a reservation update. The first message of an update discards all earlier
    /// reservations.
    void on_reservation_update(const wire::ReservationUpdate& update);
    /// Whether a reservation prevents tasks of the job from using the machine.
    [[nodiscard]] bool is_blocked_for(const MachineId& id, const wire::JobSpec& job) const;

  private:
    static constexpr Duration update_timeout = std::chrono::seconds(6);
    Env& env_;
    std::map<MachineId, sched::Reservation> reservations_;
    SteadyTime updated_at_{};
};

}  // namespace zincdyke
