/// Index of the live controllers, the leaders of the shards and the leader of the autoscaler.
#pragma once
#include <cstdint>
#include <map>
#include <vector>

#include "base/types.h"

namespace zincdyke {

/// The leadership of one shard, which is a partition of the machines.
struct Shard {
    NodeName leader;  ///< the shard's leader; empty if there is none
    Term term;        ///< the version of the shard's record
};

/// Live controllers, shard leaders and the autoscaler's leader, as last read from the key-value store.
class MembershipIndex {
  public:
    /// `shard_count` must be at least 1, equal on all controllers, and constant for the deployment's
    /// lifetime.
    explicit MembershipIndex(std::uint32_t shard_count) : shards_(shard_count) {}

    /// Records that the controller is live. `version` is the version of its node record.
    void set_live_node(const NodeName& node, Revision version) { live_nodes_[node] = version; }
    void remove_live_node(const NodeName& node) { live_nodes_.erase(node); }
    /// Sets the leadership of a shard; ignores a number that is out of range.
    void set_shard(std::uint32_t number, Shard shard);
    /// Sets the autoscaler's leader; an empty name means that there is none.
    void set_autoscaler_leader(NodeName leader);

    /// The live controllers, each with the version of its node record.
    [[nodiscard]] const std::map<NodeName, Revision>& live_nodes() const { return live_nodes_; }
    /// All shards, indexed by shard number.
    [[nodiscard]] const std::vector<Shard>& shards() const { return shards_; }
    [[nodiscard]] const NodeName& autoscaler_leader() const { return autoscaler_leader_; }
    /// Returns the number of the shard that contains the machine, derived from a hash of the machine's name.
    [[nodiscard]] std::uint32_t shard_of(const MachineId& machine) const;

  private:
    std::map<NodeName, Revision> live_nodes_;
    std::vector<Shard> shards_;
    NodeName autoscaler_leader_;
};

}  // namespace zincdyke
