/// How a controller's parts talk to the other controllers.
#pragma once
#include <vector>

#include "base/types.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Sends messages to controllers, and tells which of them can be reached.
class PeerChannel {
  public:
    PeerChannel() = default;
    PeerChannel(const PeerChannel&) = delete;
    PeerChannel& operator=(const PeerChannel&) = delete;
    virtual ~PeerChannel() = default;

    /// Best effort: a message may be lost, repeated or late. One to this node itself is delivered from the
    /// event loop, never from within the call.
    virtual void send(const NodeName& to, wire::PeerMessage message) = 0;
    /// Whether the peer's heartbeats arrive and say that it reaches the key-value store.
    [[nodiscard]] virtual bool is_reachable(const NodeName& peer) const = 0;
    /// This node, and the peers for which `is_reachable` holds.
    [[nodiscard]] virtual std::vector<NodeName> reachable_nodes() const = 0;
};

}  // namespace zincdyke
