/// Simulated time: a queue of events instead of waiting, so that minutes of a deployment take milliseconds.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

namespace zincdyke::testing {

/// The clock and event queue that all parts of a simulated deployment share. Times are seconds since its
/// start. Events of one instant run in the order in which they were scheduled, so a run is deterministic.
class SimulatedClock {
  public:
    using Event = std::function<void()>;

    [[nodiscard]] double now() const { return now_; }

    /// Runs `event` after `delay` seconds; a negative delay counts as none. It never runs within this call.
    void after(double delay, Event event);

    /// Runs all events of the next `seconds`, and moves the time on by exactly that.
    void run(double seconds);

    /// Runs in steps of 0.1 s until `condition` holds or `timeout` seconds are over; returns whether it
    /// holds.
    bool run_until(const std::function<bool()>& condition, double timeout);

    /// Drops all pending events. To be called before the objects that they refer to are destroyed.
    void clear() { events_.clear(); }

  private:
    struct Key {
        double time;
        std::uint64_t sequence_number;
        auto operator<=>(const Key&) const = default;
    };
    double now_ = 0;
    std::uint64_t last_sequence_number_ = 0;
    std::map<Key, Event> events_;
};

}  // namespace zincdyke::testing
