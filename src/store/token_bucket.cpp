#include "store/token_bucket.h"

namespace zincdyke {
namespace {
constexpr Duration min_wait = std::chrono::milliseconds(2);
constexpr double rounding_tolerance = 1e-9;
}  // namespace

void TokenBucket::refill(SteadyTime now) {
    tokens_ = last_refill_ ? std::min(refill_rate_per_s_,
                                      tokens_ + refill_rate_per_s_ * to_seconds(now - *last_refill_))
                           : refill_rate_per_s_;
    last_refill_ = now;
}

bool TokenBucket::refill_and_check(SteadyTime now, double amount) {
    refill(now);
    return tokens_ >= std::min(amount, refill_rate_per_s_) - rounding_tolerance;
}

Duration TokenBucket::time_until(double amount) const {
    return std::max(min_wait, seconds((std::min(amount, refill_rate_per_s_) - tokens_) / refill_rate_per_s_));
}

}  // namespace zincdyke
