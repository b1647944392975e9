/// Single-threaded event loop with timers, based on epoll, and helpers for TCP sockets.
#pragma once
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/types.h"

namespace zincdyke {

/// Owns a file descriptor and closes it on destruction.
class Fd {
  public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        if (this != &other) {
            reset();
            fd_ = std::exchange(other.fd_, -1);
        }
        return *this;
    }
    ~Fd() { reset(); }
    /// Returns the file descriptor, or -1 if there is none. This object keeps the ownership.
    int get() const { return fd_; }
    bool valid() const { return fd_ >= 0; }
    /// Closes the file descriptor, if there is one.
    void reset();

  private:
    int fd_ = -1;
};

/// An IPv4 address and a TCP port.
struct SocketAddress {
    std::uint32_t ip = 0;    // IPv4 address in network byte order
    std::uint16_t port = 0;  // TCP port in host byte order
};
/// Parses text such as "10.0.0.1:8080" into `parsed`. Returns false, and leaves `parsed` unchanged, if the
/// text is not an IPv4 address with a port from 1 to 65535.
bool parse_address(const std::string& text, SocketAddress& parsed);
/// Returns a non-blocking TCP socket that listens on the address. Throws std::runtime_error on failure.
Fd listen_on(const std::string& address);
/// Starts a non-blocking TCP connect. Returns an invalid Fd if the connect fails immediately; a later failure
/// is reported by the socket's events.
Fd start_connect(const std::string& address);

/// Calls handlers of file descriptors and of timers, all on the thread that calls `run` or `run_once`.
class Loop {
  public:
    using TimerId = std::uint64_t;
    /// Receives the epoll events (EPOLLIN, EPOLLOUT, ...) that occurred on a file descriptor.
    using Handler = std::function<void(std::uint32_t events)>;
    /// Throws std::runtime_error if epoll is unavailable.
    Loop();
    /// Returns the time of the monotonic clock.
    static SteadyTime now();
    /// Returns the time of the system's real-time clock.
    static WallTime wall();
    /// Calls `handler` whenever one of the given epoll events occurs on the file descriptor, until `unwatch`.
    /// Throws std::runtime_error if epoll rejects the descriptor.
    void watch(int fd, std::uint32_t events, Handler handler);
    /// Replaces the epoll events for which a watched file descriptor's handler is called.
    void update_events(int fd, std::uint32_t events);
    /// Stops watching a file descriptor and releases its handler. Does nothing if it is not watched. Must be
    /// called before the descriptor is closed.
    void unwatch(int fd);
    /// Calls `fn` once, at the earliest when `delay` has passed.
    TimerId after(Duration delay, std::function<void()> fn);
    /// Cancels a timer. Does nothing if the timer has fired or does not exist.
    void cancel(TimerId id);
    /// Runs the event loop forever.
    void run();
    /// Waits at most `max_wait` for events or timers and calls the handlers of those that are ready.
    void run_once(Duration max_wait);

  private:
    void run_timers();
    Fd epoll_;
    // Handlers have shared ownership because a handler may unwatch its own descriptor while it runs.
    std::unordered_map<int, std::shared_ptr<Handler>> handlers_;
    std::map<std::pair<SteadyTime, TimerId>, std::function<void()>> timers_;
    std::unordered_map<TimerId, SteadyTime> timer_deadlines_;
    TimerId next_timer_id_ = 1;
};

}  // namespace zincdyke
