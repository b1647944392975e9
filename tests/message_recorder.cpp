#include "message_recorder.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace zincdyke::testing {

namespace {

constexpr std::size_t max_summary_chars = 160;

const char* name_of(MessageRecorder::Kind kind) {
    switch (kind) {
        case MessageRecorder::Kind::request:
            return "request";
        case MessageRecorder::Kind::response:
            return "response";
        case MessageRecorder::Kind::received_request:
            return "asked";
        case MessageRecorder::Kind::sent_response:
            return "answered";
        case MessageRecorder::Kind::frame:
            return "frame";
        case MessageRecorder::Kind::write:
            return "write";
    }
    return "";
}

std::string printable(std::string_view content) {
    std::string text;
    for (const char character : content) {
        if (text.size() == max_summary_chars) break;
        if (character >= ' ' && character <= '~') text += character;
    }
    return text;
}

}  // namespace

MessageRecorder::MessageRecorder(const std::string& file) : out_(file, std::ios::binary) {}

void MessageRecorder::request(double now, Kind kind, std::string_view from, std::string_view to,
                              const zincdyke::HttpRequest& request) {
    const std::string content = request.method + " " + request.path + " " + request.body;
    write_line(now, kind, from, to, content, content);
}

void MessageRecorder::response(double now, Kind kind, std::string_view from, std::string_view to,
                               const zincdyke::HttpResponse& response) {
    const std::string content = std::to_string(response.status) + " " +
                                std::to_string(response.retry_after_s.value_or(-1)) + " " + response.body;
    write_line(now, kind, from, to, content, content);
}

void MessageRecorder::frame(double now, std::string_view from, std::string_view to, std::string_view frame) {
    // The frame header is followed by the version byte and the kind byte.
    const std::size_t kind_offset = zincdyke::wire::peer_header_bytes + 1;
    const int kind = frame.size() > kind_offset ? static_cast<unsigned char>(frame[kind_offset]) : -1;
    write_line(now, Kind::frame, from, to, frame,
               "size " + std::to_string(frame.size()) + " kind " + std::to_string(kind));
}

void MessageRecorder::write(double now, std::string_view key, std::uint64_t revision,
                            const std::string* value) {
    const std::string content =
        std::to_string(revision) + (value != nullptr ? " set " + *value : std::string(" deleted"));
    write_line(now, Kind::write, "state", key, content, content);
}

bool MessageRecorder::is_excluded(const zincdyke::HttpRequest& request) {
    return request.path.rfind("/internal/status", 0) == 0;
}

bool MessageRecorder::finish() {
    out_.flush();
    return out_.good();
}

void MessageRecorder::write_line(double now, Kind kind, std::string_view from, std::string_view to,
                                 std::string_view content, std::string_view summary) {
    ++messages_;
    std::array<char, 64> time{};
    std::snprintf(time.data(), time.size(), "%.6f", now);
    std::array<char, 24> digest{};
    std::snprintf(digest.data(), digest.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64(content.data(), content.size(), 0)));
    out_ << time.data() << '\t' << name_of(kind) << '\t' << from << '\t' << to << '\t' << digest.data()
         << '\t' << printable(summary) << '\n';
}

}  // namespace zincdyke::testing
