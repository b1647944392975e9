/// The one source of random numbers of a simulated deployment.
#pragma once
#include <cstdint>
#include <random>

namespace zincdyke::testing {

/// All parts of a deployment draw from one RandomSource, so its seed decides the whole run. The order of
/// draws is part of what a seeded test means: a fake draws only when the event that needs the number happens.
class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

    /// The next 64 random bits.
    std::uint64_t draw() { return engine_(); }
    /// Uniform in [0, 1).
    double chance() { return std::uniform_real_distribution<>(0, 1)(engine_); }
    /// True for that share of calls. Draws nothing if the share is 0.
    bool happens(double share) { return share > 0 && chance() < share; }
    /// For the algorithms of the standard library.
    std::mt19937_64& engine() { return engine_; }

  private:
    std::mt19937_64 engine_;
};

}  // namespace zincdyke::testing
