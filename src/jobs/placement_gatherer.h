/// The gatherer of placement rounds: collects the scorers' responses and decides among their offers.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/env.h"
#include "cluster/peer_channel.h"
#include "sched/logic.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Decides rounds of any relay, as the relays' requests choose a gatherer by hash. A round is decided once
/// all expected scorers have responded, or a fixed time after the first response: it doesn't wait for
/// stragglers.
class PlacementGatherer {
  public:
    PlacementGatherer(Env& env, const StateCache& state_cache, PeerChannel& peers);
    void start();
    void on_placement_response(const wire::PlacementResponse& response);

    struct Counts {
        std::uint64_t rounds_decided = 0;
        std::uint64_t total_decision_ms =
            0;  ///< From the first response to the decision, all rounds together.
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    struct Round {
        JobId job;
        std::vector<TaskIndex> tasks;
        bool is_gang = false;
        std::vector<sched::ScoredOffer> offers;
        std::set<NodeName> responded;
        std::size_t expected = 0;
        Env::TimerId timer = 0;
        bool is_decided = false;
        SteadyTime first_response{};
    };
    void decide(const wire::RoundId& id);
    void forget_old_rounds();

    Env& env_;
    const StateCache& state_cache_;
    PeerChannel& peers_;
    std::map<wire::RoundId, Round> rounds_;
    Counts counts_;
};

}  // namespace zincdyke
