#include "fakes/simulated_clock.h"

#include <algorithm>
#include <utility>

namespace zincdyke::testing {

void SimulatedClock::after(double delay, Event event) {
    events_.emplace(Key{now_ + std::max(0.0, delay), ++last_sequence_number_}, std::move(event));
}

void SimulatedClock::run(double seconds) {
    const double end = now_ + seconds;
    while (!events_.empty() && events_.begin()->first.time <= end) {
        const auto first = events_.begin();
        now_ = std::max(now_, first->first.time);
        const Event event = std::move(first->second);
        events_.erase(first);
        event();
    }
    now_ = end;
}

bool SimulatedClock::run_until(const std::function<bool()>& condition, double timeout) {
    const double end = now_ + timeout;
    while (now_ < end) {
        if (condition()) return true;
        run(0.1);
    }
    return condition();
}

}  // namespace zincdyke::testing
