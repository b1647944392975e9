/// Where the time between a task's submission and its run goes, by job class; shown in the status.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/types.h"

namespace zincdyke {

/// The steps that a start passes through, in this order.
enum class StartStep : std::uint8_t {
    queue,     // from submission until a leader has capacity for it
    commit,    // until the key-value store has its start
    delivery,  // until a response to the machine's heartbeat carries the start command
    image,     // until the machine reports that it has the image
    gang       // until all members of its gang run
};
constexpr std::size_t start_step_count = 5;
/// As the status names it.
[[nodiscard]] const char* step_name(StartStep step);

/// When one start passed its steps, on this node's steady clock; zero: not yet.
struct StartProgress {
    Duration queue_time{};
    SteadyTime assigned_at{}, committed_at{}, sent_at{}, image_ready_at{};
};

/// How long a step took of a start whose task runs since `running`.
[[nodiscard]] Duration step_duration(const StartProgress& progress, StartStep step, SteadyTime running);

/// Counts of starts by how long each step took.
class StartTimes {
  public:
    /// Upper bounds of the buckets; the last bucket has none.
    static constexpr std::array<double, 6> bucket_bounds_s{0.5, 1, 2, 5, 10, 30};
    using Histogram = std::array<std::uint64_t, bucket_bounds_s.size() + 1>;
    using Steps = std::array<Histogram, start_step_count>;
    /// Counts a start whose task runs since `running`. Job classes beyond the first hundred are left out.
    void add(const std::string& job_class, const StartProgress& progress, SteadyTime running);
    [[nodiscard]] const std::map<std::string, Steps>& by_class() const { return by_class_; }

  private:
    static constexpr std::size_t max_classes = 100;
    std::map<std::string, Steps> by_class_;
};

}  // namespace zincdyke
