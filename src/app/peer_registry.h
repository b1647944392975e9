/// The other controllers as this one hears them.
#pragma once
#include <functional>
#include <map>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/peer_channel.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// In a peer heartbeat the write demand is a whole number: hundredths.
constexpr double write_demand_scale = 100;

/// Which controllers are reachable, by the heartbeats received from them, and the way to all of them.
class PeerRegistry : public PeerChannel {
  public:
    using Deliver = std::function<void(const NodeName& from, const wire::PeerMessage& message)>;

    /// `deliver` takes what this node sends to itself.
    PeerRegistry(Env& env, const Settings& settings, Deliver deliver);

    void send(const NodeName& to, wire::PeerMessage message) override;
    [[nodiscard]] bool is_reachable(const NodeName& peer) const override;
    [[nodiscard]] std::vector<NodeName> reachable_nodes() const override;

    void on_heartbeat(const NodeName& from, const wire::PeerHeartbeat& heartbeat);
    /// Whether `is_reachable` holds for any peer.
    [[nodiscard]] bool is_any_reachable() const;
    /// What each reachable peer has to commit, by its latest heartbeat.
    [[nodiscard]] std::map<NodeName, double> reachable_write_demands() const;

  private:
    struct Peer {
        SteadyTime last_heard{};
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
