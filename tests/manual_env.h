/// An environment for tests of single parts: a clock that the test moves, and no network.
#pragma once
#include "base/env.h"

namespace zincdyke::testing {

/// Timers never run; requests and messages go nowhere.
class ManualEnv : public Env {
  public:
    SteadyTime now() override { return current; }
    WallTime wall() override { return WallTime{current.time_since_epoch().count() / 1000}; }
    TimerId after(Duration, std::function<void()>) override { return 0; }
    void cancel(TimerId) override {}
    void http(const std::string&, HttpRequest, Duration, Reply) override {}
    void send_peer(const NodeName&, std::string) override {}
    std::mt19937_64& rng() override { return random_; }

    SteadyTime current{seconds(1000)};

  private:
    std::mt19937_64 random_;
};

}  // namespace zincdyke::testing
