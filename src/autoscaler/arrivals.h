/// Arrival statistics of one job class.
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

/// The submissions of one job class within a sliding window.
class ArrivalStatistics {
  public:
    /// Takes a job into account; one that is known already changes nothing.
    void record(const Job& job);
    /// Forgets the submissions that have left the window.
    void expire(WallTime now);
    /// Whether the window holds no submission.
    bool empty() const { return arrivals_.empty(); }
    /// Description of the job submitted last.
    const wire::JobSpec& latest_spec() const { return latest_spec_; }
    /// Machines that are asked for in a second. A gang asks for one for each of its tasks, an array for one;
    /// of a service, the places for its replicas.
    double machines_per_s(WallTime now) const;
    /// The most machines, or places, that one of the jobs asks for.
    std::size_t largest() const;
    /// The share of each image in the machines asked for.
    std::map<std::string, double> image_shares() const;

  private:
    struct Arrival {
        TaskIndex machines = 0;
        std::string image;
    };
    double window_s(WallTime now) const;

    wire::JobSpec latest_spec_;
    std::map<std::pair<WallTime, JobId>, Arrival> arrivals_;  // by the time of submission
    WallTime first_;                                          // of all that were recorded
};

}  // namespace zincdyke::autoscaler
