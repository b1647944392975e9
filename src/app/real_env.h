/// Env implementation with real sockets and clocks.
#pragma once
#include "base/env.h"
#include "loop/http_client.h"
#include "loop/loop.h"
#include "loop/peer_links.h"

namespace zincdyke {

/// Implements Env on the event loop. The key-value store, the cloud and the workers each have an HTTP client
/// of their own, so that workers that do not respond cannot delay lease renewals or commits. `loop` and
/// `settings` must outlive the RealEnv.
class RealEnv : public Env {
  public:
    /// Calls `on_peer` for each message received from another controller.
    RealEnv(Loop& loop, const Settings& settings, PeerLinks::Handler on_peer);
    SteadyTime now() override { return Loop::now(); }
    WallTime wall() override { return Loop::wall(); }
    TimerId after(Duration delay, std::function<void()> fn) override {
        return loop_.after(delay, std::move(fn));
    }
    /// Cancels a timer that was set with `after`.
    void cancel(TimerId id) override { loop_.cancel(id); }
    void http(const std::string& address, HttpRequest request, Duration timeout, Reply done) override {
        HttpClient& client = address == settings_.store_address   ? store_
                             : address == settings_.cloud_address ? cloud_
                                                                  : workers_;
        client.request(address, request, timeout, std::move(done));
    }
    void send_peer(const NodeName& to, std::string message) override { peers_.send(to, message); }
    std::mt19937_64& rng() override { return rng_; }

  private:
    Loop& loop_;
    const Settings& settings_;
    HttpClient store_, cloud_, workers_;
    PeerLinks peers_;
    std::mt19937_64 rng_;
};

}  // namespace zincdyke
