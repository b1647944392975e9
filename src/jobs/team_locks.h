// Which controller commits the starts of a limited team. The lock is a record of the state service, and its
// version a fencing token: the commit of every start of the team names it as a condition, and only taking the
// lock writes it. Its holder therefore knows all starts of the team: those before it took the lock by
// reading, those since as its own.
#pragma once
#include <functional>
#include <map>
#include <optional>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

class TeamLocks {
  public:
    TeamLocks(Env& env, StoreClient& store, StateCache& model, ClusterCoordinator& cluster, NodeName self);
    // The fencing token, if this process holds the lock and the model shows every task of the team that may
    // be on a machine; nothing otherwise.
    std::optional<Revision> token(const TeamName& team);
    // Tries to take the lock; to be called again while there are starts to commit. `on_held` tells when they
    // may be.
    void take(const TeamName& team);
    // A start was committed under the token, and its page is in the model.
    void committed(const TeamName& team, Revision at);
    // A commit under the token had no answer: it may be carried out at any time until the lock is taken anew.
    void invalidate(const TeamName& team);
    std::function<void(const TeamName&)> on_held;

  private:
    struct Lock {
        std::optional<Revision> token;  // of the record as this process wrote it
        Revision last_commit;           // newest start under the token
        Revision complete_from;  // the model is complete for this team once it has been read up to here
        std::uint64_t model_generation = 0;
        bool taking = false;
        Revision other_version;    // the record as another controller wrote it,
        SteadyTime other_since{};  // and when it was first seen
    };
    bool other_may_use(const TeamName& team, Lock& lock) const;
    void write_record(const TeamName& team);
    void read_record(const TeamName& team);
    void await_model(const TeamName& team);
    Env& env_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    const NodeName self_;
    std::map<TeamName, Lock> locks_;
};

}  // namespace zincdyke
