/// Index: which controllers are alive, and what each of them leads.
#pragma once
#include <cstdint>
#include <map>
#include <vector>

#include "base/types.h"

namespace zincdyke {

/// A share of the machines and the controller that leads it.
struct Shard {
    NodeName leader;
    Term term;
};

/// Live controllers, leaders of the shards, and the leader of the autoscaler.
class MembershipIndex {
  public:
    /// `shard_count`: at least 1; the same on every controller, and for good.
    explicit MembershipIndex(std::uint32_t shard_count) : shards_(shard_count) {}

    /// A controller's session was opened or written again at `version`.
    void set_live_node(const NodeName& node, Revision version) { live_nodes_[node] = version; }
    /// A controller's session ended.
    void remove_live_node(const NodeName& node) { live_nodes_.erase(node); }
    /// Ignores numbers of shards that there are not.
    void set_shard(std::uint32_t number, Shard shard);
    /// Empty: there is none.
    void set_autoscaler_leader(NodeName leader);
    void clear();

    /// By name, with the version of each session's record.
    [[nodiscard]] const std::map<NodeName, Revision>& live_nodes() const { return live_nodes_; }
    /// By number.
    [[nodiscard]] const std::vector<Shard>& shards() const { return shards_; }
    [[nodiscard]] const NodeName& autoscaler_leader() const { return autoscaler_leader_; }
    /// The shard of a machine, by the hash of its name.
    [[nodiscard]] std::uint32_t shard_of(const MachineId& machine) const;

  private:
    std::map<NodeName, Revision> live_nodes_;
    std::vector<Shard> shards_;
    NodeName autoscaler_leader_;
};

}  // namespace zincdyke
