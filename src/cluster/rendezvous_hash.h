/// Rendezvous hashing, which lets controllers agree on the owner of a key without communicating.
#pragma once
#include <string>
#include <vector>

#include "base/types.h"

namespace zincdyke {

/// Returns the candidate whose name combined with `key` has the highest hash; empty if there are no
/// candidates. When a candidate is removed, only its keys are reassigned, spread over the remaining
/// candidates. The hash must never change, because controllers of different versions have to agree during an
/// upgrade.
[[nodiscard]] NodeName pick_by_hash(const std::string& key, const std::vector<NodeName>& candidates);

}  // namespace zincdyke
