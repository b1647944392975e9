/// Records the messages of a simulated deployment in a trace file, one line per message.
#pragma once
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

#include "app/node.h"

namespace zincdyke::testing {

/// Records messages in the order in which they are sent or delivered. Recording draws no random numbers and
/// schedules no events, so it doesn't change the behaviour of the deployment. The recorder must outlive the
/// deployment. Each line has tab-separated fields: simulated time, kind, sender, receiver, XXH64 hash of the
/// full content, and the beginning of the content (for a peer frame: its size and kind byte).
class MessageRecorder {
  public:
    /// The kind of a recorded message.
    enum class Kind {
        request,           ///< HTTP request sent by a controller
        response,          ///< HTTP response delivered to a controller; empty after a timeout
        received_request,  ///< HTTP request received by a controller
        sent_response,     ///< HTTP response sent by a controller
        frame,             ///< frame sent by a controller to a peer
        write,             ///< write executed by the key-value store
    };

    /// Creates the trace file `file`, or overwrites it.
    explicit MessageRecorder(const std::string& file);

    void request(double now, Kind kind, std::string_view from, std::string_view to,
                 const zincdyke::HttpRequest& request);
    void response(double now, Kind kind, std::string_view from, std::string_view to,
                  const zincdyke::HttpResponse& response);
    void frame(double now, std::string_view from, std::string_view to, std::string_view frame);
    /// Records a write by the key-value store. `value` is the new value as JSON text; null: the key is
    /// deleted.
    void write(double now, std::string_view key, std::uint64_t revision, const std::string* value);

    /// Returns whether a request to a controller is excluded from the trace, together with its response.
    static bool is_excluded(const zincdyke::HttpRequest& request);

    std::uint64_t messages() const { return messages_; }
    /// Flushes the trace file. Returns false if any write to it failed.
    bool finish();

  private:
    void write_line(double now, Kind kind, std::string_view from, std::string_view to,
                    std::string_view content, std::string_view summary);

    std::ofstream out_;
    std::uint64_t messages_ = 0;
};

}  // namespace zincdyke::testing
