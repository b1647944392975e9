/// Reservation of machines for job classes that cannot wait for a boot.
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

/// Reserves machines for job classes, once for each plan.
///
/// A class whose wait objective is shorter than a machine's boot needs standby machines. It gets the machines
/// that run its tasks, and as many more as are expected to be needed, at the recent arrival rate, in the time
/// that another machine takes to boot.
class ClassReservations {
  public:
    /// `previous_reservations` are those of the last plan. Reserved bins of `plan_input` are marked. The
    /// references must outlive this object.
    ClassReservations(const Settings& settings, const Policy& policy, const StateCache& state_cache,
                      Preemptor& preemptor, const ReservationMap& previous_reservations,
                      PlanInput& plan_input);

    /// Reserves machines for a class if it needs standby machines, and adds them to `reservations`. Returns
    /// the demand for standby machines beyond the existing ones; nothing if the class needs none.
    std::optional<Demand> reserve(const std::string& job_class, const ArrivalStatistics& arrivals,
                                  WallTime now, ReservationMap& reservations);

  private:
    std::optional<Demand> reserve_for_service(const ArrivalStatistics& arrivals, WallTime now,
                                              ReservationMap& reservations);
    std::size_t standby_replicas(const ArrivalStatistics& arrivals, const wire::MachineType& type,
                                 WallTime now) const;
    static std::size_t startable_tasks(const MachineBin& bin, const wire::JobSpec& spec);
    std::vector<ReservationCandidate> candidates_with_capacity(const ArrivalStatistics& arrivals);
    std::set<MachineBin*> bins_caching_images(const std::vector<ReservationCandidate>& candidates,
                                              const ArrivalStatistics& arrivals) const;
    bool can_reserve(const MachineBin& bin, const wire::MachineType* type, const wire::JobSpec& spec) const;
    struct Candidates {
        std::vector<ReservationCandidate> list;  // ordered by cost
        std::size_t running_class = 0;           // number of machines that run tasks of the class
    };

    const wire::MachineType* cheapest_type(const wire::JobSpec& spec) const;
    double wait_objective_s(const std::string& job_class) const;
    std::size_t standby_machines(const ArrivalStatistics& arrivals, const wire::MachineType& type,
                                 WallTime now) const;
    std::size_t waiting_tasks(const wire::JobSpec& spec) const;
    Candidates find_candidates(const ArrivalStatistics& arrivals, const sched::Reservation& reservation);
    double candidate_cost(const MachineBin& bin, const wire::MachineType& type, const wire::JobSpec& spec,
                          bool runs_class, const std::map<std::string, double>& image_shares,
                          const sched::Reservation& reservation) const;
    bool runs_class(const MachineId& id, const std::string& job_class) const;
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
