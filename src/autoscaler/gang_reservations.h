/// Reservation of machines for gangs that have waited too long.
#pragma once
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "autoscaler/plan.h"
#include "autoscaler/preemption.h"
#include "base/settings.h"
#include "sched/placement_constraints.h"
#include "sched/placement_rules.h"
#include "store/state_cache.h"

namespace zincdyke::autoscaler {

/// Maps each reserved machine to its reservation.
using ReservationMap = std::map<MachineId, sched::Reservation>;

/// Reserves machines for gangs. A new object is created for each plan.
///
/// The tasks of a gang start together or not at all, so a gang could starve while smaller jobs take each
/// machine as soon as it is free. Machines are therefore reserved exclusively for a gang that has waited too
/// long, until it starts. Machines are reserved for the most urgent gangs first.
class GangReservations {
  public:
    /// `previous_reservations` are the reservations of the last plan. `bins` contains the plan's machines,
    /// which are updated with their new reservations. The references must outlive this object.
    GangReservations(const Settings& settings, const StateCache& state_cache, Preemptor& preemptor,
                     const ReservationMap& previous_reservations, std::vector<MachineBin>& bins);

    /// Reserves machines for the gangs that have waited too long at `now`, and returns the reservations.
    ReservationMap reserve_for_gangs(WallTime now);

  private:
    /// The resources and constraints for placing one member of a gang. The same machines may be reserved for
    /// gangs with equal requirements.
    struct MemberRequirements {
        std::int64_t cpu = 0, gpu = 0, ram = 0;  // resources that one member needs
        sched::PlacementConstraints constraints;
        auto operator<=>(const MemberRequirements&) const = default;
    };

    std::vector<const Job*> overdue_gangs(WallTime now) const;
    void find_previously_reserved_bins();
    const std::vector<ReservationCandidate>& gang_candidates_by_availability(
        const Job& gang, const std::optional<std::string>& zone);
    std::vector<ReservationCandidate> find_gang_candidates(const Job& gang,
                                                           const std::optional<std::string>& zone) const;
    std::vector<ReservationCandidate> select_machines(const Job& gang,
                                                      const std::optional<std::string>& zone);
    std::vector<ReservationCandidate> select_machines_in_best_zone(const Job& gang);

    const Settings& settings_;
    const StateCache& state_cache_;
    Preemptor& preemptor_;
    const ReservationMap& previous_reservations_;
    std::vector<MachineBin>& bins_;
    std::map<JobId, std::vector<MachineBin*>>
        previously_reserved_bins_;  // machines that the last plan reserved for each gang
    // Machines that may be reserved for a gang, ordered by when they have free capacity for one member.
    std::map<MemberRequirements, std::vector<ReservationCandidate>> candidates_by_requirements_;
};

}  // namespace zincdyke::autoscaler
