/// The gatherer of placement rounds, which collects the scorers' responses and chooses among their offers.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/env.h"
#include "cluster/peer_channel.h"
#include "sched/placement_rules.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Decides the placement rounds for which a relay selected this node as gatherer. A round is decided when all
/// expected scorers have responded, or at a fixed timeout after the first response.
class PlacementGatherer {
  public:
    /// Keeps all reference arguments; they must outlive the gatherer.
    PlacementGatherer(Env& env, const StateCache& state_cache, PeerChannel& peers);
    /// Starts the periodic removal of placement rounds that were decided some time ago.
    void start();
    /// Handles a scorer's response. A response to a round that is already decided is rejected by an empty
    /// decision, so that the scorer releases the reserved capacity.
    void on_placement_response(const wire::PlacementResponse& response);

    /// Totals of the placement rounds that this node decided as gatherer since the process started.
    struct Counts {
        std::uint64_t rounds_decided = 0;
        /// Sum over all decided rounds of the time from the first scorer's response to the decision.
        std::uint64_t total_decision_ms = 0;
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    struct Round {
        JobId job;
        std::vector<TaskIndex> tasks;
        bool is_gang = false;
        std::vector<sched::ScoredOffer> offers;
        std::set<NodeName> responded_scorers;
        std::size_t expected_responses = 0;
        Env::TimerId timer = 0;
        bool is_decided = false;
        SteadyTime first_response_at{};
    };
    void decide(const wire::RoundId& id);
    void remove_old_rounds();

    Env& env_;
    const StateCache& state_cache_;
    PeerChannel& peers_;
    std::map<wire::RoundId, Round> rounds_;
    Counts counts_;
};

}  // namespace zincdyke
