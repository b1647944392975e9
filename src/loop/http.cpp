#include "loop/http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "base/log.h"

namespace zd {

// ---- parser ----

HttpMessageParser::HttpMessageParser(bool requests, std::size_t most_body)
    : requests_(requests), most_body_(most_body) {
    reset();
}

void HttpMessageParser::reset() {
    http_parser_init(&parser_, requests_ ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    method.clear();
    target.clear();
    body.clear();
    started_ = done_ = too_large_ = false;
    keep_alive_ = true;
    status_ = 0;
    head_ = 0;
}

http_parser_settings HttpMessageParser::callbacks() {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_url = [](http_parser* p, const char* at, std::size_t n) {
        auto* self = static_cast<HttpMessageParser*>(p->data);
        if (self->target.size() + n > max_request_head) return 1;
        self->target.append(at, n);
        return 0;
    };
    s.on_headers_complete = [](http_parser* p) {
        auto* self = static_cast<HttpMessageParser*>(p->data);
        // Refuse before the body is read when its length is announced.
        if (p->content_length != ULLONG_MAX && p->content_length > self->most_body_) {
            self->too_large_ = true;
            return -1;
        }
        return 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t n) {
        auto* self = static_cast<HttpMessageParser*>(p->data);
        if (self->body.size() + n > self->most_body_) {
            self->too_large_ = true;
            return 1;
        }
        self->body.append(at, n);
        return 0;
    };
    s.on_message_complete = [](http_parser* p) {
        auto* self = static_cast<HttpMessageParser*>(p->data);
        self->done_ = true;
        self->keep_alive_ = http_should_keep_alive(p) != 0;
        self->status_ = static_cast<int>(p->status_code);
        if (self->requests_) self->method = http_method_str(static_cast<http_method>(p->method));
        http_parser_pause(p, 1);
        return 0;
    };
    return s;
}

HttpMessageParser::State HttpMessageParser::feed(std::string_view data, std::size_t& used) {
    static const http_parser_settings settings = callbacks();
    if (data.empty()) {
        used = 0;
        return State::partial;
    }
    started_ = true;
    used = http_parser_execute(&parser_, &settings, data.data(), data.size());
    if (too_large_) return State::too_large;
    if (done_) return State::complete;
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0) return State::broken;
    if (body.empty()) {
        head_ += used;
        // A header that never ends must not hold memory.
        if (requests_ && head_ > max_request_head + max_request_body) return State::too_large;
    }
    return State::partial;
}

// ---- server ----

struct HttpServer::Connection {
    Fd fd;
    HttpMessageParser parser{true, max_request_body};
    std::string in, out;
    std::size_t sent = 0;
    bool busy = false, closing = false;
    Mono since{};  // start of the present wait: idle, reading a request, or writing
    enum class Wait { idle, reading, handling, writing } wait = Wait::idle;
};

HttpServer::HttpServer(Loop& loop, const std::string& address, ServerLimits limits, Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)), listener_(listen_on(address)) {
    loop_.watch(listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
    sweep();
}

HttpServer::~HttpServer() { loop_.forget(listener_.get()); }

void HttpServer::accept_all() {
    for (int i = 0; i < 64; ++i) {
        if (connections_.size() >= limits_.connections && !make_room()) {
            // Full of busy ones: the rest stays in the backlog, for others to be tried by the load balancer.
            loop_.change(listener_.get(), 0);
            paused_ = true;
            return;
        }
        Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd.valid()) {
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ECONNABORTED && errno != EINTR) {
                // Out of sockets: without a pause the ready listener would spin the loop.
                loop_.change(listener_.get(), 0);
                paused_ = true;
            }
            return;
        }
        int one = 1;
        ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        auto c = std::make_shared<Connection>();
        int raw = fd.get();
        c->fd = std::move(fd);
        c->since = loop_.now();
        connections_[raw] = c;
        loop_.watch(raw, EPOLLIN, [this, c](std::uint32_t ev) { on_event(c, ev); });
    }
}

