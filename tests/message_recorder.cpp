#include "message_recorder.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace zincdyke::testing {

namespace {

constexpr std::size_t most_shown = 160;

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
        if (text.size() == most_shown) break;
        if (character >= ' ' && character <= '~') text += character;
    }
    return text;
}

}  // namespace

MessageRecorder::MessageRecorder(const std::string& file) : out_(file, std::ios::binary) {}

void MessageRecorder::request(double now, Kind kind, std::string_view from, std::string_view to,
                              const zincdyke::HttpRequest& request) {
    const std::string content = request.method + " " + request.path + " " + request.body;
    line(now, kind, from, to, content, content);
}

void MessageRecorder::response(double now, Kind kind, std::string_view from, std::string_view to,
                               const zincdyke::HttpResponse& response) {
    const std::string content = std::to_string(response.status) + " " +
                                std::to_string(response.retry_after_s.value_or(-1)) + " " + response.body;
    line(now, kind, from, to, content, content);
}

void MessageRecorder::frame(double now, std::string_view from, std::string_view to, std::string_view frame) {
    // After the header comes the version, then the kind.
    const std::size_t at = zincdyke::wire::peer_header_bytes + 1;
    const int kind = frame.size() > at ? static_cast<unsigned char>(frame[at]) : -1;
    line(now, Kind::frame, from, to, frame,
         "size " + std::to_string(frame.size()) + " kind " + std::to_string(kind));
}

void MessageRecorder::write(double now, std::string_view key, std::uint64_t revision,
                            const std::string* value) {
    const std::string content =
        std::to_string(revision) + (value != nullptr ? " set " + *value : std::string(" deleted"));
    line(now, Kind::write, "state", key, content, content);
}

bool MessageRecorder::is_excluded(const zincdyke::HttpRequest& request) {
    return request.path.rfind("/internal/status", 0) == 0;
}

bool MessageRecorder::finish() {
    out_.flush();
    return out_.good();
}

void MessageRecorder::line(double now, Kind kind, std::string_view from, std::string_view to,
                           std::string_view content, std::string_view shown) {
    ++messages_;
    std::array<char, 64> time{};
    std::snprintf(time.data(), time.size(), "%.6f", now);
    std::array<char, 24> digest{};
    std::snprintf(digest.data(), digest.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64(content.data(), content.size(), 0)));
    out_ << time.data() << '\t' << name_of(kind) << '\t' << from << '\t' << to << '\t' << digest.data()
         << '\t' << printable(shown) << '\n';
}

}  // namespace zincdyke::testing
