// Where the time between a task's submission and its run goes, by job class; shown in the status.
#pragma once
#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/types.h"

namespace zincdyke {

// The steps that a start passes through, in this order.
enum class StartStep : std::uint8_t {
    queue,     // from submission until an owner has room for it
    commit,    // until the state service has its start
    delivery,  // until an answer to the machine's check-in carries the run order
    image,     // until the machine reports that it has the image
    gang       // until all members of its gang run
};
constexpr std::size_t start_steps = 5;
const char* step_name(StartStep step);

// When one start passed its steps, on this node's steady clock.
struct StartProgress {
    Duration queued{};
    SteadyTime assigned{}, committed{}, ordered{}, image_ready{};
};

// How long a step took.
Duration step_time(const StartProgress& progress, StartStep step, SteadyTime running);

// Counts of starts by how long each step took.
class StartTimes {
  public:
    static constexpr std::array<double, 6> bounds_s{0.5, 1,  2,
                                                    5,   10, 30};  // the last bucket has no upper bound
    using Histogram = std::array<std::uint64_t, bounds_s.size() + 1>;
    using Steps = std::array<Histogram, start_steps>;
    void add(const std::string& job_class, const StartProgress& progress, SteadyTime running);
    const std::map<std::string, Steps>& by_class() const { return by_class_; }

  private:
    static constexpr std::size_t most_classes = 100;
    std::map<std::string, Steps> by_class_;
};

}  // namespace zincdyke
