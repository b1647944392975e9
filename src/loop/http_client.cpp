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
constexpr Duration sweep_interval = std::chrono::seconds(2);

std::string serialize(const std::string& address, const HttpRequest& req) {
    std::string text = req.method + " " + req.path + " HTTP/1.1\r\nHost: " + address + "\r\n";
    if (!req.body.empty() || req.method == "POST") {
        text += "Content-Type: application/json\r\n";
        text += "Content-Length: " + std::to_string(req.body.size()) + "\r\n";
    }
    text += "\r\n" + req.body;
    return text;
}
}  // namespace

struct HttpClient::Call {
    std::string text;
    Reply done;
    Loop::TimerId timer = 0;
    std::weak_ptr<Connection> connection;
    bool over = false;
};

struct HttpClient::Connection {
    explicit Connection(std::size_t max_body) : parser(HttpMessageParser::Kind::response, max_body) {}
    std::string address;
    Fd fd;
    HttpMessageParser parser;
    CallPtr call;
    std::size_t sent = 0;
    bool connected = false;
    SteadyTime since{};
};

HttpClient::HttpClient(Loop& loop, ClientLimits limits) : loop_(loop), limits_(limits) { sweep(); }

void HttpClient::request(const std::string& address, const HttpRequest& req, Duration timeout, Reply done) {
    auto call = std::make_shared<Call>();
    call->done = std::move(done);
    call->text = serialize(address, req);
    Host& host = hosts_[address];
    if (host.waiting.size() >= limits_.max_queued_requests) {
        loop_.after(Duration(0), [this, call] { finish(call, {}); });
        return;
    }
    call->timer = loop_.after(timeout, [this, call] {
        call->timer = 0;
        // Its late answer must not meet the next request.
        if (const auto c = call->connection.lock()) drop(c);
        finish(call, {});
    });
    host.waiting.push_back(call);
    loop_.after(Duration(0), [this, address] { pump(address); });
}

// Gives waiting calls of one address to idle or new connections, as far as the limits allow.
void HttpClient::pump(const std::string& address) {
    Host& host = hosts_[address];
    while (!host.waiting.empty()) {
        if (host.waiting.front()->over) {
            host.waiting.pop_front();
            continue;
        }
        const bool any_idle =
            std::any_of(host.open.begin(), host.open.end(), [](const auto& c) { return !c->call; });
        if (!any_idle && !connection_allowed(address)) return;
        const ConnectionPtr c = find_or_open(address);
        CallPtr call = std::move(host.waiting.front());
        host.waiting.pop_front();
        if (c)
            assign(c, std::move(call));
        else
            finish(call, {});
    }
}

// An idle connection to the address, or a new one; nothing when connecting fails at once.
HttpClient::ConnectionPtr HttpClient::find_or_open(const std::string& address) {
    const std::vector<ConnectionPtr>& connections = hosts_[address].open;
    auto is_idle = [](const auto& c) { return !c->call; };
    auto idle = std::find_if(connections.begin(), connections.end(), is_idle);
    if (idle == connections.end()) {
        open(address);
        idle = std::find_if(connections.begin(), connections.end(), is_idle);
    }
    return idle == connections.end() ? nullptr : *idle;
}

// Whether the address may get another connection. If only the total stands against it, it is noted as
// starved.
bool HttpClient::connection_allowed(const std::string& address) {
    if (hosts_[address].open.size() >= limits_.max_connections_per_address) return false;
    if (open_connections_ < limits_.max_connections || evict_idle()) return true;
    if (std::find(starved_.begin(), starved_.end(), address) == starved_.end()) starved_.push_back(address);
    return false;
}

// Kept-alive connections to those already told must not keep the others from being told.
bool HttpClient::evict_idle() {
    ConnectionPtr longest;
    for (const auto& [address, host] : hosts_)
        for (const auto& c : host.open)
            if (!c->call && (!longest || c->since < longest->since)) longest = c;
    if (!longest) return false;
    drop(longest);
    return true;
}

void HttpClient::pump_next_starved() {
    if (starved_.empty()) return;
    const std::string address = std::move(starved_.front());
    starved_.pop_front();
    pump(address);
}

