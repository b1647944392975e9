/// Team locks, which make one controller at a time the committer of all task starts of a team with a quota
/// limit. A lock is a record of the key-value store. Its version is the fencing token, which is a condition
/// of every commit of the team's task starts and changes only when the lock is acquired. The holder therefore
/// has all starts of the team in its state cache: it reads the starts of earlier holders after it has
/// acquired the lock, and commits all later starts itself.
#pragma once
#include <functional>
#include <map>
#include <optional>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Acquires team locks and tracks which of them this process holds. Must outlive the timers and store
/// requests that it starts.
class TeamLocks {
  public:
    /// Called on the event-loop thread after acquire(), when the state cache is up to date and
    /// fencing_token() may return a token.
    using ReadyCallback = std::function<void(const TeamName& team)>;

    /// Keeps all reference arguments; they must outlive this object. `self` is the name of this node.
    TeamLocks(Env& env, StoreClient& store, StateCache& state_cache, ClusterCoordinator& cluster,
              NodeName self, ReadyCallback on_ready);
    /// Returns the fencing token of a team lock if this process holds the lock and the state cache contains
    /// every task of the team that may be placed on a machine; otherwise returns nothing.
    [[nodiscard]] std::optional<Revision> fencing_token(const TeamName& team);
    /// Starts an attempt to acquire a team lock. Failed attempts are not retried: callers repeat the call
    /// while they have starts to commit.
    void acquire(const TeamName& team);
    /// Gives up a team lock after a commit with its fencing token had an unknown outcome: the store may still
    /// execute that commit until the lock is acquired again with a new token.
    void invalidate(const TeamName& team);

  private:
    enum class LockState : std::uint8_t {
        not_held,
        acquiring,    // the lock record is being written, or is being read again after a failed write
        catching_up,  // the lock is acquired, and the state cache is being brought up to date
        held
    };
    struct OtherHolder {
        Revision version;  // version of the lock record that the other controller wrote
        SteadyTime first_seen_at{};
    };
    struct Lock {
        LockState state = LockState::not_held;
        Revision fencing_token;  // version of the lock record that this process wrote
        OtherHolder other_holder;
    };
    [[nodiscard]] bool must_wait_for_other_holder(const TeamName& team, Lock& lock) const;
    void write_record(const TeamName& team);
    void read_record(const TeamName& team);
    void catch_up(const TeamName& team);

    Env& env_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    const NodeName self_;
    const ReadyCallback on_ready_;
    std::map<TeamName, Lock> locks_;
};

}  // namespace zincdyke
