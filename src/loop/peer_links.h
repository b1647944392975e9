/// TCP connections between controllers.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/settings.h"
#include "loop/loop.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Exchanges binary frames with the other controllers. Opens one TCP connection to each peer for sending, and
/// receives on the connections that peers open. `loop` and `settings` must outlive it.
class PeerLinks {
  public:
    /// Receives each decoded message and its sender, from the event loop.
    using Handler = std::function<void(const NodeName& from, wire::PeerMessage)>;
    /// Listens on the address from the settings. Throws std::runtime_error on failure.
    PeerLinks(Loop& loop, const Settings& settings, Handler handler);
    /// Sends an encoded frame, and connects to the peer first if necessary. The frame is dropped if the peer
    /// is not in the settings, cannot be connected to, or has too much unread data, or if the frame is too
    /// large.
    void send(const NodeName& to, const std::string& frame);

  private:
    // The connection to one peer, for sending.
    struct OutgoingLink {
        std::string address, buffer;
        Fd fd;
        bool connected = false;
        // Whether the latest frame was dropped because it was too large or the buffer was full.
        bool is_dropping = false;
        // Time of the latest connect, disconnect or send, or of adding data to an empty buffer.
        SteadyTime last_progress_at{};
    };
    // A connection from one peer, for receiving.
    struct IncomingLink {
        Fd fd;
        std::string buffer;
        NodeName peer;  // the connected controller; empty until its Hello message has arrived
    };
    void accept_links();
    void connect(const NodeName& to);
    void flush(const NodeName& to);
    void disconnect(OutgoingLink& link);
    void read(const std::shared_ptr<IncomingLink>& link);
    void close(const std::shared_ptr<IncomingLink>& link);
    Loop& loop_;
    const Settings& settings_;
    Handler handler_;
    Fd listener_;
    std::map<NodeName, OutgoingLink> outgoing_links_;
    std::unordered_map<int, std::shared_ptr<IncomingLink>> incoming_links_;
};

}  // namespace zincdyke
