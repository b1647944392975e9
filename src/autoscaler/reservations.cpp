#include "autoscaler/reservations.h"

#include <utility>
#include <vector>

#include "autoscaler/class_reservations.h"

namespace zincdyke::autoscaler {

ReservationPlanner::ReservationPlanner(Env& env, const Settings& settings, const Policy& policy,
                                       const StateCache& state_cache, const MachineInventory& inventory,
                                       PeerChannel& peers)
    : env_(env),
      settings_(settings),
      policy_(policy),
      state_cache_(state_cache),
      peers_(peers),
      preemptor_(env, policy, state_cache, inventory, peers) {}

void ReservationPlanner::replace_reservations(PlanInput& plan_input) {
    const WallTime now = env_.wall();
    preemptor_.track_placements();
    record_arrivals();
    preemptor_.remove_expired_requests();
    ReservationMap reservations =
        GangReservations(settings_, state_cache_, preemptor_, reservations_, plan_input.machine_bins)
            .reserve_for_gangs(now);
    ClassReservations classes(settings_, policy_, state_cache_, preemptor_, reservations_, plan_input);
    std::vector<Demand> standby_demands;
    for (auto& [group, arrivals] : arrivals_by_group_) {
        arrivals.remove_expired_submissions(now);
        if (auto demand = classes.reserve_for_class(group.job_class, arrivals, now, reservations))
            standby_demands.push_back(std::move(*demand));
    }
    // The demands for standby machines are added after the loop, because ClassReservations counts the tasks
    // in `plan_input.demands` as waiting tasks.
    for (Demand& demand : standby_demands) plan_input.demands.push_back(std::move(demand));
    reservations_ = std::move(reservations);
}

void ReservationPlanner::record_arrivals() {
    for (const auto& [id, job] : state_cache_.jobs())
        if (!job.cancelled)
            arrivals_by_group_[{job.spec.job_class, job.spec.is_service()}].record_submission(job);
}

void ReservationPlanner::announce_reservations() const {
    std::map<NodeName, std::vector<wire::ReservedMachine>> by_leader;
    for (const auto& node : settings_.all_nodes()) by_leader[node];
    for (const auto& [id, reservation] : reservations_) {
        auto leader = by_leader.find(state_cache_.shards()[state_cache_.shard_of(id)].leader);
        if (leader == by_leader.end()) continue;
        leader->second.push_back({id, reservation.job_class, reservation.rank,
                                  static_cast<std::uint32_t>(reservation.max_save_s * 1000),
                                  reservation.job});
    }
    for (auto& [node, machines] : by_leader) {
        wire::ReservationUpdate message;
        for (auto& machine : machines) {
            message.machines.push_back(std::move(machine));
            if (message.machines.size() < max_machines_per_message) continue;
            peers_.send(node, std::exchange(message, wire::ReservationUpdate{false, {}}));
        }
        if (message.is_first || !message.machines.empty()) peers_.send(node, std::move(message));
    }
}

}  // namespace zincdyke::autoscaler
