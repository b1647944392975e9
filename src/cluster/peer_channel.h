/// Messaging between controllers.
#pragma once
#include <vector>

#include "base/types.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Sends messages to other controllers and reports which of them are reachable.
class PeerChannel {
  public:
    PeerChannel() = default;
    PeerChannel(const PeerChannel&) = delete;
    PeerChannel& operator=(const PeerChannel&) = delete;
    virtual ~PeerChannel() = default;

    /// Sends a message without any delivery guarantee: it may be lost, duplicated or delayed. A message to
    /// this controller itself is delivered from the event loop, never from within the call.
    virtual void send(const NodeName& to, wire::PeerMessage message) = 0;
    /// Returns whether heartbeats from the peer are arriving and report that the peer can reach the key-value
    /// store.
    [[nodiscard]] virtual bool is_reachable(const NodeName& peer) const = 0;
    /// Returns this controller and all peers for which `is_reachable` is true.
    [[nodiscard]] virtual std::vector<NodeName> reachable_nodes() const = 0;
};

}  // namespace zincdyke