// The whole fleet may come to one surviving controller. Whoever is idle longest makes room, so that neither a
// worker's report nor a health check is kept waiting by connections that nobody uses.
bool HttpServer::make_room() {
    std::shared_ptr<Connection> longest;
    for (const auto& [fd, c] : connections_)
        if (c->wait == Connection::Wait::idle && (!longest || c->since < longest->since)) longest = c;
    if (!longest || loop_.now() - longest->since < limits_.evict_after) return false;
    close(longest);
    return true;
}

void HttpServer::resume() {
    if (!paused_ || connections_.size() >= limits_.connections) return;
    paused_ = false;
    loop_.change(listener_.get(), EPOLLIN);
}

void HttpServer::sweep() {
    Mono now = loop_.now();
    std::vector<std::shared_ptr<Connection>> late;
    for (auto& [fd, c] : connections_) {
        Duration most = c->wait == Connection::Wait::idle      ? limits_.idle
                        : c->wait == Connection::Wait::reading ? limits_.request
                        : c->wait == Connection::Wait::writing ? limits_.write
                                                               : std::chrono::seconds(30);
        if (now - c->since > most) late.push_back(c);
    }
    for (auto& c : late) close(c);
    // One that was busy or fresh may have become idle long enough meanwhile.
    if (paused_ && connections_.size() >= limits_.connections) make_room();
    resume();
    loop_.after(millis(250), [this] { sweep(); });
}

void HttpServer::on_event(const std::shared_ptr<Connection>& c, std::uint32_t events) {
    if (!c->fd.valid()) return;
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) return close(c);
    if ((events & EPOLLOUT) != 0) flush(c);
    if (c->fd.valid() && (events & EPOLLIN) != 0) read(c);
}

void HttpServer::read(const std::shared_ptr<Connection>& c) {
    char buf[16 * 1024];
    ssize_t n = ::recv(c->fd.get(), buf, sizeof buf, 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) return close(c);
    if (n < 0) return;
    c->in.append(buf, static_cast<std::size_t>(n));
    // Requests are never pipelined: whoever sends much more than one at a time is cut off.
    if (c->in.size() > max_request_head + max_request_body + sizeof buf) return close(c);
    if (!c->busy) parse(c);
}

void HttpServer::parse(const std::shared_ptr<Connection>& c) {
    if (c->in.empty()) return;
    std::size_t used = 0;
    if (c->wait == Connection::Wait::idle) {
        c->wait = Connection::Wait::reading;
        c->since = loop_.now();
    }
    auto state = c->parser.feed(c->in, used);
    c->in.erase(0, std::min(used, c->in.size()));
    switch (state) {
        case HttpMessageParser::State::partial:
            return;
        case HttpMessageParser::State::broken:
            return respond(c, {400, R"({"error":"malformed request"})", -1}, false);
        case HttpMessageParser::State::too_large:
            return respond(c, {413, R"({"error":"body over 64 KiB"})", -1}, false);
        case HttpMessageParser::State::complete:
            break;
    }
    c->busy = true;
    c->wait = Connection::Wait::handling;
    c->since = loop_.now();
    bool keep = c->parser.keep_alive();
    HttpRequest req{c->parser.method, c->parser.target, std::move(c->parser.body)};
    c->parser.reset();
    std::weak_ptr<Connection> weak = c;
    handler_(std::move(req), [this, weak, keep](HttpResponse r) {
        auto conn = weak.lock();
        // The asker may be gone by now, and an answer is given once.
        if (!conn || !conn->fd.valid() || !conn->busy) return;
        respond(conn, r, keep);
    });
}

