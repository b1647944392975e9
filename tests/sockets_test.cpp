// The real loop, server and client on loopback. Nothing here sleeps: each test ends when what it waits for
// has come.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <list>

#include "loop/http_client.h"
#include "loop/http_server.h"

namespace zincdyke {
namespace {

// A port that is free now.
std::string free_address() {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof a;
    EXPECT_EQ(::bind(fd.get(), reinterpret_cast<sockaddr*>(&a), size), 0);
    EXPECT_EQ(::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&a), &size), 0);
    return "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
}

bool turn_until(Loop& loop, const std::function<bool()>& done) {
    const SteadyTime end = Loop::now() + std::chrono::seconds(20);
    while (!done()) {
        if (Loop::now() > end) return false;
        loop.run_once(millis(20));
    }
    return true;
}

ClientLimits client_limits(std::size_t connections) {
    ClientLimits l;
    l.max_connections = connections;
    return l;
}

// The whole fleet holds its connections to one surviving controller: a health check and a worker are answered
// still, and nobody who is being answered is cut off for it.
TEST(Sockets, FullServerStillAnswersHealthCheckAndWorker) {
    Loop loop;
    const std::string address = free_address();
    ServerLimits limits;
    limits.max_connections = 8;
    limits.min_idle_before_eviction = millis(1);
    Reply slow;
    HttpServer server(loop, address, limits, [&](const HttpRequest& r, const Reply& reply) {
        if (r.path == "/slow")
            slow = reply;
        else
            reply({200, r.path, -1});
    });
    HttpClient busy(loop, client_limits(1));
    HttpResponse late;
    busy.request(address, {"GET", "/slow", ""}, std::chrono::seconds(15),
                 [&](HttpResponse r) { late = std::move(r); });
    ASSERT_TRUE(turn_until(loop, [&] { return slow != nullptr; }));
    std::vector<Fd> idle;
    idle.reserve(12);
    for (int i = 0; i < 12; ++i) idle.push_back(start_connect(address));
    std::list<HttpClient> clients;  // until the loop ends: it holds their timers
    for (const char* path : {"/healthz", "/checkin"}) {
        HttpResponse got;
        clients.emplace_back(loop, client_limits(1))
            .request(address, {"GET", path, ""}, std::chrono::seconds(10),
                     [&](HttpResponse r) { got = std::move(r); });
        EXPECT_TRUE(turn_until(loop, [&] { return got.status != 0; }));
        EXPECT_EQ(got.body, path);
    }
    slow({200, "at last", -1});
    EXPECT_TRUE(turn_until(loop, [&] { return late.status != 0; }));
    EXPECT_EQ(late.body, "at last");
}

// More workers to be told of a new term than there are connections: those kept alive to the ones already told
// make room, and silent ones cost only their own time-out.
TEST(Sockets, MoreWorkersThanConnectionsAreAllReached) {
    Loop loop;
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<HttpServer>> servers;
    for (int i = 0; i < 20; ++i) {
        addresses.push_back(free_address());
        servers.push_back(std::make_unique<HttpServer>(loop, addresses.back(), ServerLimits(),
                                                       [](const HttpRequest&, const Reply& reply) {
                                                           reply({200, "", -1});
                                                       }));
    }
    const std::string silent = free_address();
    HttpServer mute(loop, silent, ServerLimits(), [](const HttpRequest&, const Reply&) {});
    HttpClient client(loop, client_limits(4));
    int told = 0, given_up = 0;
    const SteadyTime began = Loop::now();
    for (int i = 0; i < 3; ++i)
        client.request(silent, {"POST", "/commands", "{}"}, millis(200),
                       [&](const HttpResponse& r) { given_up += r.status == 0 ? 1 : 0; });
    for (const auto& a : addresses)
        client.request(a, {"POST", "/commands", "{}"}, std::chrono::seconds(10),
                       [&](const HttpResponse& r) { told += r.status == 200 ? 1 : 0; });
    EXPECT_TRUE(turn_until(loop, [&] { return told == 20; }));
    EXPECT_LT(loop.now() - began,
              std::chrono::seconds(8));  // a kept-alive connection is closed only after 20 s
    EXPECT_TRUE(turn_until(loop, [&] { return given_up == 3; }));
}

// A body over the limit is refused by its announced length; a half-sent request and an idle connection are
// closed in time.
TEST(Sockets, UnfinishedRequestsAndIdleConnectionsAreClosed) {
    Loop loop;
    const std::string address = free_address();
    ServerLimits limits;
    limits.idle_timeout = limits.request_timeout = millis(50);
    HttpServer server(loop, address, limits, [](const HttpRequest&, const Reply& reply) {
        reply({200, "", -1});
    });
    auto ends = [&](const std::string& text) {
        Fd fd = start_connect(address);
        std::string got;
        bool sent = false, closed = false;
        loop.watch(fd.get(), EPOLLIN | EPOLLOUT, [&](std::uint32_t) {
            if (!std::exchange(sent, true)) {
                EXPECT_EQ(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL),
                          static_cast<ssize_t>(text.size()));
                loop.update_events(fd.get(), EPOLLIN);
                return;
            }
            char buf[512];
            const ssize_t n = ::recv(fd.get(), buf, sizeof buf, 0);
            if (n > 0) got.append(buf, static_cast<std::size_t>(n));
            closed = n == 0 || (n < 0 && errno == ECONNRESET);
        });
        EXPECT_TRUE(turn_until(loop, [&] { return closed; }));
        loop.unwatch(fd.get());
        return got;
    };
    EXPECT_EQ(ends("POST /api/jobs HTTP/1.1\r\nContent-Length: 70000\r\n\r\n").substr(0, 12), "HTTP/1.1 413");
    EXPECT_EQ(ends("POST /api/jobs HTTP/1.1\r\nContent-Length: 7\r\n\r\nhal"), "");
    EXPECT_EQ(ends(""), "");
}

}  // namespace
}  // namespace zincdyke
