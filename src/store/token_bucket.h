/// A token bucket that limits the rate at which units are spent.
#pragma once
#include <algorithm>
#include <optional>

#include "base/types.h"

namespace zincdyke {

/// Holds tokens, which are added at a constant rate and taken to send requests or writes. The capacity is the
/// number of tokens that are added in one second. The bucket is full at its first refill. The times passed to
/// its functions must not decrease.
class TokenBucket {
  public:
    /// Sets how many tokens are added per second, which must be above 0. Keeps the tokens in the bucket.
    void set_refill_rate(double units_per_s) { refill_rate_per_s_ = units_per_s; }
    [[nodiscard]] double refill_rate_per_s() const { return refill_rate_per_s_; }
    /// Refills the bucket and returns whether `amount` tokens may be taken now. An amount above the bucket's
    /// capacity may be taken when the bucket is full; the balance is negative after that.
    [[nodiscard]] bool refill_and_check(SteadyTime now, double amount);
    /// Adds the tokens earned since the last refill, up to the bucket's capacity.
    void refill(SteadyTime now);
    /// Takes `amount` tokens without a refill or a check; the balance may become negative.
    void take(double amount) { tokens_ -= amount; }
    /// Discards the tokens in the bucket. A negative balance stays.
    void drain() { tokens_ = std::min(tokens_, 0.0); }
    /// The number of tokens in the bucket; negative if more were taken than it held.
    [[nodiscard]] double tokens() const { return tokens_; }
    /// Returns how long after the last refill `amount` tokens may be taken; at least 2 ms.
    [[nodiscard]] Duration time_until(double amount) const;

  private:
    double refill_rate_per_s_ = 1, tokens_ = 0;
    std::optional<SteadyTime> last_refill_;
};

}  // namespace zincdyke
