/// Asynchronous HTTP/1.1 client on the event loop, for requests to the key-value store, the cloud and
/// workers.
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

/// Limits on the connections, queues and responses of an HttpClient.
struct ClientLimits {
    std::size_t max_connections_per_address = 12;
    /// Maximum number of open connections to all addresses together.
    std::size_t max_connections = 128;
    /// Maximum number of requests to one address that wait for a connection; further requests fail.
    std::size_t max_queued_requests = 512;
    /// Maximum size of a response's body; a larger response counts as a failed request.
    std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
    /// Time after which an unused connection is closed.
    Duration idle_timeout = std::chrono::seconds(20);
};

/// Sends HTTP requests over a pool of keep-alive connections with a limited size. `loop` must outlive the
/// client. The key-value store, the cloud and the workers each have a client of their own, so that workers
/// that do not respond cannot delay lease renewals or commits.
class HttpClient {
  public:
    HttpClient(Loop& loop, ClientLimits limits);

    /// Sends a request and calls `done` exactly once, from the event loop: with the response, or with status
    /// 0 if the request failed or no response arrived within `timeout`.
    void request(const std::string& address, const HttpRequest& request, Duration timeout, Reply done);

  private:
    struct Call;
    struct Connection;
    using CallPtr = std::shared_ptr<Call>;
    using ConnectionPtr = std::shared_ptr<Connection>;
    // The queued requests and the open connections of one address.
    struct Host {
        std::deque<CallPtr> queued_calls;
        std::vector<ConnectionPtr> connections;
    };

    void start_queued_calls(const std::string& address);
    ConnectionPtr find_or_open(const std::string& address);
    bool connection_allowed(const std::string& address);
    bool evict_longest_idle();
    void start_calls_of_next_starved();
    void open_connection(const std::string& address);
    void assign_call(const ConnectionPtr& connection, CallPtr call);
    void on_event(const ConnectionPtr& connection, std::uint32_t events);
    static bool finish_connect(Connection& connection);
    bool send_request(Connection& connection);
    void receive(const ConnectionPtr& connection);
    void complete(const ConnectionPtr& connection);
    void fail(const ConnectionPtr& connection);
    void finish(const CallPtr& call, HttpResponse response);
    void close(const ConnectionPtr& connection);
    void close_idle_connections();

    Loop& loop_;
    ClientLimits limits_;
    std::size_t open_connections_ = 0;
    std::unordered_map<std::string, Host> hosts_;
    std::deque<std::string> starved_addresses_;  // addresses that wait until the pool has a free connection
};

}  // namespace zincdyke
