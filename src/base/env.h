/// The interface between a controller and its environment: clocks, timers, network and randomness.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "base/types.h"

namespace zincdyke {

/// An HTTP request; `path` includes the query string.
struct HttpRequest {
    std::string method, path, body;
};

/// An HTTP response; the body is JSON.
struct HttpResponse {
    /// The HTTP status; 0 if no response was received, so that the request may or may not have been executed.
    int status = 0;
    std::string body;
    /// Value of the Retry-After header, in seconds; if empty or negative, the header is omitted.
    std::optional<int> retry_after_s = std::nullopt;

    static HttpResponse ok(std::string body) { return {200, std::move(body)}; }
    static HttpResponse created(std::string body) { return {201, std::move(body)}; }
    static HttpResponse bad_request(std::string body = "{}") { return {400, std::move(body)}; }
    static HttpResponse not_found(std::string body) { return {404, std::move(body)}; }
    static HttpResponse method_not_allowed(std::string body = "{}") { return {405, std::move(body)}; }
    /// Returns a response with status 421 (Misdirected Request): the client must send the request to another
    /// controller.
    static HttpResponse misdirected(std::string body = "{}") { return {421, std::move(body)}; }
    /// Returns a response with status 422 (Unprocessable Content): the request is well-formed, but can never
    /// be fulfilled.
    static HttpResponse unprocessable(std::string body) { return {422, std::move(body)}; }
    static HttpResponse service_unavailable(std::optional<int> retry_after_s = std::nullopt,
                                            std::string body = "{}") {
        return {503, std::move(body), retry_after_s};
    }
};
/// Callback that receives the response to one HTTP request.
using Reply = std::function<void(HttpResponse)>;

/// The interface through which a controller uses clocks, timers, HTTP, messages to other controllers and
/// random numbers. In production it is implemented by RealEnv on the epoll event loop, and in tests by an
/// in-memory simulation. Each callback runs on the event-loop thread, after the function that it was passed
/// to has returned.
class Env {
  public:
    using TimerId = std::uint64_t;
    virtual ~Env() = default;
    /// Returns the current time of the monotonic clock.
    virtual SteadyTime now() = 0;
    /// Returns the current date and time. Unlike `now`, the result may jump when the system clock is
    /// adjusted.
    virtual WallTime wall() = 0;
    /// Calls `fn` once after `delay`. The returned id can be passed to `cancel`.
    virtual TimerId after(Duration delay, std::function<void()> fn) = 0;
    /// Cancels a timer; does nothing if the timer has already fired or does not exist.
    virtual void cancel(TimerId id) = 0;
    /// Sends an HTTP request. `done` is called exactly once, with status 0 if no response arrives in time.
    virtual void http(const std::string& address, HttpRequest request, Duration timeout, Reply done) = 0;
    /// Sends an encoded message to a peer. The message may be lost; messages of one connection arrive
    /// in order.
    virtual void send_peer(const NodeName& to, std::string message) = 0;
    virtual std::mt19937_64& rng() = 0;
};

}  // namespace zincdyke
