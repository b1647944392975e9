/// Reservation of machines for single gangs that have waited too long.
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

/// The reservation of each reserved machine.
using ReservationMap = std::map<MachineId, sched::Reservation>;

/// Reserves machines for gangs, once for each plan.
///
/// The tasks of a gang start together or not at all, so smaller jobs that take each machine as soon as it is
/// free could starve it. A gang that has waited too long therefore gets exclusive reservations, which it
/// keeps until it starts. The most urgent gangs are served first.
class GangReservations {
  public:
    /// `previous_reservations` are those of the last plan. Reserved bins of `bins` are marked. The references
    /// must outlive this object.
    GangReservations(const Settings& settings, const StateCache& state_cache, Preemptor& preemptor,
                     const ReservationMap& previous_reservations, std::vector<MachineBin>& bins);

    /// Reserves machines for the gangs that have waited too long at `now`, and returns the reservations.
    ReservationMap reserve(WallTime now);

  private:
    /// What the members of a gang require of their machines. Gangs with equal requirements have the same
    /// candidates.
    struct MemberRequirements {
        std::int64_t cpu = 0, gpu = 0, ram = 0;  // resources of each member
        sched::PlacementConstraints constraints;
        auto operator<=>(const MemberRequirements&) const = default;
    };

    std::vector<const Job*> overdue_gangs(WallTime now) const;
    void find_previous_bins();
    const std::vector<ReservationCandidate>& candidates_by_time(const Job& gang,
                                                                const std::optional<std::string>& zone);
    std::vector<ReservationCandidate> find_candidates(const Job& gang,
                                                      const std::optional<std::string>& zone) const;
    std::vector<ReservationCandidate> select(const Job& gang, const std::optional<std::string>& zone);
    std::vector<ReservationCandidate> select_in_best_zone(const Job& gang);

    const Settings& settings_;
    const StateCache& state_cache_;
    Preemptor& preemptor_;
    const ReservationMap& previous_reservations_;
    std::vector<MachineBin>& bins_;
    std::map<JobId, std::vector<MachineBin*>> previous_bins_;  // bins that the last plan reserved for a gang
    // Candidates ordered by when they have free capacity for one member.
    std::map<MemberRequirements, std::vector<ReservationCandidate>> candidates_by_requirements_;
};

}  // namespace zincdyke::autoscaler
