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

bool parse_address(const std::string& text, SocketAddress& parsed) {
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
    parsed = {ip.s_addr, static_cast<std::uint16_t>(port)};
    return true;
}

namespace {
constexpr int max_listen_backlog = 4096;  // allows all workers to reconnect at the same time
sockaddr_in to_sockaddr(const SocketAddress& address) {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = address.ip;
    socket_address.sin_port = htons(address.port);
    return socket_address;
}
}  // namespace

Fd listen_on(const std::string& address) {
    SocketAddress parsed;
    if (!parse_address(address, parsed))
        throw std::runtime_error("invalid listen address " + address + ": expected IPv4-address:port");
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int one = 1;
    sockaddr_in socket_address = to_sockaddr(parsed);
    if (!fd.valid() || ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0 ||
        ::bind(fd.get(), reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) != 0 ||
        ::listen(fd.get(), max_listen_backlog) != 0)
        throw std::runtime_error("cannot listen on " + address);
    return fd;
}

Fd start_connect(const std::string& address) {
    SocketAddress parsed;
    if (!parse_address(address, parsed)) return Fd();
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd.valid()) return fd;
    int one = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    sockaddr_in socket_address = to_sockaddr(parsed);
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) != 0 &&
        errno != EINPROGRESS)
        return Fd();
    return fd;
}

Loop::Loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
    if (!epoll_.valid()) throw std::runtime_error("epoll_create1 failed");
}

SteadyTime Loop::now() {
    timespec time{};
    ::clock_gettime(CLOCK_MONOTONIC, &time);
    return SteadyTime(Duration(static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000));
}

WallTime Loop::wall() {
    timespec time{};
    ::clock_gettime(CLOCK_REALTIME, &time);
    return WallTime{static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000};
}

void Loop::watch(int fd, std::uint32_t events, Handler handler) {
    handlers_[fd] = std::make_shared<Handler>(std::move(handler));
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0)
        throw std::runtime_error("epoll_ctl failed");
}

void Loop::update_events(int fd, std::uint32_t events) {
    epoll_event event{};
    event.events = events;
    event.data.fd = fd;
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &event);
}

void Loop::unwatch(int fd) {
    if (handlers_.erase(fd) > 0) ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

Loop::TimerId Loop::after(Duration delay, std::function<void()> fn) {
    TimerId id = next_timer_id_++;
    SteadyTime deadline = now() + std::max(delay, Duration(0));
    timers_.emplace(std::make_pair(deadline, id), std::move(fn));
    timer_deadlines_[id] = deadline;
    return id;
}

void Loop::cancel(TimerId id) {
    auto it = timer_deadlines_.find(id);
    if (it == timer_deadlines_.end()) return;
    timers_.erase({it->second, id});
    timer_deadlines_.erase(it);
}

void Loop::run_timers() {
    SteadyTime current_time = now();
    // Timers added by these callbacks run only after the next poll, so that timers cannot starve the sockets.
    TimerId first_new_id = next_timer_id_;
    for (auto it = timers_.begin(); it != timers_.end() && it->first.first <= current_time;) {
        if (it->first.second >= first_new_id) {
            ++it;
            continue;
        }
        auto fn = std::move(it->second);
        timer_deadlines_.erase(it->first.second);
        timers_.erase(it);
        fn();
        it = timers_.begin();
    }
}

void Loop::run() {
    for (;;) run_once(std::chrono::seconds(60));
}

void Loop::run_once(Duration max_wait) {
    std::array<epoll_event, 64> events;
    auto wait = max_wait;
    if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first.first - now());
    const auto wait_ms = (std::max(wait, Duration(0)).count() + 999) / 1000;
    int event_count =
        ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()), static_cast<int>(wait_ms));
    for (int i = 0; i < event_count; ++i) {
        auto it = handlers_.find(events[static_cast<std::size_t>(i)].data.fd);
        if (it == handlers_.end()) continue;
        auto handler = it->second;
        (*handler)(events[static_cast<std::size_t>(i)].events);
    }
    run_timers();
}

}  // namespace zincdyke
