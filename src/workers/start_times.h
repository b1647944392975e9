/// Histograms of how long each step of starting a task takes, by job class, for the status page.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/types.h"

namespace zincdyke {

/// Steps between a job's submission and the moment one of its tasks runs, in chronological order.
enum class StartStep : std::uint8_t {
    queue,     // from the job's submission until a leader assigns the task to a machine
    commit,    // from the assignment until the start is committed to the key-value store
    delivery,  // from the commit until a heartbeat response carries the start command
    image,     // from the start command until the machine reports that it has fetched the task's image
    gang       // from the fetched image until the task runs; a gang's task waits for all members
};
constexpr std::size_t start_step_count = 5;
/// Returns the step's name on the status page.
[[nodiscard]] const char* step_name(StartStep step);

/// Times at which one task start completed its steps, on this node's steady clock. Zero: not completed yet.
struct StartProgress {
    Duration queue_time{};
    SteadyTime assigned_at{}, committed_at{}, sent_at{}, image_ready_at{};
};

/// Returns how long `step` took in a task start; the task began to run at `running_since`.
[[nodiscard]] Duration step_duration(const StartProgress& progress, StartStep step, SteadyTime running_since);

/// Counts task starts by job class, step and duration of the step.
class StartTimes {
  public:
    /// Upper bounds of the histogram buckets; one more bucket counts all longer durations.
    static constexpr std::array<double, 6> bucket_bounds_s{0.5, 1, 2, 5, 10, 30};
    using Histogram = std::array<std::uint64_t, bucket_bounds_s.size() + 1>;
    /// One histogram per StartStep, in the order of its values.
    using StepHistograms = std::array<Histogram, start_step_count>;
    /// Counts a start of a task that began to run at `running_since`. Ignores further job classes once there
    /// are 100.
    void add(const std::string& job_class, const StartProgress& progress, SteadyTime running_since);
    [[nodiscard]] const std::map<std::string, StepHistograms>& by_class() const { return by_class_; }

  private:
    static constexpr std::size_t max_job_classes = 100;
    std::map<std::string, StepHistograms> by_class_;
};

}  // namespace zincdyke