namespace {
const char* reason(int status) {
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
}  // namespace

void HttpServer::respond(const std::shared_ptr<Connection>& c, const HttpResponse& r, bool keep) {
    c->busy = false;
    c->closing = !keep;
    std::string& o = c->out;
    o = "HTTP/1.1 " + std::to_string(r.status) + " " + reason(r.status) +
        "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(r.body.size()) + "\r\n";
    if (r.retry_after_s >= 0) o += "Retry-After: " + std::to_string(r.retry_after_s) + "\r\n";
    if (!keep) o += "Connection: close\r\n";
    o += "\r\n";
    o += r.body;
    c->sent = 0;
    c->wait = Connection::Wait::writing;
    c->since = loop_.now();
    flush(c);
}

void HttpServer::flush(const std::shared_ptr<Connection>& c) {
    while (c->sent < c->out.size()) {
        ssize_t n = ::send(c->fd.get(), c->out.data() + c->sent, c->out.size() - c->sent, MSG_NOSIGNAL);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) return close(c);
            loop_.change(c->fd.get(), EPOLLOUT);
            return;
        }
        c->sent += static_cast<std::size_t>(n);
    }
    if (c->out.empty()) return;
    c->out.clear();
    c->out.shrink_to_fit();
    if (c->closing) return close(c);
    loop_.change(c->fd.get(), EPOLLIN);
    c->wait = Connection::Wait::idle;
    c->since = loop_.now();
    if (!c->in.empty())
        loop_.after(Duration(0), [this, c] {
            if (c->fd.valid() && !c->busy) parse(c);
        });
}

void HttpServer::close(const std::shared_ptr<Connection>& c) {
    if (!c->fd.valid()) return;
    int raw = c->fd.get();
    loop_.forget(raw);
    auto keep = c;
    connections_.erase(raw);
    keep->fd.reset();
    resume();
}

// ---- client ----

struct HttpClient::Call {
    std::string address, text;
    Reply done;
    Loop::TimerId timer = 0;
    std::weak_ptr<Connection> on;
    bool over = false;
};

struct HttpClient::Connection {
    explicit Connection(std::size_t most) : parser(false, most) {}
    std::string address;
    Fd fd;
    HttpMessageParser parser;
    std::shared_ptr<Call> call;
    std::size_t sent = 0;
    bool connected = false;
    Mono since{};
};

HttpClient::HttpClient(Loop& loop, ClientLimits limits) : loop_(loop), limits_(limits) { sweep(); }

void HttpClient::request(const std::string& address, HttpRequest req, Duration timeout, Reply done) {
    auto call = std::make_shared<Call>();
    call->address = address;
    call->done = std::move(done);
    call->text = req.method + " " + req.path + " HTTP/1.1\r\nHost: " + address + "\r\n";
    if (!req.body.empty() || req.method == "POST")
        call->text +=
            "Content-Type: application/json\r\nContent-Length: " + std::to_string(req.body.size()) + "\r\n";
    call->text += "\r\n" + req.body;
    Host& host = hosts_[address];
    if (host.waiting.size() >= limits_.queue) {
        loop_.after(Duration(0), [this, call] { finish(call, {}); });
        return;
    }
    call->timer = loop_.after(timeout, [this, call] {
        call->timer = 0;
        if (auto c = call->on.lock()) drop(c);  // its late answer must not meet the next request
        finish(call, {});
    });
    host.waiting.push_back(call);
    loop_.after(Duration(0), [this, address] { pump(address); });
}

void HttpClient::pump(const std::string& address) {
    Host& host = hosts_[address];
    while (!host.waiting.empty()) {
        if (host.waiting.front()->over) {
            host.waiting.pop_front();
            continue;
        }
        auto free = std::find_if(host.open.begin(), host.open.end(), [](const auto& c) { return !c->call; });
        if (free == host.open.end()) {
            if (host.open.size() >= limits_.per_address) return;
            if (total_ >= limits_.connections && !make_room()) {
                if (std::find(hungry_.begin(), hungry_.end(), address) == hungry_.end())
                    hungry_.push_back(address);
                return;
            }
            open(address);
            free = std::find_if(host.open.begin(), host.open.end(), [](const auto& c) { return !c->call; });
            if (free == host.open.end()) {
                auto call = host.waiting.front();
                host.waiting.pop_front();
                finish(call, {});
                continue;
            }
        }
        auto call = host.waiting.front();
        host.waiting.pop_front();
        assign(*free, std::move(call));
    }
}

// Kept-alive connections to those already told must not keep the others from being told.
bool HttpClient::make_room() {
    std::shared_ptr<Connection> longest;
    for (const auto& [address, host] : hosts_)
        for (const auto& c : host.open)
            if (!c->call && (!longest || c->since < longest->since)) longest = c;
    if (!longest) return false;
    drop(longest);
    return true;
}

