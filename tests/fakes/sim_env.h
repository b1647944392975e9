/// The environment (Env) of a controller in a simulated deployment.
#pragma once
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>

#include "base/env.h"

namespace zincdyke::testing {

class ControllerHosts;

/// Provides clock, timers, HTTP, peer messages and random numbers to one process incarnation of a controller.
/// Timers and responses of an incarnation that has ended are discarded; those that occur while the process is
/// frozen are deferred until it resumes.
class SimEnv : public zincdyke::Env {
  public:
    /// Draws the seed of the controller's random number generator from the deployment's generator. `hosts`
    /// must outlive this object.
    SimEnv(ControllerHosts& hosts, std::size_t host, std::uint64_t incarnation);

    SteadyTime now() override;
    WallTime wall() override;
    TimerId after(Duration delay, std::function<void()> fn) override;
    void cancel(TimerId id) override { pending_timers_.erase(id); }
    void http(const std::string& address, HttpRequest request, Duration timeout, Reply done) override;
    void send_peer(const NodeName& to, std::string frame) override;
    std::mt19937_64& rng() override { return rng_; }

  private:
    /// Returns a function that runs `fn` only if this process incarnation is still running at that time.
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
