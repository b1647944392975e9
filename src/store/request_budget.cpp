#include "store/request_budget.h"

#include <algorithm>
#include <cmath>

namespace zincdyke {
namespace {
// Part of the store's rate limits that is used. Below 1 because the clocks of the nodes and the store differ.
constexpr double usable_share = 0.95;
constexpr double user_read_share = 0.25;  // part of the request budget reserved for users' reads
// Writes reserved for submissions and sessions, which must not wait for commits of task starts and ends.
constexpr double reserved_writes = 1.0;
constexpr double write_load_window_s = 8;
constexpr double min_rate = 1.0;
constexpr double min_commit_writes = 2.0;
}  // namespace

RequestBudget::RequestBudget(const Settings& settings) : settings_(settings) {
    set_share(1.0 / settings.controller_count, 1.0 / settings.controller_count);
}

void RequestBudget::set_share(double request_share, double write_share) {
    const double request_rate = settings_.store_rps * request_share * usable_share;
    requests_.set_rate(std::max(min_rate, request_rate * (1 - user_read_share)));
    user_reads_.set_rate(std::max(min_rate, request_rate * user_read_share));
    writes_.set_rate(std::max(min_rate, settings_.strictest_limits.write_rps * write_share * usable_share));
}

std::optional<Duration> RequestBudget::take_or_wait(SteadyTime now, RequestPriority priority, double writes) {
    const bool from_user_reads =
        priority == RequestPriority::user && writes == 0 && user_reads_.refill_and_check(now, 1);
    const bool has_request = from_user_reads || requests_.refill_and_check(now, 1);
    const bool has_writes = writes == 0 || writes_.refill_and_check(now, writes);
    if (!has_request || !has_writes)
        return std::max(has_request ? Duration(0) : requests_.time_until(1),
                        has_writes ? Duration(0) : writes_.time_until(writes));
    (from_user_reads ? user_reads_ : requests_).take(1);
    if (writes > 0) {
        writes_.take(writes);
        add_recent_writes(now, writes);
    }
    return std::nullopt;
}

void RequestBudget::take_unconditionally(SteadyTime now) {
    requests_.refill(now);
    requests_.take(1);
}

void RequestBudget::drain(double writes) { (writes > 0 ? writes_ : requests_).drain(); }

std::size_t RequestBudget::available_writes(SteadyTime now) {
    // A full bucket passes this check even if its capacity is smaller. It must then still allow one commit of
    // two writes.
    if (!writes_.refill_and_check(now, min_commit_writes + reserved_writes) ||
        !requests_.refill_and_check(now, 1))
        return 0;
    return static_cast<std::size_t>(std::max(min_commit_writes, writes_.tokens() - reserved_writes));
}

Duration RequestBudget::time_until_writes(std::size_t count) const {
    return std::max(writes_.time_until(static_cast<double>(count) + reserved_writes),
                    requests_.time_until(1));
}

double RequestBudget::write_load(SteadyTime now) {
    add_recent_writes(now, 0);
    return recent_writes_ / (writes_.rate() * write_load_window_s);
}

void RequestBudget::add_recent_writes(SteadyTime now, double count) {
    recent_writes_ =
        recent_writes_ * std::exp(-to_seconds(now - recent_writes_updated_at_) / write_load_window_s) + count;
    recent_writes_updated_at_ = now;
}

}  // namespace zincdyke
