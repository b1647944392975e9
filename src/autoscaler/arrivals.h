/// Statistics of job submissions, from which the autoscaler estimates the future demand for machines.
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

/// Submissions of jobs of one job class within a sliding time window. Services and other jobs of a class are
/// counted by separate objects.
class ArrivalStatistics {
  public:
    /// Adds a submitted job to the statistics. Does nothing if the job was added before.
    void record_submission(const Job& job);
    /// Removes the jobs that were submitted too long before `now` to be in the time window.
    void remove_expired_submissions(WallTime now);
    /// Returns whether no job submissions are recorded.
    bool empty() const { return arrivals_.empty(); }
    /// The specification of the most recently submitted job.
    const wire::JobSpec& latest_spec() const { return latest_spec_; }
    /// The average number of machines that the submitted jobs need, per second. A gang or a service counts as
    /// one machine per task, an array as one machine.
    double machines_per_s(WallTime now) const;
    /// The largest number of machines that one of the submitted jobs needs, counted as in `machines_per_s`.
    std::size_t max_machines_per_job() const;
    /// For each container image, the share of the needed machines whose job uses the image, from 0 to 1.
    std::map<std::string, double> image_shares() const;

  private:
    struct Arrival {
        TaskIndex machines = 0;
        std::string image;
    };
    double window_s(WallTime now) const;

    wire::JobSpec latest_spec_;
    std::map<std::pair<WallTime, JobId>, Arrival> arrivals_;  // by submission time and job id
    WallTime first_submitted_;                                // submission time of the first recorded job
};

}  // namespace zincdyke::autoscaler
