/// The random number generator that all parts of a simulated deployment share.
#pragma once
#include <cstdint>
#include <random>

namespace zincdyke::testing {

/// A seeded random number generator. All parts of a simulated deployment draw from one RandomSource, so its
/// seed determines the whole run. The order of draws affects the results of seeded tests: a fake draws a
/// number only when it processes the event that needs the number.
class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

    /// Returns 64 random bits.
    std::uint64_t draw() { return engine_(); }
    /// Returns a random number that is uniformly distributed in [0, 1).
    double chance() { return std::uniform_real_distribution<>(0, 1)(engine_); }
    /// Returns true with the given probability. Draws no random number if the probability is 0.
    bool happens(double probability) { return probability > 0 && chance() < probability; }
    /// Returns the random engine, for standard library algorithms such as std::shuffle.
    std::mt19937_64& engine() { return engine_; }

  private:
    std::mt19937_64 engine_;
};

}  // namespace zincdyke::testing
