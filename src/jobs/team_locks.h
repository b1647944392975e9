/// Which controller commits the starts of a limited team. The lock is a record of the key-value store, and
/// its version a fencing token: the commit of every start of the team names it as a condition, and only
/// acquiring the lock writes it. Its holder therefore knows all starts of the team: those before it acquired
/// the lock by reading, those since as its own.
#pragma once
#include <functional>
#include <map>
#include <optional>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// The team locks as this process holds them. Must outlive the event loop's timers and requests.
class TeamLocks {
  public:
    /// Told, from the event loop, that the state cache has caught up after the lock was acquired or asked
    /// for: token() may have an answer now.
    using ReadyCallback = std::function<void(const TeamName& team)>;

    /// The references must outlive the locks. `self` is this node, as the records name it.
    TeamLocks(Env& env, StoreClient& store, StateCache& state_cache, ClusterCoordinator& cluster,
              NodeName self, ReadyCallback on_ready);
    /// The fencing token, if this process holds the lock and the state cache shows every task of the team
    /// that may be on a machine; nothing otherwise.
    [[nodiscard]] std::optional<Revision> token(const TeamName& team);
    /// Tries to acquire the lock; to be called again while there are starts to commit.
    void acquire(const TeamName& team);
    /// A start was committed under the token, and its page is in the state cache.
    void on_committed(const TeamName& team, Revision revision);
    /// A commit under the token had no answer: it may be carried out at any time until the lock is acquired
    /// anew.
    void invalidate(const TeamName& team);

  private:
    enum class LockState : std::uint8_t {
        not_held,
        acquiring,    // the record is being written, or read after that failed
        catching_up,  // ours; the state cache is being read up to the present
        held
    };
    struct OtherHolder {
        Revision version;  // of the record as another controller wrote it
        SteadyTime first_seen{};
    };
    struct Lock {
        LockState state = LockState::not_held;
        Revision token;                // of the record as this process wrote it
        Revision last_commit;          // newest start under the token
        Revision complete_from;        // the cache shows all of this team's tasks once read up to here
        std::uint64_t generation = 0;  // of the state cache, when `complete_from` was last judged
        OtherHolder other;
    };
    [[nodiscard]] bool is_left_to_other(const TeamName& team, Lock& lock) const;
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
