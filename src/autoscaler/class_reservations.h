/// Reservation of machines for job classes whose tasks cannot wait for a new machine to boot.
#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "autoscaler/arrivals.h"
#include "autoscaler/gang_reservations.h"
#include "autoscaler/plan.h"
#include "autoscaler/preemption.h"
#include "base/settings.h"
#include "policy/policy.h"
#include "sched/placement_rules.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// Reserves machines for job classes. A new object is created for each plan.
///
/// A job class whose tasks must start sooner than a new machine can boot needs standby machines. The machines
/// that run the class's tasks are reserved for it, and as many more as its jobs are expected to need, at the
/// recent submission rate, while another machine boots.
class ClassReservations {
  public:
    /// `previous_reservations` are the reservations of the last plan. The machines in `plan_input` are
    /// updated with their new reservations. The references must outlive this object.
    ClassReservations(const Settings& settings, const Policy& policy, const StateCache& state_cache,
                      Preemptor& preemptor, const ReservationMap& previous_reservations,
                      PlanInput& plan_input);

    /// Reserves machines for a job class if it needs standby machines, and adds them to `reservations`.
    /// Returns the demand for standby machines that do not exist yet; nothing if the class needs no standby
    /// machines.
    std::optional<Demand> reserve_for_class(const std::string& job_class, const ArrivalStatistics& arrivals,
                                            WallTime now, ReservationMap& reservations);

  private:
    std::optional<Demand> reserve_for_service(const ArrivalStatistics& arrivals, WallTime now,
                                              ReservationMap& reservations);
    std::size_t standby_replicas(const ArrivalStatistics& arrivals, const wire::MachineType& type,
                                 WallTime now) const;
    static std::size_t startable_tasks(const MachineBin& bin, const wire::JobSpec& spec);
    std::vector<ReservationCandidate> candidates_with_free_capacity(const ArrivalStatistics& arrivals);
    std::set<MachineBin*> bins_caching_images(const std::vector<ReservationCandidate>& candidates,
                                              const ArrivalStatistics& arrivals) const;
    bool can_reserve_machine(const MachineBin& bin, const wire::MachineType* type,
                             const wire::JobSpec& spec) const;
    struct ClassCandidates {
        std::vector<ReservationCandidate> machines;  // candidate machines, ordered by cost
        std::size_t running_class_count = 0;         // number of machines that run tasks of the job class
    };

    const wire::MachineType* cheapest_machine_type(const wire::JobSpec& spec) const;
    double wait_objective_s(const std::string& job_class) const;
    std::size_t standby_machines(const ArrivalStatistics& arrivals, const wire::MachineType& type,
                                 WallTime now) const;
    std::size_t count_waiting_tasks(const wire::JobSpec& spec) const;
    ClassCandidates find_class_candidates(const ArrivalStatistics& arrivals,
                                          const sched::Reservation& reservation);
    double candidate_cost(const MachineBin& bin, const wire::MachineType& type, const wire::JobSpec& spec,
                          bool runs_class, const std::map<std::string, double>& image_shares,
                          const sched::Reservation& reservation) const;
    bool runs_tasks_of_class(const MachineId& id, const std::string& job_class) const;
    double cached_image_share(const MachineId& id, const wire::MachineType& type,
                              const std::map<std::string, double>& image_shares) const;

    const Settings& settings_;
    const Policy& policy_;
    const StateCache& state_cache_;
    Preemptor& preemptor_;
    const ReservationMap& previous_reservations_;
    PlanInput& plan_input_;
};

}  // namespace zincdyke::autoscaler
