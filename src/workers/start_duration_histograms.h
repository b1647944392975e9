/// Durations of the steps of task starts, by job class, for the status page.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/types.h"

namespace zincdyke {

/// Steps between a job's submission and the moment one of its tasks runs, in chronological order.
enum class StartStep : std::uint8_t {
    queue,     // the time from the job's submission until a leader assigns the task to a machine
    commit,    // the time from the assignment until the start is committed to the key-value store
    delivery,  // the time from the commit until a heartbeat response carries the start command
    image,     // the time from sending the start command until the machine reports having the image
    gang       // the time from having the image until the task runs, with any wait for the other gang members
};
constexpr std::size_t start_step_count = 5;
/// Returns the name of a step of a task start on the status page.
[[nodiscard]] const char* step_name(StartStep step);

/// Progress of one task start through its steps: how long the job was queued, and the times on this node's
/// steady clock at which the later steps were completed. A time of zero means that the step is not completed.
struct StartProgress {
    Duration queue_duration{};
    SteadyTime assigned_at{}, committed_at{}, sent_at{}, image_ready_at{};
};

/// Returns how long `step` took in a task start; the task began to run at `running_since`.
[[nodiscard]] Duration step_duration(const StartProgress& progress, StartStep step, SteadyTime running_since);

/// Histograms of the duration of each step of a task start, by job class. Each start is counted once per
/// step.
class StartDurationHistograms {
  public:
    /// Upper bounds of the histogram buckets, in seconds; one more bucket counts all longer durations.
    static constexpr std::array<double, 6> bucket_bounds_s{0.5, 1, 2, 5, 10, 30};
    using Histogram = std::array<std::uint64_t, bucket_bounds_s.size() + 1>;
    /// One histogram per StartStep, in the order of its values.
    using StepHistograms = std::array<Histogram, start_step_count>;
    /// Adds the step durations of a start whose task began to run at `running_since`. Starts of further job
    /// classes are ignored once there are 100 classes.
    void add_start(const std::string& job_class, const StartProgress& progress, SteadyTime running_since);
    /// Returns the histograms of each job class.
    [[nodiscard]] const std::map<std::string, StepHistograms>& by_class() const { return by_class_; }

  private:
    static constexpr std::size_t max_job_classes = 100;
    std::map<std::string, StepHistograms> by_class_;
};

}  // namespace zincdyke
