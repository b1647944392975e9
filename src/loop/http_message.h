/// Incremental parsing of HTTP/1.1 messages, independent of sockets.
#pragma once
#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace zincdyke {

/// Maximum size of a request body that the HTTP server accepts.
constexpr std::size_t max_request_body_bytes = std::size_t{64} * 1024;
/// Maximum size of the request target that the HTTP server accepts. The request line and headers together are
/// limited to this size plus max_request_body_bytes.
constexpr std::size_t max_request_head_bytes = std::size_t{8} * 1024;

/// Parses the sequence of HTTP messages in one direction of a connection, using the http-parser library.
class HttpMessageParser {
  public:
    /// Whether the parser reads requests, as a server does, or responses, as a client does.
    enum class Kind : std::uint8_t { request, response };
    /// Result of parsing: the message is incomplete, complete, over a size limit, or not valid HTTP.
    enum class State : std::uint8_t { partial, complete, too_large, malformed };

    /// `max_body_bytes` limits the body of each message.
    HttpMessageParser(Kind kind, std::size_t max_body_bytes);

    /// Parses bytes up to the end of the current message and stores the number of parsed bytes in `consumed`.
    State feed(std::string_view data, std::size_t& consumed);
    /// Discards the current message and prepares for parsing the next one.
    void reset();

    /// Returns whether at least one byte of the current message has been parsed.
    bool started() const { return started_; }
    /// Returns whether the connection stays open after the current message. Valid once the message is
    /// complete.
    bool keep_alive() const { return keep_alive_; }
    /// Returns the HTTP status code of a complete response.
    int status_code() const { return status_code_; }

    std::string method, target, body;

  private:
    static http_parser_settings callbacks();
    static int append_target(http_parser* parser, const char* data, std::size_t size);
    static int check_announced_length(http_parser* parser);
    static int append_body(http_parser* parser, const char* data, std::size_t size);
    static int complete_message(http_parser* parser);

    http_parser parser_{};
    Kind kind_;
    bool started_ = false, keep_alive_ = true, complete_ = false, too_large_ = false;
    int status_code_ = 0;
    std::size_t max_body_bytes_, head_bytes_ = 0;
};

}  // namespace zincdyke
