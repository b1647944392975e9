#include "loop/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "loop/http_message.h"

namespace zincdyke {
namespace {
constexpr int max_accepts_per_event = 64;
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
constexpr Duration sweep_interval = std::chrono::milliseconds(250);
constexpr Duration handling_limit = std::chrono::seconds(30);

const char* reason_phrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 413:
            return "Payload Too Large";
        case 421:
            return "Misdirected Request";
        case 422:
            return "Unprocessable Entity";
        case 429:
            return "Too Many Requests";
        default:
            return "Service Unavailable";
    }
}

std::string serialize(const HttpResponse& r, bool keep_alive) {
    std::string text = "HTTP/1.1 " + std::to_string(r.status) + " " + reason_phrase(r.status) + "\r\n";
    text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(r.body.size()) + "\r\n";
    if (const int retry_after_s = r.retry_after_s.value_or(-1); retry_after_s >= 0)
        text += "Retry-After: " + std::to_string(retry_after_s) + "\r\n";
    if (!keep_alive) text += "Connection: close\r\n";
    text += "\r\n";
    text += r.body;
    return text;
}
}  // namespace

struct HttpServer::Connection {
    enum class Wait : std::uint8_t { idle, reading, handling, writing };

    void begin_wait(Wait kind, SteadyTime now) {
        wait = kind;
        since = now;
    }

    Fd fd;
    HttpMessageParser parser{HttpMessageParser::Kind::request, max_request_body_bytes};
    std::string in, out;
    std::size_t sent = 0;
    bool busy = false, closing = false;
    Wait wait = Wait::idle;
    SteadyTime since{};  // start of the present wait
};

HttpServer::HttpServer(Loop& loop, const std::string& address, ServerLimits limits, Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)), listener_(listen_on(address)) {
    loop_.watch(listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
    sweep();
}

HttpServer::~HttpServer() { loop_.unwatch(listener_.get()); }

void HttpServer::accept_all() {
    for (int i = 0; i < max_accepts_per_event; ++i) {
        // Full of busy ones: the rest stays in the backlog, for others to be tried by the load balancer.
        if (connections_.size() >= limits_.max_connections && !evict_idle()) return pause_accepting();
        Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd.valid()) {
            // Out of sockets: without a pause the ready listener would spin the loop.
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ECONNABORTED && errno != EINTR)
                pause_accepting();
            return;
        }
        add_connection(std::move(fd));
    }
}

void HttpServer::add_connection(Fd fd) {
    const int raw = fd.get();
    const int enabled = 1;
    ::setsockopt(raw, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    auto c = std::make_shared<Connection>();
    c->fd = std::move(fd);
    c->since = Loop::now();
    connections_[raw] = c;
    loop_.watch(raw, EPOLLIN, [this, c](std::uint32_t events) { on_event(c, events); });
}

void HttpServer::pause_accepting() {
    loop_.update_events(listener_.get(), 0);
    accepting_paused_ = true;
}

void HttpServer::resume_accepting() {
    if (!accepting_paused_ || connections_.size() >= limits_.max_connections) return;
    accepting_paused_ = false;
    loop_.update_events(listener_.get(), EPOLLIN);
}

// The whole fleet may come to one surviving controller. Whoever is idle longest makes room, so that neither a
// worker's report nor a health check is kept waiting by connections that nobody uses.
bool HttpServer::evict_idle() {
    ConnectionPtr longest;
    for (const auto& [fd, c] : connections_)
        if (c->wait == Connection::Wait::idle && (!longest || c->since < longest->since)) longest = c;
    if (!longest || Loop::now() - longest->since < limits_.min_idle_before_eviction) return false;
    close(longest);
    return true;
}

Duration HttpServer::wait_limit(const Connection& c) const {
    switch (c.wait) {
        case Connection::Wait::idle:
            return limits_.idle_timeout;
        case Connection::Wait::reading:
            return limits_.request_timeout;
        case Connection::Wait::writing:
            return limits_.write_timeout;
        case Connection::Wait::handling:
            break;
    }
    return handling_limit;
}

void HttpServer::sweep() {
    const SteadyTime now = Loop::now();
    std::vector<ConnectionPtr> late;
    for (const auto& [fd, c] : connections_)
        if (now - c->since > wait_limit(*c)) late.push_back(c);
    for (const auto& c : late) close(c);
    // One that was busy or fresh may have become idle long enough meanwhile.
    if (accepting_paused_ && connections_.size() >= limits_.max_connections) evict_idle();
    resume_accepting();
    loop_.after(sweep_interval, [this] { sweep(); });
}

void HttpServer::on_event(const ConnectionPtr& c, std::uint32_t events) {
    if (!c->fd.valid()) return;
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) return close(c);
    if ((events & EPOLLOUT) != 0) flush(c);
    if (c->fd.valid() && (events & EPOLLIN) != 0) read(c);
}

