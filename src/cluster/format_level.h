/// The format level, which determines the record formats that controllers write during a rolling upgrade.
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

/// Raises the fleet-wide format level once every controller supports the next level.
///
/// Each controller durably registers the highest level that its version supports. Once every controller
/// listed in the settings has registered, one of the controllers raises the fleet's level with a
/// compare-and-swap. The level never falls, so a registered controller must not be downgraded.
class FormatLevel {
  public:
    /// The lowest format level at which a job record may specify a page size below the standard one. Level 0
    /// is the initial format.
    static constexpr std::uint32_t small_pages = 1;
    /// The highest format level that this version of the program supports. Each controller registers its own
    /// value.
    static constexpr std::uint32_t highest_supported = small_pages;

    /// All constructor arguments must outlive the FormatLevel.
    FormatLevel(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                const ClusterCoordinator& cluster);
    /// Starts the periodic registration and level check on the event loop. Must be called exactly once.
    void start();
    /// Returns the controllers that have not yet registered support for the highest level, which prevents the
    /// level from being raised. Empty once the level has been raised.
    [[nodiscard]] std::vector<NodeName> unregistered_nodes() const;

  private:
    void register_and_raise_level();
    void commit_level(const std::string& key, std::uint32_t level, const char* event);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    const std::vector<NodeName> all_nodes_;
    std::size_t logged_missing_count_ = 0;
    bool is_commit_in_flight_ = false;
};

}  // namespace zincdyke
