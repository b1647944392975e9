#include "loop/loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <stdexcept>
#include <vector>

namespace zincdyke {

void Fd::reset() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
}

bool parse_address(const std::string& text, SocketAddress& out) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos || text.size() - colon > 6) return false;
    in_addr ip{};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) != 1) return false;
    unsigned port = 0;
    for (std::size_t i = colon + 1; i < text.size(); ++i) {
        if (text[i] < '0' || text[i] > '9') return false;
        port = port * 10 + static_cast<unsigned>(text[i] - '0');
    }
    if (port == 0 || port > 65535) return false;
    out = {ip.s_addr, static_cast<std::uint16_t>(port)};
    return true;
}

namespace {
constexpr int backlog = 4096;  // the whole fleet reconnects at once; the system cuts it to what it allows
sockaddr_in to_sockaddr(const SocketAddress& a) {
    sockaddr_in s{};
    s.sin_family = AF_INET;
    s.sin_addr.s_addr = a.ip;
    s.sin_port = htons(a.port);
    return s;
}
}  // namespace

Fd listen_on(const std::string& address) {
    SocketAddress a;
    if (!parse_address(address, a)) throw std::runtime_error("bad address " + address);
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int one = 1;
    sockaddr_in s = to_sockaddr(a);
    if (!fd.valid() || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0 ||
        ::bind(fd.get(), reinterpret_cast<sockaddr*>(&s), sizeof s) != 0 || ::listen(fd.get(), backlog) != 0)
        throw std::runtime_error("cannot listen on " + address);
    return fd;
}

Fd start_connect(const std::string& address) {
    SocketAddress a;
    if (!parse_address(address, a)) return Fd();
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd.valid()) return fd;
    int one = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    sockaddr_in s = to_sockaddr(a);
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&s), sizeof s) != 0 && errno != EINPROGRESS)
        return Fd();
    return fd;
}

Loop::Loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
    if (!epoll_.valid()) throw std::runtime_error("epoll_create1 failed");
}

SteadyTime Loop::now() {
    timespec t{};
    ::clock_gettime(CLOCK_MONOTONIC, &t);
    return SteadyTime(Duration(static_cast<std::int64_t>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000));
}

WallTime Loop::wall() {
    timespec t{};
    ::clock_gettime(CLOCK_REALTIME, &t);
    return WallTime{static_cast<std::int64_t>(t.tv_sec) * 1000 + t.tv_nsec / 1'000'000};
}

void Loop::watch(int fd, std::uint32_t events, Handler handler) {
    handlers_[fd] = std::make_shared<Handler>(std::move(handler));
    epoll_event e{};
    e.events = events;
    e.data.fd = fd;
    if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &e) != 0) throw std::runtime_error("epoll_ctl failed");
}

void Loop::update_events(int fd, std::uint32_t events) {
    epoll_event e{};
    e.events = events;
    e.data.fd = fd;
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &e);
}

void Loop::unwatch(int fd) {
    if (handlers_.erase(fd) > 0) ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

Loop::TimerId Loop::after(Duration d, std::function<void()> fn) {
    TimerId id = next_timer_++;
    SteadyTime due = now() + std::max(d, Duration(0));
    timers_.emplace(std::make_pair(due, id), std::move(fn));
    due_[id] = due;
    return id;
}

void Loop::cancel(TimerId id) {
    auto it = due_.find(id);
    if (it == due_.end()) return;
    timers_.erase({it->second, id});
    due_.erase(it);
}

void Loop::run_timers() {
    SteadyTime t = now();
    // Timers set by these do not run before the next poll, so that they cannot starve the sockets.
    TimerId last = next_timer_;
    for (auto it = timers_.begin(); it != timers_.end() && it->first.first <= t;) {
        if (it->first.second >= last) {
            ++it;
            continue;
        }
        auto fn = std::move(it->second);
        due_.erase(it->first.second);
        timers_.erase(it);
        fn();
        it = timers_.begin();
    }
}

void Loop::run() {
    for (;;) run_once(std::chrono::seconds(60));
}

void Loop::run_once(Duration most) {
    std::array<epoll_event, 64> events;
    auto wait = most;
    if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first.first - now());
    const auto ms = (std::max(wait, Duration(0)).count() + 999) / 1000;
    int n = ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), static_cast<int>(ms));
    for (int i = 0; i < n; ++i) {
        auto it = handlers_.find(events[static_cast<std::size_t>(i)].data.fd);
        if (it == handlers_.end()) continue;
        auto handler = it->second;
        (*handler)(events[static_cast<std::size_t>(i)].events);
    }
    run_timers();
}

}  // namespace zincdyke
