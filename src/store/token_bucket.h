/// A budget of so many units a second.
#pragma once
#include <algorithm>
#include <optional>

#include "base/types.h"

namespace zincdyke {

/// Allows `rate` units a second, in bursts of one second's worth; full at first use. Refilled by
/// `refill_and_check`, whose moments must not go back.
class TokenBucket {
  public:
    /// `per_s`: above 0. What has been saved up stays.
    void set_rate(double per_s) { rate_ = per_s; }
    [[nodiscard]] double rate() const { return rate_; }
    /// Refills the bucket, and tells whether `amount` may be taken now. A larger amount than the bucket holds
    /// may be taken when it is full, and leaves a debt.
    [[nodiscard]] bool refill_and_check(SteadyTime now, double amount);
    /// Refills the bucket without asking for anything.
    void refill(SteadyTime now);
    /// Doesn't refill, and may leave a debt.
    void take(double amount) { tokens_ -= amount; }
    /// What was saved up is gone: the other side counts differently. A debt stays.
    void drain() { tokens_ = std::min(tokens_, 0.0); }
    /// Below 0: a debt.
    [[nodiscard]] double tokens() const { return tokens_; }
    /// How long after the last refill `amount` may be taken; at least 2 ms.
    [[nodiscard]] Duration time_until(double amount) const;

  private:
    double rate_ = 1, tokens_ = 0;
    std::optional<SteadyTime> last_refill_;
};

}  // namespace zincdyke
