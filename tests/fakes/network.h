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

/// How a link between two parties treats messages.
enum class LinkState {
    up,    ///< Messages arrive after 1 to 3 ms and may be reordered.
    drop,  ///< The link is partitioned: new messages and messages held earlier are lost.
    hold,  ///< The link is partitioned: messages are queued and delivered when the link is up again.
};

/// A simulated network that delivers messages between parties identified by strings: controllers by name
/// ("n0"), machines by id, "state" (the key-value store), "cloud" and "users".
class FakeNetwork {
  public:
    FakeNetwork(SimulatedClock& clock, RandomSource& random) : clock_(clock), random_(random) {}

    /// Sets the state of the link between two parties, for both directions.
    void set_link(const std::string& one, const std::string& other, LinkState state);
    [[nodiscard]] LinkState link_state(const std::string& one, const std::string& other) const;

    /// Sends a message: runs `deliver` when the message arrives, never within this call. `deliver` is
    /// discarded if the message is lost.
    void send(const std::string& from, const std::string& to, std::function<void()> deliver);

    /// Probability that a message is lost on a link that is up.
    double loss_probability = 0;
    /// Parties that can send messages but receive none: every message to them is lost.
    std::set<std::string> parties_without_inbound;

  private:
    using LinkEndpoints = std::pair<std::string, std::string>;  // sorted names of the link's two parties
    static LinkEndpoints endpoints(const std::string& one, const std::string& other) {
        return std::minmax(one, other);
    }
    SimulatedClock& clock_;
    RandomSource& random_;
    std::map<LinkEndpoints, LinkState> links_;
    std::map<LinkEndpoints, std::vector<std::function<void()>>> held_messages_;
};

}  // namespace zincdyke::testing
