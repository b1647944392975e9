/// HTTP/1.1 server on the event loop, for users and workers.
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

/// Bounds on what peers may hold of an HttpServer.
struct ServerLimits {
    std::size_t max_connections = 256;
    /// When the server is full, a connection idle for so long makes room for a newcomer.
    Duration min_idle_before_eviction = std::chrono::seconds(1);
    Duration idle_timeout = std::chrono::seconds(90);
    /// From the first byte of a request to its last.
    Duration request_timeout = std::chrono::seconds(5);
    /// For a peer that stops reading.
    Duration write_timeout = std::chrono::seconds(10);
};

/// Accepts connections on one address and passes each request to a handler, one at a time per connection.
class HttpServer {
  public:
    /// Handles one request. The reply may be given later, from the loop; a second one is ignored.
    using Handler = std::function<void(HttpRequest, Reply)>;

    /// Listens on `address`; throws std::runtime_error when it cannot.
    HttpServer(Loop& loop, const std::string& address, ServerLimits limits, Handler handler);
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;
    ~HttpServer();

  private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept_all();
    void add_connection(Fd fd);
    void pause_accepting();
    void resume_accepting();
    bool evict_idle();
    Duration wait_limit(const Connection& c) const;
    void sweep();
    void on_event(const ConnectionPtr& c, std::uint32_t events);
    void read(const ConnectionPtr& c);
    void parse(const ConnectionPtr& c);
    void handle(const ConnectionPtr& c);
    void respond(const ConnectionPtr& c, const HttpResponse& r, bool keep_alive);
    void flush(const ConnectionPtr& c);
    void finish_response(const ConnectionPtr& c);
    void close(const ConnectionPtr& c);

    Loop& loop_;
    ServerLimits limits_;
    Handler handler_;
    Fd listener_;
    bool accepting_paused_ = false;
    std::unordered_map<int, ConnectionPtr> connections_;
};

}  // namespace zincdyke
