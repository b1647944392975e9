/// Division of the key-value store's request and write budgets among controllers.
#pragma once
#include <map>

#include "base/settings.h"
#include "base/types.h"
#include "cluster/membership.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Computes this controller's share of the store's request and write budgets and sets it in the store client.
///
/// The request budget is split evenly among the live controllers. Half of the write budget is split evenly,
/// and the other half in proportion to the pending writes of each controller.
class WriteBudgetShare {
  public:
    /// All constructor arguments must outlive the WriteBudgetShare.
    WriteBudgetShare(const Settings& settings, StoreClient& store, const StateCache& state_cache,
                     const Membership& membership);

    /// Recomputes this controller's budget shares and sets them in the store client. `own_demand` is this
    /// controller's number of pending writes, and `peer_demands` contains the numbers that peers reported in
    /// peer heartbeats. A live peer missing from `peer_demands` counts with the average demand of the others.
    void recompute_shares(double own_demand, const std::map<NodeName, double>& peer_demands);
    /// To be called when the number of live controllers may have changed. Updates the even shares
    /// immediately; the demand-based share changes with the next `recompute_shares`.
    void on_membership_changed();

  private:
    const Settings& settings_;
    StoreClient& store_;
    const StateCache& state_cache_;
    const Membership& membership_;
    double write_share_ = 0;  // share of the write budget, at most 1; 0 before the first `recompute_shares`
};

}  // namespace zincdyke
