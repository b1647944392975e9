/// The format level: which records the fleet writes while it is upgraded node by node.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Raises the fleet's format level once all nodes understand the next one.
///
/// Until the level rises, every record and frame is one that production's version writes. Each node registers
/// durably the level that its version understands. Once all nodes that the settings name have registered, one
/// of them raises the fleet's level by a conditional commit; it never falls. A node that dies before its
/// upgrade comes back with the earlier version, but has not registered yet; one that has registered runs this
/// version or a later one from then on.
class FormatLevel {
  public:
    /// Level 0: production's records. Level 1: a job's record may name smaller pages.
    static constexpr std::uint32_t small_pages = 1;
    /// The level that this version registers.
    static constexpr std::uint32_t highest_supported = small_pages;

    /// All must outlive this object.
    FormatLevel(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                const ClusterCoordinator& cluster);
    /// Begins to register and to review, on the event loop; to be called once.
    void start();
    /// The nodes that have not registered yet, for which the level waits; none once it has risen.
    [[nodiscard]] std::vector<NodeName> unregistered_nodes() const;

  private:
    void review();
    void commit_level(const std::string& key, std::uint32_t level, const char* event);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    const std::vector<NodeName> all_nodes_;
    std::size_t logged_missing_count_ = 0;
    bool is_commit_under_way_ = false;
};

}  // namespace zincdyke
