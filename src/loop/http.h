// HTTP/1.1 on the loop: a server for users and workers, a client for state service, cloud and workers.
#pragma once
#include <http_parser.h>

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/env.h"
#include "loop/loop.h"

namespace zd {

constexpr std::size_t max_request_body = 64 * 1024;
constexpr std::size_t max_request_head = 8 * 1024;

// Incremental parser of one side of a connection, over http-parser; no sockets in it.
class HttpMessageParser {
  public:
    HttpMessageParser(bool requests, std::size_t most_body);
    enum class State { partial, complete, too_large, broken };
    // Consumes bytes up to the end of one message; `used` says how many.
    State feed(std::string_view data, std::size_t& used);
    void reset();
    bool started() const { return started_; }
    bool keep_alive() const { return keep_alive_; }
    int status() const { return status_; }
    std::string method, target, body;

  private:
    static http_parser_settings callbacks();
    http_parser parser_{};
    bool requests_, started_ = false, keep_alive_ = true, done_ = false, too_large_ = false;
    int status_ = 0;
    std::size_t most_body_, head_ = 0;
};

struct ServerLimits {
    std::size_t connections = 256;
    Duration evict_after =
        std::chrono::seconds(1);  // when full, one idle for so long makes room for a newcomer
    Duration idle = std::chrono::seconds(90);
    Duration request = std::chrono::seconds(5);  // from the first byte of a request to its last
    Duration write = std::chrono::seconds(10);   // for a peer that stops reading
};

class HttpServer {
  public:
    using Handler = std::function<void(HttpRequest, Reply)>;
    HttpServer(Loop& loop, const std::string& address, ServerLimits limits, Handler handler);
    ~HttpServer();

  private:
    struct Connection;
    void accept_all();
    bool make_room();
    void resume();
    void sweep();
    void on_event(const std::shared_ptr<Connection>& c, std::uint32_t events);
    void read(const std::shared_ptr<Connection>& c);
    void parse(const std::shared_ptr<Connection>& c);
    void respond(const std::shared_ptr<Connection>& c, const HttpResponse& r, bool keep);
    void flush(const std::shared_ptr<Connection>& c);
    void close(const std::shared_ptr<Connection>& c);
    Loop& loop_;
    ServerLimits limits_;
    Handler handler_;
    Fd listener_;
    bool paused_ = false;
    std::unordered_map<int, std::shared_ptr<Connection>> connections_;
};

struct ClientLimits {
    std::size_t per_address = 12, connections = 128, queue = 512, response = 8 * 1024 * 1024;
    Duration idle = std::chrono::seconds(20);
};

// Calls of one kind (state service, cloud, workers): each kind has a client of its own, so that hundreds of
// silent workers never keep a lease's renewal or a commit waiting.
class HttpClient {
  public:
    HttpClient(Loop& loop, ClientLimits limits);
    void request(const std::string& address, HttpRequest req, Duration timeout, Reply done);

  private:
    struct Call;
    struct Connection;
    struct Host {
        std::deque<std::shared_ptr<Call>> waiting;
        std::vector<std::shared_ptr<Connection>> open;
    };
    void pump(const std::string& address);
    bool make_room();
    void feed_hungry();
    void open(const std::string& address);
    void assign(const std::shared_ptr<Connection>& c, std::shared_ptr<Call> call);
    void on_event(const std::shared_ptr<Connection>& c, std::uint32_t events);
    void finish(const std::shared_ptr<Call>& call, HttpResponse r);
    void drop(const std::shared_ptr<Connection>& c);
    void sweep();
    Loop& loop_;
    ClientLimits limits_;
    std::size_t total_ = 0;
    std::unordered_map<std::string, Host> hosts_;
    std::deque<std::string> hungry_;  // addresses whose calls wait for a connection of any
};

}  // namespace zd