void HttpClient::open(const std::string& address) {
    Fd fd = start_connect(address);
    if (!fd.valid()) return;
    auto c = std::make_shared<Connection>(limits_.max_response_bytes);
    c->address = address;
    c->fd = std::move(fd);
    c->since = Loop::now();
    hosts_[address].open.push_back(c);
    ++open_connections_;
    loop_.watch(c->fd.get(), EPOLLOUT, [this, c](std::uint32_t events) { on_event(c, events); });
}

void HttpClient::assign(const ConnectionPtr& c, CallPtr call) {
    c->call = std::move(call);
    c->call->connection = c;
    c->sent = 0;
    c->parser.reset();
    c->since = Loop::now();
    if (c->connected) on_event(c, EPOLLOUT);
}

void HttpClient::on_event(const ConnectionPtr& c, std::uint32_t events) {
    if (!c->fd.valid()) return;
    if ((events & EPOLLERR) != 0) return fail(c);
    if ((events & EPOLLOUT) != 0) {
        if (!finish_connect(*c) || !send_request(*c)) return fail(c);
        if (c->call && c->sent < c->call->text.size()) return;
    }
    if ((events & (EPOLLIN | EPOLLHUP)) != 0) receive(c);
}

// False when the connection could not be established.
bool HttpClient::finish_connect(Connection& c) {
    if (c.connected) return true;
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(c.fd.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) return false;
    c.connected = true;
    return true;
}

// Sends as much as the socket takes; false when the connection is broken.
bool HttpClient::send_request(Connection& c) {
    while (c.call && c.sent < c.call->text.size()) {
        const std::string_view rest = std::string_view(c.call->text).substr(c.sent);
        const ssize_t n = ::send(c.fd.get(), rest.data(), rest.size(), MSG_NOSIGNAL);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) return false;
            loop_.update_events(c.fd.get(), EPOLLIN | EPOLLOUT);
            return true;
        }
        c.sent += static_cast<std::size_t>(n);
    }
    loop_.update_events(c.fd.get(), EPOLLIN);
    return true;
}

void HttpClient::receive(const ConnectionPtr& c) {
    std::array<char, read_buffer_bytes> buffer;
    const ssize_t n = ::recv(c->fd.get(), buffer.data(), buffer.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0 || !c->call) return fail(c);
    std::size_t used = 0;
    const auto state = c->parser.feed(std::string_view(buffer.data(), static_cast<std::size_t>(n)), used);
    if (state == HttpMessageParser::State::partial) return;
    if (state != HttpMessageParser::State::complete) return fail(c);
    complete(c);
}

// Hands a whole response to the caller and the connection to the next call.
void HttpClient::complete(const ConnectionPtr& c) {
    const CallPtr call = std::exchange(c->call, nullptr);
    HttpResponse response{c->parser.status(), std::move(c->parser.body), -1};
    const bool keep_alive = c->parser.keep_alive();
    c->parser.reset();
    c->since = Loop::now();
    call->connection.reset();
    if (!keep_alive) drop(c);
    finish(call, std::move(response));
    pump(c->address);
    pump_next_starved();
}

void HttpClient::fail(const ConnectionPtr& c) {
    const CallPtr call = c->call;
    drop(c);
    if (call) finish(call, {});
}

void HttpClient::finish(const CallPtr& call, HttpResponse r) {
    if (call->over) return;
    call->over = true;
    if (call->timer != 0) loop_.cancel(call->timer);
    const Reply done = std::move(call->done);
    done(std::move(r));
}

void HttpClient::drop(const ConnectionPtr& c) {
    if (!c->fd.valid()) return;
    const std::string address = c->address;
    std::erase(hosts_[address].open, c);
    --open_connections_;
    c->call = nullptr;
    // Nothing of `c` is used from here on: what is forgotten may have owned it.
    const Fd fd = std::move(c->fd);
    loop_.unwatch(fd.get());
    loop_.after(Duration(0), [this, address] {
        pump(address);
        pump_next_starved();
    });
}

void HttpClient::sweep() {
    const SteadyTime now = Loop::now();
    std::vector<ConnectionPtr> late;
    for (const auto& [address, host] : hosts_)
        for (const auto& c : host.open)
            if (!c->call && now - c->since > limits_.idle_timeout) late.push_back(c);
    for (const auto& c : late) drop(c);
    std::erase_if(hosts_, [](const auto& h) { return h.second.open.empty() && h.second.waiting.empty(); });
    loop_.after(sweep_interval, [this] { sweep(); });
}

}  // namespace zincdyke
