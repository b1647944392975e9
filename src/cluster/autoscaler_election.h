/// Election of the one controller that scales the fleet.
#pragma once
#include <cstdint>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/membership.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Runs for leader of the autoscaler while there is none.
///
/// The leader is named by one record of the key-value store, tied to the leader's session lease: it goes with
/// the session. Every controller may write it on condition of the version it saw, so that one candidate wins.
class AutoscalerElection {
  public:
    /// All must outlive this object.
    AutoscalerElection(Env& env, const Settings& settings, StoreClient& store, const StateCache& state_cache,
                       const Membership& membership);

    /// Runs for leader if none is alive. `session_lease` is the lease of this node's session. To be called
    /// regularly, while the state cache is up to date and the session is open.
    void campaign_if_vacant(std::uint64_t session_lease);
    /// The record names this node. Whether it may act on that, its session and its view decide.
    [[nodiscard]] bool is_won() const;

  private:
    enum class State : std::uint8_t {
        idle,
        awaiting_result,
        // The watch brings the record a little later than the commit's answer; until then there seems to be
        // no leader still.
        cooling_down
    };
    void campaign(std::uint64_t session_lease);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    const StateCache& state_cache_;
    const Membership& membership_;
    State state_ = State::idle;
};

}  // namespace zincdyke
