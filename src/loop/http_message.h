/// Incremental parsing of HTTP/1.1 messages, independent of sockets.
#pragma once
#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace zincdyke {

/// Largest request body that the server accepts, in bytes.
constexpr std::size_t max_request_body_bytes = std::size_t{64} * 1024;
/// Largest request head (request line and headers) that the server accepts, in bytes.
constexpr std::size_t max_request_head_bytes = std::size_t{8} * 1024;

/// Parses one direction of a connection, message by message, on top of http-parser.
class HttpMessageParser {
  public:
    /// What the messages are: requests on a server's side, responses on a client's.
    enum class Kind : std::uint8_t { request, response };
    enum class State : std::uint8_t { partial, complete, too_large, malformed };

    HttpMessageParser(Kind kind, std::size_t max_body);

    /// Consumes bytes up to the end of the present message and stores their number in `used`.
    State feed(std::string_view data, std::size_t& used);
    /// Prepares for the next message.
    void reset();

    /// Whether any byte of the present message has been seen.
    bool started() const { return started_; }
    /// Whether the connection may carry another message after this one. Valid once it is complete.
    bool keep_alive() const { return keep_alive_; }
    /// Status code of a complete response.
    int status() const { return status_; }

    std::string method, target, body;

  private:
    static http_parser_settings callbacks();
    static int append_target(http_parser* parser, const char* data, std::size_t size);
    static int check_announced_length(http_parser* parser);
    static int append_body(http_parser* parser, const char* data, std::size_t size);
    static int complete_message(http_parser* parser);

    http_parser parser_{};
    Kind kind_;
    bool started_ = false, keep_alive_ = true, done_ = false, too_large_ = false;
    int status_ = 0;
    std::size_t max_body_, head_bytes_ = 0;
};

}  // namespace zincdyke
