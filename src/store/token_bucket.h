/// A token bucket that limits the rate at which units are spent.
#pragma once
#include <algorithm>
#include <optional>

#include "base/types.h"

namespace zincdyke {

/// Limits spending to `rate()` units per second, with a capacity of one second's worth. The bucket is full at
/// its first refill. The times passed to its functions must not decrease.
class TokenBucket {
  public:
    /// Sets the number of units per second, which must be above 0. Keeps the tokens in the bucket.
    void set_rate(double units_per_s) { rate_ = units_per_s; }
    [[nodiscard]] double rate() const { return rate_; }
    /// Refills the bucket and returns whether `amount` may be taken now. An amount above the bucket's
    /// capacity may be taken when the bucket is full, and leaves a negative balance.
    [[nodiscard]] bool refill_and_check(SteadyTime now, double amount);
    /// Adds the tokens earned since the last refill, up to the bucket's capacity.
    void refill(SteadyTime now);
    /// Takes `amount` tokens without a refill or a check; the balance may become negative.
    void take(double amount) { tokens_ -= amount; }
    /// Discards the tokens in the bucket. A negative balance stays.
    void drain() { tokens_ = std::min(tokens_, 0.0); }
    /// The current balance; negative if more was taken than the bucket held.
    [[nodiscard]] double tokens() const { return tokens_; }
    /// Returns how long after the last refill `amount` may be taken; at least 2 ms.
    [[nodiscard]] Duration time_until(double amount) const;

  private:
    double rate_ = 1, tokens_ = 0;
    std::optional<SteadyTime> last_refill_;
};

}  // namespace zincdyke
