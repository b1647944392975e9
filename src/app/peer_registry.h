/// Reachability of the other controllers, based on their heartbeats.
#pragma once
#include <functional>
#include <map>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/peer_channel.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Factor by which a write demand is multiplied to encode it as an integer in a peer heartbeat.
constexpr double write_demand_scale = 100;

/// Sends messages to controllers and records their latest heartbeats, which show whether they are reachable.
/// `env` and `settings` must outlive the registry.
class PeerRegistry : public PeerChannel {
  public:
    /// Receives a message that this node sent to itself, from the event loop.
    using Deliver = std::function<void(const NodeName& from, const wire::PeerMessage& message)>;

    /// `deliver` is called for each message that this node sends to itself.
    PeerRegistry(Env& env, const Settings& settings, Deliver deliver);

    void send(const NodeName& to, wire::PeerMessage message) override;
    [[nodiscard]] bool is_reachable(const NodeName& peer) const override;
    [[nodiscard]] std::vector<NodeName> reachable_nodes() const override;

    /// Records a heartbeat received from another controller.
    void on_heartbeat(const NodeName& from, const wire::PeerHeartbeat& heartbeat);
    /// Returns whether at least one other controller is reachable.
    [[nodiscard]] bool is_any_reachable() const;
    /// Returns each reachable peer's write demand from its latest heartbeat, in pages per heartbeat.
    [[nodiscard]] std::map<NodeName, double> reachable_write_demands() const;

  private:
    struct Peer {
        SteadyTime last_heartbeat_at{};
        bool store_reachable = false;
        double write_demand = 0;
    };
    bool is_reachable(const Peer& peer) const;

    Env& env_;
    const Settings& settings_;
    Deliver deliver_;
    std::map<NodeName, Peer> peers_;
};

}  // namespace zincdyke
