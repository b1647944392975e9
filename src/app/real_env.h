// Env on the epoll loop.
#pragma once
#include "base/env.h"
#include "loop/http_client.h"
#include "loop/loop.h"
#include "loop/peers.h"

namespace zincdyke {

class RealEnv : public Env {
  public:
    RealEnv(Loop& loop, const Settings& settings, PeerLinks::Handler on_peer);
    SteadyTime now() override { return Loop::now(); }
    WallTime wall() override { return Loop::wall(); }
    TimerId after(Duration d, std::function<void()> fn) override { return loop_.after(d, std::move(fn)); }
    void cancel(TimerId id) override { loop_.cancel(id); }
    void http(const std::string& address, HttpRequest req, Duration timeout, Reply done) override {
        HttpClient& client = address == settings_.state   ? state_
                             : address == settings_.cloud ? cloud_
                                                          : workers_;
        client.request(address, req, timeout, std::move(done));
    }
    void send_peer(const NodeName& to, std::string message) override { peers_.send(to, message); }
    std::mt19937_64& rng() override { return rng_; }

  private:
    Loop& loop_;
    const Settings& settings_;
    HttpClient state_, cloud_, workers_;
    PeerLinks peers_;
    std::mt19937_64 rng_;
};

}  // namespace zincdyke
