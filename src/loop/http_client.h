/// HTTP/1.1 client on the event loop, for the key-value store, the cloud and workers.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/env.h"
#include "loop/loop.h"

namespace zincdyke {

/// Bounds on the connections, queues and responses of an HttpClient.
struct ClientLimits {
    std::size_t max_connections_per_address = 12;
    std::size_t max_connections = 128;
    /// Requests waiting for one address.
    std::size_t max_queued_requests = 512;
    /// Bytes of one response's body.
    std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
    Duration idle_timeout = std::chrono::seconds(20);
};

/// Requests of one kind over a bounded pool of kept-alive connections.
///
/// State service, cloud and workers have a client each, so that hundreds of silent workers never keep a
/// lease's renewal or a commit waiting.
class HttpClient {
  public:
    HttpClient(Loop& loop, ClientLimits limits);

    /// Sends a request and calls `done` exactly once, from the loop: with the response, or with status 0 when
    /// there is none within `timeout`.
    void request(const std::string& address, const HttpRequest& req, Duration timeout, Reply done);

  private:
    struct Call;
    struct Connection;
    using CallPtr = std::shared_ptr<Call>;
    using ConnectionPtr = std::shared_ptr<Connection>;
    struct Host {
        std::deque<CallPtr> waiting;
        std::vector<ConnectionPtr> open;
    };

    void pump(const std::string& address);
    ConnectionPtr find_or_open(const std::string& address);
    bool connection_allowed(const std::string& address);
    bool evict_idle();
    void pump_next_starved();
    void open(const std::string& address);
    void assign(const ConnectionPtr& c, CallPtr call);
    void on_event(const ConnectionPtr& c, std::uint32_t events);
    static bool finish_connect(Connection& c);
    bool send_request(Connection& c);
    void receive(const ConnectionPtr& c);
    void complete(const ConnectionPtr& c);
    void fail(const ConnectionPtr& c);
    void finish(const CallPtr& call, HttpResponse r);
    void drop(const ConnectionPtr& c);
    void sweep();

    Loop& loop_;
    ClientLimits limits_;
    std::size_t open_connections_ = 0;
    std::unordered_map<std::string, Host> hosts_;
    std::deque<std::string> starved_;  // addresses whose calls wait for any connection to close
};

}  // namespace zincdyke
