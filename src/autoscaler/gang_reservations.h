/// Machines reserved for single gangs that have waited too long.
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

/// What each reserved machine is reserved for.
using ReservationMap = std::map<MachineId, sched::Reservation>;

/// One pass of reserving machines for gangs.
///
/// A gang starts whole or not at all: behind smaller work that takes each place as it comes free it would
/// wait for ever. One that has waited too long gets machines of its own, which come free one after another;
/// the longest waiting first.
class GangReservations {
  public:
    /// `previous` holds the reservations made by the last pass; `bins` are marked as they are reserved.
    GangReservations(const Settings& settings, const StateCache& state_cache, Preemptor& preemptor,
                     const ReservationMap& previous, std::vector<Bin>& bins);

    /// Reserves machines for the gangs that have waited too long at `now`, and returns them.
    ReservationMap reserve(WallTime now);

  private:
    /// Gangs of one shape find room on the same machines, and at the same time.
    struct Shape {
        std::int64_t cpu = 0, gpu = 0, ram = 0;  // of each member
        sched::PlacementConstraints constraints;
        auto operator<=>(const Shape&) const = default;
    };

    std::vector<const Job*> late_gangs(WallTime now) const;
    void find_kept();
    const std::vector<RatedBin>& bins_by_time(const Job& gang, const std::optional<std::string>& zone);
    std::vector<RatedBin> rate_bins(const Job& gang, const std::optional<std::string>& zone) const;
    std::vector<RatedBin> select(const Job& gang, const std::optional<std::string>& zone);
    std::vector<RatedBin> select_in_best_zone(const Job& gang);

    const Settings& settings_;
    const StateCache& state_cache_;
    Preemptor& preemptor_;
    const ReservationMap& previous_;
    std::vector<Bin>& bins_;
    std::map<JobId, std::vector<Bin*>> kept_;         // reserved for a gang by the last pass
    std::map<Shape, std::vector<RatedBin>> by_time_;  // rated by when they have room for one member
};

}  // namespace zincdyke::autoscaler