void HttpClient::feed_hungry() {
    if (hungry_.empty()) return;
    const std::string address = std::move(hungry_.front());
    hungry_.pop_front();
    pump(address);
}

void HttpClient::open(const std::string& address) {
    Fd fd = start_connect(address);
    if (!fd.valid()) return;
    auto c = std::make_shared<Connection>(limits_.response);
    c->address = address;
    c->fd = std::move(fd);
    c->since = loop_.now();
    hosts_[address].open.push_back(c);
    ++total_;
    loop_.watch(c->fd.get(), EPOLLOUT, [this, c](std::uint32_t ev) { on_event(c, ev); });
}

void HttpClient::assign(const std::shared_ptr<Connection>& c, std::shared_ptr<Call> call) {
    c->call = std::move(call);
    c->call->on = c;
    c->sent = 0;
    c->parser.reset();
    c->since = loop_.now();
    if (c->connected) on_event(c, EPOLLOUT);
}

void HttpClient::on_event(const std::shared_ptr<Connection>& c, std::uint32_t events) {
    if (!c->fd.valid()) return;
    auto fail = [&] {
        auto call = c->call;
        drop(c);
        if (call) finish(call, {});
    };
    if ((events & EPOLLERR) != 0) return fail();
    if ((events & EPOLLOUT) != 0) {
        if (!c->connected) {
            int err = 0;
            socklen_t len = sizeof err;
            if (::getsockopt(c->fd.get(), SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err != 0) return fail();
            c->connected = true;
        }
        while (c->call && c->sent < c->call->text.size()) {
            ssize_t n = ::send(c->fd.get(), c->call->text.data() + c->sent, c->call->text.size() - c->sent,
                               MSG_NOSIGNAL);
            if (n < 0) {
                if (errno != EAGAIN && errno != EINTR) return fail();
                loop_.change(c->fd.get(), EPOLLIN | EPOLLOUT);
                return;
            }
            c->sent += static_cast<std::size_t>(n);
        }
        loop_.change(c->fd.get(), EPOLLIN);
    }
    if ((events & (EPOLLIN | EPOLLHUP)) == 0) return;
    char buf[32 * 1024];
    ssize_t n = ::recv(c->fd.get(), buf, sizeof buf, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0 || !c->call) return fail();
    std::size_t used = 0;
    auto state = c->parser.feed(std::string_view(buf, static_cast<std::size_t>(n)), used);
    if (state == HttpMessageParser::State::partial) return;
    if (state != HttpMessageParser::State::complete) return fail();
    auto call = std::exchange(c->call, nullptr);
    HttpResponse r{c->parser.status(), std::move(c->parser.body), -1};
    bool keep = c->parser.keep_alive();
    c->parser.reset();
    c->since = loop_.now();
    call->on.reset();
    if (!keep) drop(c);
    finish(call, std::move(r));
    pump(c->address);
    feed_hungry();
}

void HttpClient::finish(const std::shared_ptr<Call>& call, HttpResponse r) {
    if (call->over) return;
    call->over = true;
    if (call->timer != 0) loop_.cancel(call->timer);
    auto done = std::move(call->done);
    done(std::move(r));
}

void HttpClient::drop(const std::shared_ptr<Connection>& c) {
    if (!c->fd.valid()) return;
    auto keep = c;
    loop_.forget(c->fd.get());
    auto& open = hosts_[c->address].open;
    std::erase(open, c);
    --total_;
    keep->fd.reset();
    keep->call = nullptr;
    loop_.after(Duration(0), [this, address = keep->address] {
        pump(address);
        feed_hungry();
    });
}

void HttpClient::sweep() {
    Mono now = loop_.now();
    std::vector<std::shared_ptr<Connection>> late;
    for (auto& [address, host] : hosts_)
        for (auto& c : host.open)
            if (!c->call && now - c->since > limits_.idle) late.push_back(c);
    for (auto& c : late) drop(c);
    std::erase_if(hosts_, [](const auto& h) { return h.second.open.empty() && h.second.waiting.empty(); });
    loop_.after(std::chrono::seconds(2), [this] { sweep(); });
}

}  // namespace zd
