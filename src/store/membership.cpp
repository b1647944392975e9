#include "store/membership.h"

#include <xxhash.h>

#include <utility>

namespace zincdyke {

void Membership::set_shard(std::uint32_t number, Shard shard) {
    if (number < shards_.size()) shards_[number] = std::move(shard);
}

void Membership::set_autoscaler_leader(NodeName leader) { autoscaler_leader_ = std::move(leader); }

void Membership::clear() {
    live_nodes_.clear();
    shards_.assign(shards_.size(), Shard{});
    autoscaler_leader_ = {};
}

std::uint32_t Membership::shard_of(const MachineId& machine) const {
    const std::string& name = machine.value();
    return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0) % shards_.size());
}

}  // namespace zincdyke
