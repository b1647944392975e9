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
constexpr Duration timeout_check_interval = std::chrono::milliseconds(250);
constexpr Duration handling_timeout = std::chrono::seconds(30);

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

std::string serialize(const HttpResponse& response, bool keep_alive) {
    std::string text =
        "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) + "\r\n";
    text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (const int retry_after_s = response.retry_after_s.value_or(-1); retry_after_s >= 0)
        text += "Retry-After: " + std::to_string(retry_after_s) + "\r\n";
    if (!keep_alive) text += "Connection: close\r\n";
    text += "\r\n";
    text += response.body;
    return text;
}
}  // namespace

struct HttpServer::Connection {
    enum class Phase : std::uint8_t { idle, reading, handling, writing };

    void begin_phase(Phase new_phase, SteadyTime now) {
        phase = new_phase;
        phase_started_at = now;
    }

    Fd fd;
    HttpMessageParser parser{HttpMessageParser::Kind::request, max_request_body_bytes};
    std::string input, output;
    std::size_t sent_bytes = 0;
    bool busy = false, close_after_response = false;
    Phase phase = Phase::idle;
    SteadyTime phase_started_at{};
};

HttpServer::HttpServer(Loop& loop, const std::string& address, ServerLimits limits, Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)), listener_(listen_on(address)) {
    loop_.watch(listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_connections(); });
    close_timed_out();
}

HttpServer::~HttpServer() { loop_.unwatch(listener_.get()); }

void HttpServer::accept_connections() {
    for (int i = 0; i < max_accepts_per_event; ++i) {
        // While all connections are in use, new ones stay in the kernel's listen backlog.
        if (connections_.size() >= limits_.max_connections && !evict_longest_idle()) return pause_accepting();
        Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd.valid()) {
            // Without a pause, a readable listener causes a busy loop when file descriptors have run out.
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ECONNABORTED && errno != EINTR)
                pause_accepting();
            return;
        }
        add_connection(std::move(fd));
    }
}

void HttpServer::add_connection(Fd fd) {
    const int descriptor = fd.get();
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    auto connection = std::make_shared<Connection>();
    connection->fd = std::move(fd);
    connection->phase_started_at = Loop::now();
    connections_[descriptor] = connection;
    loop_.watch(descriptor, EPOLLIN,
                [this, connection](std::uint32_t events) { on_event(connection, events); });
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

// Closes the connection that has been idle longest, so that heartbeats and health checks are accepted when
// all workers connect to one controller. Returns false if no connection has been idle long enough.
bool HttpServer::evict_longest_idle() {
    ConnectionPtr longest;
    for (const auto& [fd, connection] : connections_)
        if (connection->phase == Connection::Phase::idle &&
            (!longest || connection->phase_started_at < longest->phase_started_at))
            longest = connection;
    if (!longest || Loop::now() - longest->phase_started_at < limits_.min_idle_before_eviction) return false;
    close(longest);
    return true;
}

Duration HttpServer::phase_timeout(const Connection& connection) const {
    switch (connection.phase) {
        case Connection::Phase::idle:
            return limits_.idle_timeout;
        case Connection::Phase::reading:
            return limits_.request_timeout;
        case Connection::Phase::writing:
            return limits_.write_timeout;
        case Connection::Phase::handling:
            break;
    }
    return handling_timeout;
}

void HttpServer::close_timed_out() {
    const SteadyTime now = Loop::now();
    std::vector<ConnectionPtr> timed_out;
    for (const auto& [fd, connection] : connections_)
        if (now - connection->phase_started_at > phase_timeout(*connection)) timed_out.push_back(connection);
    for (const auto& connection : timed_out) close(connection);
    // A connection may have become idle long enough since accepting was paused.
    if (accepting_paused_ && connections_.size() >= limits_.max_connections) evict_longest_idle();
    resume_accepting();
    loop_.after(timeout_check_interval, [this] { close_timed_out(); });
}

void HttpServer::on_event(const ConnectionPtr& connection, std::uint32_t events) {
    if (!connection->fd.valid()) return;
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) return close(connection);
    if ((events & EPOLLOUT) != 0) flush(connection);
    if (connection->fd.valid() && (events & EPOLLIN) != 0) read(connection);
}

