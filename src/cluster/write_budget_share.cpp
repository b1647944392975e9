#include "cluster/write_budget_share.h"

#include <cstddef>

namespace zincdyke {

WriteBudgetShare::WriteBudgetShare(const Settings& settings, StoreClient& store,
                                   const StateCache& state_cache, const Membership& membership)
    : settings_(settings), store_(store), state_cache_(state_cache), membership_(membership) {}

void WriteBudgetShare::recompute_shares(double own_demand, const std::map<NodeName, double>& peer_demands) {
    double total_demand = own_demand;
    std::size_t nodes = 1;  // this controller counts even if its session record is not in the state cache
    std::size_t silent_peers = 0;
    for (const auto& [node, revision] : state_cache_.live_nodes()) {
        if (node == settings_.node) continue;
        ++nodes;
        if (const auto demand = peer_demands.find(node); demand != peer_demands.end())
            total_demand += demand->second;
        else
            ++silent_peers;
    }
    total_demand +=
        total_demand / static_cast<double>(nodes - silent_peers) * static_cast<double>(silent_peers);
    const double even_share = 1.0 / static_cast<double>(nodes);
    write_share_ = total_demand > 0 ? 0.5 * even_share + 0.5 * own_demand / total_demand : even_share;
    store_.set_budget_share(even_share, write_share_);
}

void WriteBudgetShare::on_membership_changed() {
    const double even_share = 1.0 / static_cast<double>(membership_.budget_node_count());
    store_.set_budget_share(even_share, write_share_ > 0 ? write_share_ : even_share);
}

}  // namespace zincdyke
