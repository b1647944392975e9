#include "store/token_bucket.h"

namespace zincdyke {
namespace {
constexpr Duration min_wait = std::chrono::milliseconds(2);
constexpr double rounding_tolerance = 1e-9;
}  // namespace

void TokenBucket::refill(SteadyTime now) {
    tokens_ = last_refill_ ? std::min(rate_, tokens_ + rate_ * to_seconds(now - *last_refill_)) : rate_;
    last_refill_ = now;
}

bool TokenBucket::refill_and_check(SteadyTime now, double amount) {
    refill(now);
    return tokens_ >= std::min(amount, rate_) - rounding_tolerance;
}

Duration TokenBucket::time_until(double amount) const {
    return std::max(min_wait, seconds((std::min(amount, rate_) - tokens_) / rate_));
}

}  // namespace zincdyke
