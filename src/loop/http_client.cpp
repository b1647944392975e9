#include "loop/http_client.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

#include "loop/http_message.h"

namespace zincdyke {
namespace {
constexpr std::size_t read_buffer_bytes = std::size_t{32} * 1024;
constexpr Duration idle_check_interval = std::chrono::seconds(2);

std::string serialize(const std::string& address, const HttpRequest& request) {
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + address + "\r\n";
    if (!request.body.empty() || request.method == "POST") {
        text += "Content-Type: application/json\r\n";
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n" + request.body;
    return text;
}
}  // namespace

struct HttpClient::Call {
    std::string request_text;
    Reply done;
    Loop::TimerId timer = 0;
    std::weak_ptr<Connection> connection;
    bool finished = false;
};

struct HttpClient::Connection {
    explicit Connection(std::size_t max_body) : parser(HttpMessageParser::Kind::response, max_body) {}
    std::string address;
    Fd fd;
    HttpMessageParser parser;
    CallPtr call;
    std::size_t sent_bytes = 0;
    bool connected = false;
    SteadyTime last_used_at{};
};

HttpClient::HttpClient(Loop& loop, ClientLimits limits) : loop_(loop), limits_(limits) {
    close_idle_connections();
}

void HttpClient::request(const std::string& address, const HttpRequest& request, Duration timeout,
                         Reply done) {
    auto call = std::make_shared<Call>();
    call->done = std::move(done);
    call->request_text = serialize(address, request);
    Host& host = hosts_[address];
    if (host.queued_calls.size() >= limits_.max_queued_requests) {
        loop_.after(Duration(0), [this, call] { finish(call, {}); });
        return;
    }
    call->timer = loop_.after(timeout, [this, call] {
        call->timer = 0;
        // Closing the connection prevents a late response from being taken for that of the next request.
        if (const auto connection = call->connection.lock()) close(connection);
        finish(call, {});
    });
    host.queued_calls.push_back(call);
    loop_.after(Duration(0), [this, address] { start_queued_calls(address); });
}

// Assigns queued calls of one address to idle or new connections, as far as the connection limits allow.
void HttpClient::start_queued_calls(const std::string& address) {
    Host& host = hosts_[address];
    while (!host.queued_calls.empty()) {
        if (host.queued_calls.front()->finished) {
            host.queued_calls.pop_front();
            continue;
        }
        const bool any_idle = std::any_of(host.connections.begin(), host.connections.end(),
                                          [](const auto& connection) { return !connection->call; });
        if (!any_idle && !connection_allowed(address)) return;
        const ConnectionPtr connection = find_or_open(address);
        CallPtr call = std::move(host.queued_calls.front());
        host.queued_calls.pop_front();
        if (connection)
            assign_call(connection, std::move(call));
        else
            finish(call, {});
    }
}

// Returns an idle or new connection to the address, or null if a new connection fails immediately.
HttpClient::ConnectionPtr HttpClient::find_or_open(const std::string& address) {
    const std::vector<ConnectionPtr>& connections = hosts_[address].connections;
    auto is_idle = [](const auto& connection) { return !connection->call; };
    auto idle = std::find_if(connections.begin(), connections.end(), is_idle);
    if (idle == connections.end()) {
        open_connection(address);
        idle = std::find_if(connections.begin(), connections.end(), is_idle);
    }
    return idle == connections.end() ? nullptr : *idle;
}

// Returns whether another connection to the address may be opened. If only the limit on all connections
// prevents it, the address is added to the starved addresses.
bool HttpClient::connection_allowed(const std::string& address) {
    if (hosts_[address].connections.size() >= limits_.max_connections_per_address) return false;
    if (open_connections_ < limits_.max_connections || evict_longest_idle()) return true;
    if (std::find(starved_addresses_.begin(), starved_addresses_.end(), address) == starved_addresses_.end())
        starved_addresses_.push_back(address);
    return false;
}

// Closes the connection that has been idle longest, so that unused keep-alive connections do not block
// requests to other addresses. Returns false if no connection is idle.
bool HttpClient::evict_longest_idle() {
    ConnectionPtr longest;
    for (const auto& [address, host] : hosts_)
        for (const auto& connection : host.connections)
            if (!connection->call && (!longest || connection->last_used_at < longest->last_used_at))
                longest = connection;
    if (!longest) return false;
    close(longest);
    return true;
}

void HttpClient::start_calls_of_next_starved() {
    if (starved_addresses_.empty()) return;
    const std::string address = std::move(starved_addresses_.front());
    starved_addresses_.pop_front();
    start_queued_calls(address);
}

void HttpClient::open_connection(const std::string& address) {
    Fd fd = start_connect(address);
    if (!fd.valid()) return;
    auto connection = std::make_shared<Connection>(limits_.max_response_bytes);
    connection->address = address;
    connection->fd = std::move(fd);
    connection->last_used_at = Loop::now();
    hosts_[address].connections.push_back(connection);
    ++open_connections_;
    loop_.watch(connection->fd.get(), EPOLLOUT,
                [this, connection](std::uint32_t events) { on_event(connection, events); });
}

void HttpClient::assign_call(const ConnectionPtr& connection, CallPtr call) {
    connection->call = std::move(call);
    connection->call->connection = connection;
    connection->sent_bytes = 0;
    connection->parser.reset();
    connection->last_used_at = Loop::now();
    if (connection->connected) on_event(connection, EPOLLOUT);
}

void HttpClient::on_event(const ConnectionPtr& connection, std::uint32_t events) {
    if (!connection->fd.valid()) return;
    if ((events & EPOLLERR) != 0) return fail(connection);
    if ((events & EPOLLOUT) != 0) {
        if (!finish_connect(*connection) || !send_request(*connection)) return fail(connection);
        if (connection->call && connection->sent_bytes < connection->call->request_text.size()) return;
    }
    if ((events & (EPOLLIN | EPOLLHUP)) != 0) receive(connection);
}

// Completes a non-blocking connect. Returns false if the connection could not be established.
bool HttpClient::finish_connect(Connection& connection) {
    if (connection.connected) return true;
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(connection.fd.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return false;
    connection.connected = true;
    return true;
}

// Sends as much of the request as the socket accepts. Returns false if the connection is broken.
bool HttpClient::send_request(Connection& connection) {
    while (connection.call && connection.sent_bytes < connection.call->request_text.size()) {
        const std::string_view unsent =
            std::string_view(connection.call->request_text).substr(connection.sent_bytes);
        const ssize_t n = ::send(connection.fd.get(), unsent.data(), unsent.size(), MSG_NOSIGNAL);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) return false;
            loop_.update_events(connection.fd.get(), EPOLLIN | EPOLLOUT);
            return true;
        }
        connection.sent_bytes += static_cast<std::size_t>(n);
    }
    loop_.update_events(connection.fd.get(), EPOLLIN);
    return true;
}

void HttpClient::receive(const ConnectionPtr& connection) {
    std::array<char, read_buffer_bytes> buffer;
    const ssize_t n = ::recv(connection->fd.get(), buffer.data(), buffer.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0 || !connection->call) return fail(connection);
    std::size_t consumed = 0;
    const auto state =
        connection->parser.feed(std::string_view(buffer.data(), static_cast<std::size_t>(n)), consumed);
    if (state == HttpMessageParser::State::partial) return;
    if (state != HttpMessageParser::State::complete) return fail(connection);
    complete(connection);
}

// Passes a complete response to the caller and reuses the connection for the next call if it stays open.
void HttpClient::complete(const ConnectionPtr& connection) {
    const CallPtr call = std::exchange(connection->call, nullptr);
    HttpResponse response{connection->parser.status_code(), std::move(connection->parser.body), -1};
    const bool keep_alive = connection->parser.keep_alive();
    connection->parser.reset();
    connection->last_used_at = Loop::now();
    call->connection.reset();
    if (!keep_alive) close(connection);
    finish(call, std::move(response));
    start_queued_calls(connection->address);
    start_calls_of_next_starved();
}

void HttpClient::fail(const ConnectionPtr& connection) {
    const CallPtr call = connection->call;
    close(connection);
    if (call) finish(call, {});
}

void HttpClient::finish(const CallPtr& call, HttpResponse response) {
    if (call->finished) return;
    call->finished = true;
    if (call->timer != 0) loop_.cancel(call->timer);
    const Reply done = std::move(call->done);
    done(std::move(response));
}

void HttpClient::close(const ConnectionPtr& connection) {
    if (!connection->fd.valid()) return;
    const std::string address = connection->address;
    std::erase(hosts_[address].connections, connection);
    --open_connections_;
    connection->call = nullptr;
    // The removed handler may hold the last reference to `connection`, so it must not be used afterwards.
    const Fd fd = std::move(connection->fd);
    loop_.unwatch(fd.get());
    loop_.after(Duration(0), [this, address] {
        start_queued_calls(address);
        start_calls_of_next_starved();
    });
}

void HttpClient::close_idle_connections() {
    const SteadyTime now = Loop::now();
    std::vector<ConnectionPtr> expired;
    for (const auto& [address, host] : hosts_)
        for (const auto& connection : host.connections)
            if (!connection->call && now - connection->last_used_at > limits_.idle_timeout)
                expired.push_back(connection);
    for (const auto& connection : expired) close(connection);
    std::erase_if(hosts_, [](const auto& entry) {
        return entry.second.connections.empty() && entry.second.queued_calls.empty();
    });
    loop_.after(idle_check_interval, [this] { close_idle_connections(); });
}

}  // namespace zincdyke
