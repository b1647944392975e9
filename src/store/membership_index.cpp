#include "store/membership_index.h"

#include <xxhash.h>

#include <utility>

namespace zincdyke {

void MembershipIndex::set_shard(std::uint32_t number, Shard shard) {
    if (number < shards_.size()) shards_[number] = std::move(shard);
}

void MembershipIndex::set_autoscaler_leader(NodeName leader) { autoscaler_leader_ = std::move(leader); }

std::uint32_t MembershipIndex::shard_of(const MachineId& machine) const {
    const std::string& name = machine.value();
    return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0) % shards_.size());
}

}  // namespace zincdyke
