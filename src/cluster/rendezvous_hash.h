/// Rendezvous hashing: controllers agree on who does something without asking one another.
#pragma once
#include <string>
#include <vector>

#include "base/types.h"

namespace zincdyke {

/// The candidate with the highest hash of `key` and its own name; empty without candidates.
///
/// Every controller that knows the same candidates picks the same one, whatever their order. When a candidate
/// goes, only what it was picked for moves, and each of the others takes a share of that. Every version of
/// the program must use the same hash: shards, relays and gatherers are picked by it during an upgrade too.
[[nodiscard]] NodeName pick_by_hash(const std::string& key, const std::vector<NodeName>& candidates);

}  // namespace zincdyke
