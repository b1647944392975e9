/// The environment that a simulated deployment gives to each of its controllers.
#pragma once
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>

#include "base/env.h"

namespace zincdyke::testing {

class ControllerHosts;

/// Clock, timers, HTTP, peer messages and random numbers of one incarnation of a controller: made when its
/// process starts. Timers and responses of an incarnation that has ended do nothing; those that come while
/// the process is frozen wait until it goes on.
class SimEnv : public zincdyke::Env {
  public:
    /// Draws the seed of the controller's own random numbers from the deployment's. `hosts` must outlive it.
    SimEnv(ControllerHosts& hosts, std::size_t host, std::uint64_t incarnation);

    SteadyTime now() override;
    WallTime wall() override;
    TimerId after(Duration delay, std::function<void()> fn) override;
    void cancel(TimerId id) override { pending_timers_.erase(id); }
    void http(const std::string& address, HttpRequest request, Duration timeout, Reply done) override;
    void send_peer(const NodeName& to, std::string frame) override;
    std::mt19937_64& rng() override { return rng_; }

  private:
    /// Runs `fn` only if this incarnation still runs then.
    std::function<void()> guarded(std::function<void()> fn);

    ControllerHosts& hosts_;
    std::size_t host_;
    std::string name_;
    std::uint64_t incarnation_;
    std::mt19937_64 rng_;
    TimerId last_timer_ = 0;
    std::set<TimerId> pending_timers_;
    std::size_t open_worker_requests_ = 0;
};

}  // namespace zincdyke::testing
