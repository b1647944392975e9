#include "app/peer_registry.h"

#include <algorithm>
#include <utility>

namespace zincdyke {
namespace {
constexpr Duration heartbeat_timeout = std::chrono::milliseconds(1800);
}  // namespace

PeerRegistry::PeerRegistry(Env& env, const Settings& settings, Deliver deliver)
    : env_(env), settings_(settings), deliver_(std::move(deliver)) {}

void PeerRegistry::send(const NodeName& to, wire::PeerMessage message) {
    if (to == settings_.node) {
        // The message is delivered from the event loop, so that no component is re-entered during its own
        // call.
        env_.after(Duration(0), [this, message = std::move(message)] { deliver_(settings_.node, message); });
        return;
    }
    env_.send_peer(to, wire::encode(message));
}

bool PeerRegistry::is_reachable(const Peer& peer) const {
    return peer.store_reachable && env_.now() - peer.last_heartbeat_at < heartbeat_timeout;
}

bool PeerRegistry::is_reachable(const NodeName& peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && is_reachable(found->second);
}

std::vector<NodeName> PeerRegistry::reachable_nodes() const {
    std::vector<NodeName> nodes{settings_.node};
    for (const auto& [name, peer] : peers_)
        if (is_reachable(peer)) nodes.push_back(name);
    return nodes;
}

bool PeerRegistry::is_any_reachable() const {
    return std::any_of(peers_.begin(), peers_.end(),
                       [&](const auto& entry) { return is_reachable(entry.second); });
}

std::map<NodeName, double> PeerRegistry::reachable_write_demands() const {
    std::map<NodeName, double> demands;
    for (const auto& [name, peer] : peers_)
        if (is_reachable(peer)) demands[name] = peer.write_demand;
    return demands;
}

void PeerRegistry::on_heartbeat(const NodeName& from, const wire::PeerHeartbeat& heartbeat) {
    peers_[from] = {env_.now(), heartbeat.store_reachable, heartbeat.write_demand / write_demand_scale};
}

}  // namespace zincdyke
