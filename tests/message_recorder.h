// Writes down, a line each, what the parties of a simulated deployment tell each other.
#pragma once
#include <cstdint>
#include <fstream>
#include <string>
#include <string_view>

#include "app/node.h"

namespace zincdyke::testing {

/// Records messages in the order in which they are sent or given. It only looks: it draws no random number
/// and schedules nothing, so a deployment behaves alike with it and without it. It must outlive its
/// deployment.
///
/// A line holds, with tabs between: simulated time, kind, sender, receiver, XXH64 of the full content, and
/// the beginning of the content. Of a frame that beginning is its size and its kind byte.
class MessageRecorder {
  public:
    enum class Kind {
        request,           ///< sent by a controller over HTTP
        response,          ///< given to a controller, also the empty one when time is up
        received_request,  ///< a request that arrives at a controller
        sent_response,     ///< the controller's reply to it
        frame,             ///< sent by a controller to a peer
        write,             ///< carried out by the state service
    };

    explicit MessageRecorder(const std::string& file);

    void request(double now, Kind kind, std::string_view from, std::string_view to,
                 const zincdyke::HttpRequest& request);
    void response(double now, Kind kind, std::string_view from, std::string_view to,
                  const zincdyke::HttpResponse& response);
    void frame(double now, std::string_view from, std::string_view to, std::string_view frame);
    /// `value` is the new value's text; null: the key is deleted.
    void write(double now, std::string_view key, std::uint64_t revision, const std::string* value);

    /// What is asked of a controller under this path, and the answer, is no behaviour that the records hold.
    static bool is_excluded(const zincdyke::HttpRequest& request);

    std::uint64_t messages() const { return messages_; }
    /// False if anything could not be written.
    bool finish();

  private:
    void line(double now, Kind kind, std::string_view from, std::string_view to, std::string_view content,
              std::string_view shown);
    std::ofstream out_;
    std::uint64_t messages_ = 0;
};

}  // namespace zincdyke::testing
