#include "store/request_budget.h"

#include <algorithm>
#include <cmath>

namespace zincdyke {
namespace {
// The fraction of the store's rate limits that the controllers use. Below 1 because the clocks of the nodes
// and the store differ.
constexpr double usable_share = 0.95;
constexpr double user_read_share = 0.25;  // fraction of the request budget reserved for users' reads
// Writes reserved for submissions and sessions, which must not wait for commits of task starts and ends.
constexpr double reserved_writes = 1.0;
constexpr double write_load_window_s = 8;
constexpr double min_refill_rate_per_s = 1.0;
constexpr double min_commit_writes = 2.0;
}  // namespace

RequestBudget::RequestBudget(const Settings& settings) : settings_(settings) {
    set_share(1.0 / settings.controller_count, 1.0 / settings.controller_count);
}

void RequestBudget::set_share(double request_share, double write_share) {
    const double request_rate = settings_.store_rps * request_share * usable_share;
    request_bucket_.set_refill_rate(std::max(min_refill_rate_per_s, request_rate * (1 - user_read_share)));
    user_read_bucket_.set_refill_rate(std::max(min_refill_rate_per_s, request_rate * user_read_share));
    write_bucket_.set_refill_rate(
        std::max(min_refill_rate_per_s, settings_.strictest_limits.write_rps * write_share * usable_share));
}

std::optional<Duration> RequestBudget::take_or_wait(SteadyTime now, RequestPriority priority,
                                                    double write_count) {
    const bool from_user_reads =
        priority == RequestPriority::user && write_count == 0 && user_read_bucket_.refill_and_check(now, 1);
    const bool has_request = from_user_reads || request_bucket_.refill_and_check(now, 1);
    const bool has_writes = write_count == 0 || write_bucket_.refill_and_check(now, write_count);
    if (!has_request || !has_writes)
        return std::max(has_request ? Duration(0) : request_bucket_.time_until(1),
                        has_writes ? Duration(0) : write_bucket_.time_until(write_count));
    (from_user_reads ? user_read_bucket_ : request_bucket_).take(1);
    if (write_count > 0) {
        write_bucket_.take(write_count);
        add_recent_writes(now, write_count);
    }
    return std::nullopt;
}

void RequestBudget::take_unconditionally(SteadyTime now) {
    request_bucket_.refill(now);
    request_bucket_.take(1);
}

void RequestBudget::drain(double write_count) { (write_count > 0 ? write_bucket_ : request_bucket_).drain(); }

std::size_t RequestBudget::available_writes(SteadyTime now) {
    // A full write budget passes this check even if its capacity is below the required number of writes. In
    // that case, one commit of two writes is allowed.
    if (!write_bucket_.refill_and_check(now, min_commit_writes + reserved_writes) ||
        !request_bucket_.refill_and_check(now, 1))
        return 0;
    return static_cast<std::size_t>(std::max(min_commit_writes, write_bucket_.tokens() - reserved_writes));
}

Duration RequestBudget::time_until_writes(std::size_t count) const {
    return std::max(write_bucket_.time_until(static_cast<double>(count) + reserved_writes),
                    request_bucket_.time_until(1));
}

double RequestBudget::write_load(SteadyTime now) {
    add_recent_writes(now, 0);
    return recent_writes_ / (write_bucket_.refill_rate_per_s() * write_load_window_s);
}

void RequestBudget::add_recent_writes(SteadyTime now, double count) {
    recent_writes_ =
        recent_writes_ * std::exp(-to_seconds(now - recent_writes_updated_at_) / write_load_window_s) + count;
    recent_writes_updated_at_ = now;
}

}  // namespace zincdyke
