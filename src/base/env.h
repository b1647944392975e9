/// What a node may ask of the world. The epoll loop implements it for real, the tests in memory.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "base/types.h"

namespace zincdyke {

/// A request as it is sent or received; `path` includes the query.
struct HttpRequest {
    std::string method, path, body;
};

/// An answer to a request. Bodies are JSON.
struct HttpResponse {
    /// The HTTP status. 0: no answer came, and what was asked may or may not have been done.
    int status = 0;
    std::string body;
    /// Seconds after which the client should ask again, as the Retry-After header tells it; nothing or less
    /// than 0: no such header.
    std::optional<int> retry_after_s = std::nullopt;

    static HttpResponse ok(std::string body) { return {200, std::move(body)}; }
    static HttpResponse created(std::string body) { return {201, std::move(body)}; }
    static HttpResponse bad_request(std::string body = "{}") { return {400, std::move(body)}; }
    static HttpResponse not_found(std::string body) { return {404, std::move(body)}; }
    static HttpResponse method_not_allowed(std::string body = "{}") { return {405, std::move(body)}; }
    /// 421: another node is the one to ask.
    static HttpResponse misdirected(std::string body = "{}") { return {421, std::move(body)}; }
    /// 422: well-formed, and can never be done.
    static HttpResponse unprocessable(std::string body) { return {422, std::move(body)}; }
    static HttpResponse service_unavailable(std::optional<int> retry_after_s = std::nullopt,
                                            std::string body = "{}") {
        return {503, std::move(body), retry_after_s};
    }
};
/// Takes the answer to one request.
using Reply = std::function<void(HttpResponse)>;

/// Clocks, timers, HTTP, peer links and randomness. Everything runs on the one event loop: callbacks are
/// never called from within the call that was given them.
class Env {
  public:
    using TimerId = std::uint64_t;
    virtual ~Env() = default;
    virtual SteadyTime now() = 0;
    virtual WallTime wall() = 0;
    /// Calls `fn` once, `delay` from now.
    virtual TimerId after(Duration delay, std::function<void()> fn) = 0;
    /// Does nothing if the timer has fired or does not exist.
    virtual void cancel(TimerId id) = 0;
    /// Sends a request. `done` is called exactly once, with status 0 when no answer came in time.
    virtual void http(const std::string& address, HttpRequest request, Duration timeout, Reply done) = 0;
    /// Best effort, in order while a connection lasts.
    virtual void send_peer(const NodeName& to, std::string message) = 0;
    virtual std::mt19937_64& rng() = 0;
};

}  // namespace zincdyke
