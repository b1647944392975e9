#include "cluster/rendezvous_hash.h"

#include <xxhash.h>

#include <cstdint>

namespace zincdyke {
namespace {
constexpr std::uint64_t hash_seed = 1;
}  // namespace

NodeName pick_by_hash(const std::string& key, const std::vector<NodeName>& candidates) {
    NodeName best;
    std::uint64_t highest_hash = 0;
    for (const auto& candidate : candidates) {
        const std::string text = key + "\n" + candidate.value();
        const std::uint64_t hash = XXH64(text.data(), text.size(), hash_seed);
        if (best.empty() || hash > highest_hash) {
            best = candidate;
            highest_hash = hash;
        }
    }
    return best;
}

}  // namespace zincdyke
