#include "loop/http_message.h"

#include <climits>

namespace zincdyke {
namespace {
HttpMessageParser& parser_of(http_parser* parser) { return *static_cast<HttpMessageParser*>(parser->data); }
}  // namespace

HttpMessageParser::HttpMessageParser(Kind kind, std::size_t max_body_bytes)
    : kind_(kind), max_body_bytes_(max_body_bytes) {
    reset();
}

void HttpMessageParser::reset() {
    http_parser_init(&parser_, kind_ == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    method.clear();
    target.clear();
    body.clear();
    started_ = complete_ = too_large_ = false;
    keep_alive_ = true;
    status_code_ = 0;
    head_bytes_ = 0;
}

http_parser_settings HttpMessageParser::callbacks() {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = append_target;
    settings.on_headers_complete = check_announced_length;
    settings.on_body = append_body;
    settings.on_message_complete = complete_message;
    return settings;
}

int HttpMessageParser::append_target(http_parser* parser, const char* data, std::size_t size) {
    HttpMessageParser& self = parser_of(parser);
    if (self.target.size() + size > max_request_head_bytes) return 1;
    self.target.append(data, size);
    return 0;
}

// Rejects a message whose Content-Length is over the limit before its body is read.
int HttpMessageParser::check_announced_length(http_parser* parser) {
    HttpMessageParser& self = parser_of(parser);
    if (parser->content_length != ULLONG_MAX && parser->content_length > self.max_body_bytes_) {
        self.too_large_ = true;
        return -1;
    }
    return 0;
}

int HttpMessageParser::append_body(http_parser* parser, const char* data, std::size_t size) {
    HttpMessageParser& self = parser_of(parser);
    if (self.body.size() + size > self.max_body_bytes_) {
        self.too_large_ = true;
        return 1;
    }
    self.body.append(data, size);
    return 0;
}

int HttpMessageParser::complete_message(http_parser* parser) {
    HttpMessageParser& self = parser_of(parser);
    self.complete_ = true;
    self.keep_alive_ = http_should_keep_alive(parser) != 0;
    self.status_code_ = static_cast<int>(parser->status_code);
    if (self.kind_ == Kind::request) self.method = http_method_str(static_cast<http_method>(parser->method));
    http_parser_pause(parser, 1);
    return 0;
}

HttpMessageParser::State HttpMessageParser::feed(std::string_view data, std::size_t& consumed) {
    static const http_parser_settings settings = callbacks();
    if (data.empty()) {
        consumed = 0;
        return State::partial;
    }
    started_ = true;
    consumed = http_parser_execute(&parser_, &settings, data.data(), data.size());
    if (too_large_) return State::too_large;
    if (complete_) return State::complete;
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0) return State::malformed;
    if (body.empty()) {
        head_bytes_ += consumed;
        // Limits the memory that a request with an endless header can use.
        if (kind_ == Kind::request && head_bytes_ > max_request_head_bytes + max_request_body_bytes)
            return State::too_large;
    }
    return State::partial;
}

}  // namespace zincdyke
