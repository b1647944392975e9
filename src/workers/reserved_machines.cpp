#include "workers/reserved_machines.h"

namespace zincdyke {

void ReservedMachines::on_reservation_update(const wire::ReservationUpdate& update) {
    if (update.is_first) reservations_.clear();
    for (const auto& machine : update.machines)
        reservations_[machine.machine] = {machine.job_class, machine.rank, machine.max_save_ms / 1000.0,
                                          machine.job};
    updated_at_ = env_.now();
}

bool ReservedMachines::is_blocked_for(const MachineId& id, const wire::JobSpec& job) const {
    const auto found = reservations_.find(id);
    return found != reservations_.end() && !sched::may_use_reserved(job, found->second) &&
           env_.now() - updated_at_ < update_timeout;
}

}  // namespace zincdyke
