#include "cluster/membership.h"

#include <algorithm>

namespace zincdyke {

Membership::Membership(const Settings& settings, const StateCache& state_cache)
    : settings_(settings), state_cache_(state_cache) {}

bool Membership::is_live(const NodeName& node) const { return state_cache_.live_nodes().contains(node); }

std::vector<NodeName> Membership::live_nodes() const {
    std::vector<NodeName> nodes;
    for (const auto& [node, revision] : state_cache_.live_nodes()) nodes.push_back(node);
    return nodes;
}

std::vector<NodeName> Membership::live_peers() const {
    std::vector<NodeName> peers = live_nodes();
    std::erase(peers, settings_.node);
    return peers;
}

std::size_t Membership::budget_node_count() const {
    return std::max<std::size_t>(1, state_cache_.live_nodes().size());
}

}  // namespace zincdyke
