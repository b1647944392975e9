/// Machines reserved for classes of jobs that can't wait for a boot.
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

/// One pass of reserving machines for classes.
///
/// Classes whose aim for the wait is shorter than a boot can only be met by machines that stand ready: those
/// that run them now, and as many more as arrive, by the recent rate, while another machine would boot.
class ClassReservations {
  public:
    /// `previous` holds the reservations made by the last pass. The bins in `plan` are marked as they are
    /// reserved.
    ClassReservations(const Settings& settings, const Policy& policy, const StateCache& state_cache,
                      Preemptor& preemptor, const ReservationMap& previous, PlanInput& plan);

    /// Reserves machines for one class where it needs any, and adds them to `reserved`. Returns the demand
    /// for machines that it will need beyond those.
    std::optional<Demand> reserve(const std::string& job_class, const ArrivalStatistics& arrivals,
                                  WallTime now, ReservationMap& reserved);

  private:
    std::optional<Demand> reserve_for_service(const ArrivalStatistics& arrivals, WallTime now,
                                              ReservationMap& reserved);
    std::size_t standby_places(const ArrivalStatistics& arrivals, const wire::MachineType& type,
                               WallTime now) const;
    static std::size_t free_places(const Bin& bin, const wire::JobSpec& spec);
    std::vector<RatedBin> bins_with_places(const ArrivalStatistics& arrivals);
    std::set<Bin*> image_holders(const std::vector<RatedBin>& with_places,
                                 const ArrivalStatistics& arrivals) const;
    bool may_reserve(const Bin& bin, const wire::MachineType* type, const wire::JobSpec& spec) const;
    struct RatedBins {
        std::vector<RatedBin> bins;
        std::size_t running = 0;  // bins that run tasks of the class
    };

    const wire::MachineType* cheapest_type(const wire::JobSpec& spec) const;
    double wait_aim_s(const std::string& job_class) const;
    std::size_t standby(const ArrivalStatistics& arrivals, const wire::MachineType& type, WallTime now) const;
    std::size_t waiting_tasks(const wire::JobSpec& spec) const;
    RatedBins rate_bins(const ArrivalStatistics& arrivals, const sched::Reservation& reservation);
    double rate(const Bin& bin, const wire::MachineType& type, const wire::JobSpec& spec, bool runs_class,
                const std::map<std::string, double>& image_shares,
                const sched::Reservation& reservation) const;
    bool runs_class(const MachineId& id, const std::string& job_class) const;
    double held_image_share(const MachineId& id, const wire::MachineType& type,
                            const std::map<std::string, double>& image_shares) const;

    const Settings& settings_;
    const Policy& policy_;
    const StateCache& state_cache_;
    Preemptor& preemptor_;
    const ReservationMap& previous_;
    PlanInput& plan_;
};

}  // namespace zincdyke::autoscaler
