/// HTTP/1.1 server on the event loop, for requests of users and workers.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/env.h"
#include "loop/loop.h"

namespace zincdyke {

/// Limits on the connections of an HttpServer.
struct ServerLimits {
    std::size_t max_connections = 256;
    /// Time for which a connection must be idle before it may be closed in favor of a new connection. Applies
    /// only while the maximum number of connections is open.
    Duration min_idle_before_eviction = std::chrono::seconds(1);
    /// Time after which a connection without a request is closed.
    Duration idle_timeout = std::chrono::seconds(90);
    /// Maximum time from the first byte of a request to its last byte.
    Duration request_timeout = std::chrono::seconds(5);
    /// Maximum time for sending a response; guards against clients that stop reading.
    Duration write_timeout = std::chrono::seconds(10);
};

/// Accepts connections on one address and passes each request to a handler, one request at a time per
/// connection. `loop` must outlive the server.
class HttpServer {
  public:
    /// Handles one request. The handler may call the reply callback immediately or later from the event loop;
    /// a second call is ignored.
    using Handler = std::function<void(HttpRequest, Reply)>;

    /// Listens on `address`. Throws std::runtime_error on failure.
    HttpServer(Loop& loop, const std::string& address, ServerLimits limits, Handler handler);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

  private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept_connections();
    void add_connection(Fd fd);
    void pause_accepting();
    void resume_accepting();
    bool evict_longest_idle();
    Duration phase_timeout(const Connection& connection) const;
    void close_timed_out();
    void on_event(const ConnectionPtr& connection, std::uint32_t events);
    void read(const ConnectionPtr& connection);
    void parse(const ConnectionPtr& connection);
    void handle(const ConnectionPtr& connection);
    void respond(const ConnectionPtr& connection, const HttpResponse& response, bool keep_alive);
    void flush(const ConnectionPtr& connection);
    void finish_response(const ConnectionPtr& connection);
    void close(const ConnectionPtr& connection);

    Loop& loop_;
    ServerLimits limits_;
    Handler handler_;
    Fd listener_;
    bool accepting_paused_ = false;
    std::unordered_map<int, ConnectionPtr> connections_;
};

}  // namespace zincdyke