void HttpServer::read(const ConnectionPtr& c) {
    std::array<char, read_buffer_bytes> buffer;
    const ssize_t n = ::recv(c->fd.get(), buffer.data(), buffer.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) return close(c);
    if (n < 0) return;
    c->in.append(buffer.data(), static_cast<std::size_t>(n));
    // Requests are never pipelined: whoever sends much more than one at a time is cut off.
    if (c->in.size() > max_request_head_bytes + max_request_body_bytes + read_buffer_bytes) return close(c);
    if (!c->busy) parse(c);
}

void HttpServer::parse(const ConnectionPtr& c) {
    if (c->in.empty()) return;
    if (c->wait == Connection::Wait::idle) c->begin_wait(Connection::Wait::reading, Loop::now());
    std::size_t used = 0;
    const auto state = c->parser.feed(c->in, used);
    c->in.erase(0, std::min(used, c->in.size()));
    switch (state) {
        case HttpMessageParser::State::partial:
            return;
        case HttpMessageParser::State::malformed:
            return respond(c, {400, R"({"error":"malformed request"})", -1}, false);
        case HttpMessageParser::State::too_large:
            return respond(c, {413, R"({"error":"body over 64 KiB"})", -1}, false);
        case HttpMessageParser::State::complete:
            return handle(c);
    }
}

void HttpServer::handle(const ConnectionPtr& c) {
    c->busy = true;
    c->begin_wait(Connection::Wait::handling, Loop::now());
    const bool keep_alive = c->parser.keep_alive();
    HttpRequest request{c->parser.method, c->parser.target, std::move(c->parser.body)};
    c->parser.reset();
    std::weak_ptr<Connection> weak = c;
    handler_(std::move(request), [this, weak, keep_alive](const HttpResponse& r) {
        const auto connection = weak.lock();
        // The asker may be gone by now, and an answer is given once.
        if (!connection || !connection->fd.valid() || !connection->busy) return;
        respond(connection, r, keep_alive);
    });
}

void HttpServer::respond(const ConnectionPtr& c, const HttpResponse& r, bool keep_alive) {
    c->busy = false;
    c->closing = !keep_alive;
    c->out = serialize(r, keep_alive);
    c->sent = 0;
    c->begin_wait(Connection::Wait::writing, Loop::now());
    flush(c);
}

void HttpServer::flush(const ConnectionPtr& c) {
    while (c->sent < c->out.size()) {
        const ssize_t n = ::send(c->fd.get(), c->out.data() + c->sent, c->out.size() - c->sent, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) return close(c);
            loop_.update_events(c->fd.get(), EPOLLOUT);
            return;
        }
        c->sent += static_cast<std::size_t>(n);
    }
    if (!c->out.empty()) finish_response(c);
}

void HttpServer::finish_response(const ConnectionPtr& c) {
    c->out.clear();
    c->out.shrink_to_fit();
    if (c->closing) return close(c);
    loop_.update_events(c->fd.get(), EPOLLIN);
    c->begin_wait(Connection::Wait::idle, Loop::now());
    if (c->in.empty()) return;
    loop_.after(Duration(0), [this, c] {
        if (c->fd.valid() && !c->busy) parse(c);
    });
}

void HttpServer::close(const ConnectionPtr& c) {
    if (!c->fd.valid()) return;
    // Nothing of `c` is used from here on: what is forgotten may have owned it.
    Fd fd = std::move(c->fd);
    loop_.unwatch(fd.get());
    connections_.erase(fd.get());
    fd.reset();
    resume_accepting();
}

}  // namespace zincdyke
