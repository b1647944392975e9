// What a node may ask of the world. The epoll loop implements it for real, the tests in memory.
#pragma once
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "base/types.h"

namespace zincdyke {

struct HttpRequest {
    std::string method, path, body;
};
struct HttpResponse {
    int status = 0;  // 0: no answer; what was asked may or may not have been done
    std::string body;
    int retry_after_s = -1;
};
using Reply = std::function<void(HttpResponse)>;

class Env {
  public:
    using TimerId = std::uint64_t;
    virtual ~Env() = default;
    virtual SteadyTime now() = 0;
    virtual WallTime wall() = 0;
    virtual TimerId after(Duration d, std::function<void()> fn) = 0;
    virtual void cancel(TimerId id) = 0;
    // Exactly one call of `done`, always from the loop and never from within this call.
    virtual void http(const std::string& address, HttpRequest req, Duration timeout, Reply done) = 0;
    // Best effort, in order while a connection lasts.
    virtual void send_peer(const NodeName& to, std::string message) = 0;
    virtual std::mt19937_64& rng() = 0;
};

}  // namespace zincdyke
