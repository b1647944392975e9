/// Limits the rate of this node's requests and writes to the key-value store.
#pragma once
#include <cstddef>
#include <optional>

#include "base/settings.h"
#include "base/types.h"
#include "store/store_requests.h"
#include "store/token_bucket.h"

namespace zincdyke {

/// This node's share of the key-value store's limits on requests and writes per second, which all controllers
/// together must not exceed.
///
/// A transaction counts as one request, and each of its writes counts against the write limit. Part of the
/// request rate is reserved for users' reads, so that bursts of other requests cannot starve them.
class RequestBudget {
  public:
    /// `settings` must outlive this object. The initial share is 1 / number of controllers.
    explicit RequestBudget(const Settings& settings);

    /// Sets this node's shares of the store's request and write limits, each from 0 to 1.
    void set_share(double request_share, double write_share);
    /// Takes one request with `write_count` writes from the budget and returns `std::nullopt`. If the budget
    /// does not suffice, takes nothing and returns how long to wait.
    [[nodiscard]] std::optional<Duration> take_or_wait(SteadyTime now, RequestPriority priority,
                                                       double write_count);
    /// Takes one request from the budget even if the budget does not suffice.
    void take_unconditionally(SteadyTime now);
    /// Discards the unused budget after the store rejected a request with `write_count` writes as rate
    /// limited: the write budget if `write_count` is above 0, otherwise the request budget.
    void drain(double write_count);

    /// Returns how many writes may be sent now. One write is reserved for submissions and sessions.
    [[nodiscard]] std::size_t available_writes(SteadyTime now);
    /// Returns the time until `count` writes may be sent, measured from the last refill of the budget.
    [[nodiscard]] Duration time_until_writes(std::size_t count) const;
    /// Returns which fraction of this node's write budget was spent recently, from 0 to about 1.
    [[nodiscard]] double write_load(SteadyTime now);

  private:
    void add_recent_writes(SteadyTime now, double count);

    const Settings& settings_;
    TokenBucket request_bucket_, user_read_bucket_, write_bucket_;
    double recent_writes_ = 0;  // recently taken writes, decaying exponentially
    SteadyTime recent_writes_updated_at_{};
};

}  // namespace zincdyke
