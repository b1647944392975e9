/// Which controllers are alive, as the state cache has them.
#pragma once
#include <cstddef>
#include <vector>

#include "base/settings.h"
#include "base/types.h"
#include "store/state_cache.h"

namespace zincdyke {

/// A view of the state cache: a controller is alive while its session's record exists. A view that is out of
/// date shows the members of then.
class Membership {
  public:
    /// Both must outlive this object.
    Membership(const Settings& settings, const StateCache& state_cache);

    [[nodiscard]] bool is_live(const NodeName& node) const;
    /// In name order; this node is among them once its own session is known.
    [[nodiscard]] std::vector<NodeName> live_nodes() const;
    /// The live nodes without this one.
    [[nodiscard]] std::vector<NodeName> live_peers() const;
    /// How many nodes share the budgets: the live ones, at least one.
    [[nodiscard]] std::size_t budget_node_count() const;

  private:
    const Settings& settings_;
    const StateCache& state_cache_;
};

}  // namespace zincdyke