void HttpServer::read(const ConnectionPtr& connection) {
    std::array<char, read_buffer_bytes> buffer;
    const ssize_t n = ::recv(connection->fd.get(), buffer.data(), buffer.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) return close(connection);
    if (n < 0) return;
    connection->input.append(buffer.data(), static_cast<std::size_t>(n));
    // Limits the input that is buffered for one connection. Clients are not expected to pipeline requests.
    if (connection->input.size() > max_request_head_bytes + max_request_body_bytes + read_buffer_bytes)
        return close(connection);
    if (!connection->busy) parse(connection);
}

void HttpServer::parse(const ConnectionPtr& connection) {
    if (connection->input.empty()) return;
    if (connection->phase == Connection::Phase::idle)
        connection->begin_phase(Connection::Phase::reading, Loop::now());
    std::size_t consumed = 0;
    const auto state = connection->parser.feed(connection->input, consumed);
    connection->input.erase(0, std::min(consumed, connection->input.size()));
    switch (state) {
        case HttpMessageParser::State::partial:
            return;
        case HttpMessageParser::State::malformed:
            return respond(connection, {400, R"({"error":"malformed request"})", -1}, false);
        case HttpMessageParser::State::too_large:
            return respond(connection, {413, R"({"error":"body over 64 KiB"})", -1}, false);
        case HttpMessageParser::State::complete:
            return handle(connection);
    }
}

void HttpServer::handle(const ConnectionPtr& connection) {
    connection->busy = true;
    connection->begin_phase(Connection::Phase::handling, Loop::now());
    const bool keep_alive = connection->parser.keep_alive();
    HttpRequest request{connection->parser.method, connection->parser.target,
                        std::move(connection->parser.body)};
    connection->parser.reset();
    std::weak_ptr<Connection> weak = connection;
    handler_(std::move(request), [this, weak, keep_alive](const HttpResponse& response) {
        const auto open_connection = weak.lock();
        // Ignores a reply if the client has disconnected or a reply has already been sent.
        if (!open_connection || !open_connection->fd.valid() || !open_connection->busy) return;
        respond(open_connection, response, keep_alive);
    });
}

void HttpServer::respond(const ConnectionPtr& connection, const HttpResponse& response, bool keep_alive) {
    connection->busy = false;
    connection->close_after_response = !keep_alive;
    connection->output = serialize(response, keep_alive);
    connection->sent_bytes = 0;
    connection->begin_phase(Connection::Phase::writing, Loop::now());
    flush(connection);
}

void HttpServer::flush(const ConnectionPtr& connection) {
    while (connection->sent_bytes < connection->output.size()) {
        const ssize_t n = ::send(connection->fd.get(), connection->output.data() + connection->sent_bytes,
                                 connection->output.size() - connection->sent_bytes, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) return close(connection);
            loop_.update_events(connection->fd.get(), EPOLLOUT);
            return;
        }
        connection->sent_bytes += static_cast<std::size_t>(n);
    }
    if (!connection->output.empty()) finish_response(connection);
}

void HttpServer::finish_response(const ConnectionPtr& connection) {
    connection->output.clear();
    connection->output.shrink_to_fit();
    if (connection->close_after_response) return close(connection);
    loop_.update_events(connection->fd.get(), EPOLLIN);
    connection->begin_phase(Connection::Phase::idle, Loop::now());
    if (connection->input.empty()) return;
    loop_.after(Duration(0), [this, connection] {
        if (connection->fd.valid() && !connection->busy) parse(connection);
    });
}

void HttpServer::close(const ConnectionPtr& connection) {
    if (!connection->fd.valid()) return;
    // The removed handler may hold the last reference to `connection`, so it must not be used afterwards.
    Fd fd = std::move(connection->fd);
    loop_.unwatch(fd.get());
    connections_.erase(fd.get());
    fd.reset();
    resume_accepting();
}

}  // namespace zincdyke
