/// Discrete-event simulation of time: the clock jumps to the next event, so tests never sleep.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

namespace zincdyke::testing {

/// The clock and event queue that all parts of a simulated deployment share. Times are in seconds since the
/// start of the simulation. Events scheduled for the same time run in the order in which they were added, so
/// a run is deterministic.
class SimulatedClock {
  public:
    using Event = std::function<void()>;

    [[nodiscard]] double now() const { return now_; }

    /// Schedules `event` to run after `delay` seconds, never within this call. A negative delay counts as 0.
    void after(double delay, Event event);

    /// Runs all events of the next `seconds` and advances the clock by exactly that duration.
    void run(double seconds);

    /// Advances the clock in steps of 0.1 s until `condition` returns true or `timeout` seconds have passed.
    /// Returns the last result of `condition`.
    bool run_until(const std::function<bool()>& condition, double timeout);

    /// Discards all pending events. Must be called before the objects that the events use are destroyed.
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
