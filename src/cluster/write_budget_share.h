/// This controller's share of the key-value store's request and write budgets.
#pragma once
#include <map>

#include "base/settings.h"
#include "base/types.h"
#include "cluster/membership.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Tells the store client which parts of the budgets it may spend.
///
/// Requests are split evenly among the live controllers. Half of the writes is split evenly, the rest by what
/// each has to commit: with a fixed split one node's jobs waited for writes while half of the budget was
/// never used.
class WriteBudgetShare {
  public:
    /// All must outlive this object.
    WriteBudgetShare(const Settings& settings, StoreClient& store, const StateCache& state_cache,
                     const Membership& membership);

    /// What this node and its peers have to commit, in writes, by the latest peer heartbeats. Peers missing
    /// from `peer_demands` are silent and count as average ones.
    void update(double own_demand, const std::map<NodeName, double>& peer_demands);
    /// The number of live nodes may have changed: the even share follows at once, the share by demand with
    /// the next update.
    void on_membership_changed();

  private:
    const Settings& settings_;
    StoreClient& store_;
    const StateCache& state_cache_;
    const Membership& membership_;
    double write_share_ = 0;  // 0: demand is not known yet, the writes are split evenly
};

}  // namespace zincdyke
