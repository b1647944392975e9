/// Election of the autoscaler leader: the one controller that scales the fleet of machines out and in.
#pragma once
#include <cstdint>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/membership.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Makes this controller a candidate for autoscaler leader whenever no live controller holds that role.
///
/// One record in the key-value store contains the name of the autoscaler leader. The record is attached to
/// the leader's session lease, so the store deletes it when the session expires. Candidates write the record
/// with a compare-and-swap on its version, so at most one of them wins.
class AutoscalerElection {
  public:
    /// All constructor arguments must outlive the AutoscalerElection.
    AutoscalerElection(Env& env, const Settings& settings, StoreClient& store, const StateCache& state_cache,
                       const Membership& membership);

    /// Starts a candidacy if there is no live autoscaler leader and no candidacy is in progress. Attaches the
    /// leader record to `session_lease_id`, the lease of this controller's session. Must be called
    /// periodically while the state cache is up to date and the session is open.
    void campaign_if_vacant(std::uint64_t session_lease_id);
    /// Returns whether this controller is the autoscaler leader according to the state cache. The caller must
    /// also check that the session is open and the state cache is up to date before it acts as leader.
    [[nodiscard]] bool is_elected() const;

  private:
    enum class State : std::uint8_t {
        idle,
        awaiting_result,
        // The commit of the leader record has completed, but the watch may not have delivered the record yet.
        // No candidacy starts in this state, because the state cache may not show the new leader yet.
        awaiting_watch
    };
    void campaign(std::uint64_t session_lease_id);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    const StateCache& state_cache_;
    const Membership& membership_;
    State state_ = State::idle;
};

}  // namespace zincdyke
