/// The simulated network between controllers, workers, users, the key-value store and the cloud.
#pragma once
#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fakes/random_source.h"
#include "fakes/simulated_clock.h"

namespace zincdyke::testing {

enum class LinkState {
    up,    ///< Messages arrive after 1 to 3 ms, in any order.
    drop,  ///< Partitioned: messages are lost, with those that were held.
    hold,  ///< Partitioned: messages wait, and arrive once the link is up again.
};

/// Delivers messages between parties named by strings: controllers by name ("n0"), machines by id, "state"
/// (the key-value store), "cloud" and "users".
class FakeNetwork {
  public:
    FakeNetwork(SimulatedClock& clock, RandomSource& random) : clock_(clock), random_(random) {}

    /// Sets both directions between two parties.
    void set_link(const std::string& one, const std::string& other, LinkState state);
    [[nodiscard]] LinkState link_state(const std::string& one, const std::string& other) const;

    /// Runs `deliver` when the message arrives; never if it is lost. Nothing is delivered within this call.
    void send(const std::string& from, const std::string& to, std::function<void()> deliver);

    /// Share of the messages that are lost on links that are up.
    double loss_probability = 0;
    /// Parties that can send, but to which every message is lost.
    std::set<std::string> parties_without_inbound;

  private:
    using Ends = std::pair<std::string, std::string>;  // in alphabetical order
    static Ends ends(const std::string& one, const std::string& other) { return std::minmax(one, other); }
    SimulatedClock& clock_;
    RandomSource& random_;
    std::map<Ends, LinkState> links_;
    std::map<Ends, std::vector<std::function<void()>>> held_;
};

}  // namespace zincdyke::testing
