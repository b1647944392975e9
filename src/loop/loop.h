// The process's one event loop: epoll, timers and sockets.
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

// Owns a file descriptor.
class Fd {
  public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
    Fd& operator=(Fd&& o) noexcept {
        if (this != &o) {
            reset();
            fd_ = std::exchange(o.fd_, -1);
        }
        return *this;
    }
    ~Fd() { reset(); }
    int get() const { return fd_; }
    bool valid() const { return fd_ >= 0; }
    void reset();

  private:
    int fd_ = -1;
};

struct SocketAddress {
    std::uint32_t ip = 0;  // network byte order
    std::uint16_t port = 0;
};
bool parse_address(const std::string& text, SocketAddress& out);
Fd listen_on(const std::string& address);      // throws std::runtime_error
Fd start_connect(const std::string& address);  // invalid when it fails at once

class Loop {
  public:
    using TimerId = std::uint64_t;
    using Handler = std::function<void(std::uint32_t events)>;
    Loop();
    static SteadyTime now();
    static WallTime wall();
    void watch(int fd, std::uint32_t events, Handler handler);
    void update_events(int fd, std::uint32_t events);
    void unwatch(int fd);
    TimerId after(Duration d, std::function<void()> fn);
    void cancel(TimerId id);
    void run();
    // One wait, of `most` at the longest, and what it brought.
    void run_once(Duration most);

  private:
    void run_timers();
    Fd epoll_;
    // Handlers are shared so that one may forget itself, or another, while it runs.
    std::unordered_map<int, std::shared_ptr<Handler>> handlers_;
    std::map<std::pair<SteadyTime, TimerId>, std::function<void()>> timers_;
    std::unordered_map<TimerId, SteadyTime> due_;
    TimerId next_timer_ = 1;
};

}  // namespace zincdyke
