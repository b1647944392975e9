#include "workers/machine_registry.h"

#include "base/log.h"

namespace zincdyke {

void Machine::apply_heartbeat(const wire::Heartbeat& heartbeat, Term term, HeartbeatSource source,
                              SteadyTime now) {
    link.on_message(heartbeat, term, source, now);
    type = heartbeat.type;
    zone = heartbeat.zone;
    spot = heartbeat.spot;
    address = heartbeat.address;
    if (heartbeat.spot_notice_s && !spot_notice_s)
        log::info("event=spot_notice machine={} seconds={:.1f} tasks={}", heartbeat.machine.value(),
                  *heartbeat.spot_notice_s, heartbeat.tasks.size());
    spot_notice_s = heartbeat.spot_notice_s;
    cached_capacity.free.reset();
    active_tasks.clear();
    ended_attempts.clear();
    for (const auto& status : heartbeat.tasks) {
        if (status.phase == wire::TaskPhase::ended)
            ended_attempts.insert({status.task, status.attempt});
        else
            active_tasks.insert(status.task);
    }
}

Machine* MachineRegistry::find(const MachineId& id) {
    const auto found = machines_.find(id);
    return found == machines_.end() ? nullptr : &found->second;
}

const Machine* MachineRegistry::find(const MachineId& id) const {
    const auto found = machines_.find(id);
    return found == machines_.end() ? nullptr : &found->second;
}

bool MachineRegistry::can_register(const MachineId& id) const {
    return machines_.size() < max_machines || machines_.contains(id);
}

Machine& MachineRegistry::find_or_add(const MachineId& id) {
    Machine& machine = machines_[id];
    if (machine.monitored_since == SteadyTime{}) machine.monitored_since = env_.now();
    return machine;
}

void MachineRegistry::remove(const MachineId& id) {
    if (machines_.erase(id) > 0) observer_.on_machine_removed(id);
}

wire::FencingToken MachineRegistry::fencing_token_for(const MachineId& id, Term term) const {
    const Machine* machine = find(id);
    return machine == nullptr ? wire::FencingToken{term, 0} : machine->link.fencing_token(term);
}

void MachineRegistry::mark_terminated(const MachineId& id) {
    if (terminated_.insert(id).second) terminated_order_.push_back(id);
    if (terminated_order_.size() > max_terminated_machines) {
        terminated_.erase(terminated_order_.front());
        terminated_order_.pop_front();
    }
}

}  // namespace zincdyke
