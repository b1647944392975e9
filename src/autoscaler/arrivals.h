/// Arrival statistics of one job class, from which the autoscaler estimates future demand.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/types.h"
#include "store/state_cache.h"
#include "wire/json_api.h"

namespace zincdyke::autoscaler {

/// The jobs of one class that were submitted within a sliding time window.
class ArrivalStatistics {
  public:
    /// Adds a job to the window. A job that is already in it is ignored.
    void record(const Job& job);
    /// Removes the jobs that were submitted before the window's start.
    void expire(WallTime now);
    /// Whether the window contains no jobs.
    bool empty() const { return arrivals_.empty(); }
    /// The most recently submitted job.
    const wire::JobSpec& latest_spec() const { return latest_spec_; }
    /// Demand rate in machines per second. A gang or a service counts as one machine per task, an array as
    /// one machine.
    double machines_per_s(WallTime now) const;
    /// The largest demand of a single job in the window, counted as in `machines_per_s`.
    std::size_t max_machines_per_job() const;
    /// Each container image's share of the demanded machines, from 0 to 1.
    std::map<std::string, double> image_shares() const;

  private:
    struct Arrival {
        TaskIndex machines = 0;
        std::string image;
    };
    double window_s(WallTime now) const;

    wire::JobSpec latest_spec_;
    std::map<std::pair<WallTime, JobId>, Arrival> arrivals_;  // ordered by submission time
    WallTime first_submitted_;                                // of the first job ever recorded
};

}  // namespace zincdyke::autoscaler
