// The format level: which records the fleet writes while it is upgraded node by node.
//
// Until the level rises, every record and frame is one that production's version writes. Each node registers
// durably the level that its version understands. Once all nodes that the settings name have registered, one
// of them raises the fleet's level by a conditional commit; it never falls. A node that dies before its
// upgrade comes back with the earlier version, but has not registered yet; one that has registered runs this
// version or a later one from then on.
#pragma once
#include <cstdint>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

class FormatLevel {
  public:
    // Level 0: production's records. Level 1: a job's record may name smaller pages.
    static constexpr std::uint32_t small_pages = 1;
    static constexpr std::uint32_t highest_known = small_pages;

    FormatLevel(Env& env, const Settings& settings, StoreClient& store, StateCache& model,
                ClusterCoordinator& cluster);
    void start();
    // The nodes that have not registered yet; the level waits for them.
    std::vector<NodeName> waiting_for() const;

  private:
    void review();
    void put(const std::string& key, std::uint32_t level, const char* event);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    const std::vector<NodeName> all_;
    std::size_t told_waiting_ = 0;
    bool busy_ = false;
};

}  // namespace zincdyke
