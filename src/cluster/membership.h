/// The set of live controllers according to the state cache.
#pragma once
#include <cstddef>
#include <vector>

#include "base/settings.h"
#include "base/types.h"
#include "store/state_cache.h"

namespace zincdyke {

/// Answers queries about live controllers from the state cache. A controller is alive while its session
/// record exists. If the state cache is stale, so are the results.
class Membership {
  public:
    /// Both constructor arguments must outlive the Membership object.
    Membership(const Settings& settings, const StateCache& state_cache);

    [[nodiscard]] bool is_live(const NodeName& node) const;
    /// Returns the live controllers in name order, including this one once its own session record is in the
    /// state cache.
    [[nodiscard]] std::vector<NodeName> live_nodes() const;
    /// Returns the live controllers other than this one.
    [[nodiscard]] std::vector<NodeName> live_peers() const;
    /// Returns the number of controllers that share the request and write budgets of the key-value store: the
    /// number of live controllers, at least 1.
    [[nodiscard]] std::size_t budget_node_count() const;

  private:
    const Settings& settings_;
    const StateCache& state_cache_;
};

}  // namespace zincdyke
