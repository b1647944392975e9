#include "jobs/team_locks.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr Duration reread_delay = std::chrono::milliseconds(150);
// Minimum time for which a live holder keeps a team lock. Without it, two controllers that can't reach each
// other would take the lock from each other before either could commit a start.
constexpr Duration min_hold_time = std::chrono::seconds(1);
}  // namespace

TeamLocks::TeamLocks(Env& env, StoreClient& store, StateCache& state_cache, ClusterCoordinator& cluster,
                     NodeName self, ReadyCallback on_ready)
    : env_(env),
      store_(store),
      state_cache_(state_cache),
      cluster_(cluster),
      self_(std::move(self)),
      on_ready_(std::move(on_ready)) {}

std::optional<Revision> TeamLocks::fencing_token(const TeamName& team) {
    Lock& lock = locks_[team];
    if (lock.state != LockState::held) return std::nullopt;
    // If the lock record has a newer version, another controller or a delayed request of this process has
    // written it, and the fencing token is no longer valid.
    if (state_cache_.version(keys::team_lock(team)) > lock.fencing_token) {
        lock.state = LockState::not_held;
        return std::nullopt;
    }
    if (state_cache_.applied_revision < lock.fencing_token) return std::nullopt;
    return lock.fencing_token;
}

void TeamLocks::acquire(const TeamName& team) {
    Lock& lock = locks_[team];
    if (lock.state == LockState::acquiring || lock.state == LockState::catching_up) return;
    const bool is_still_held =
        lock.state == LockState::held && state_cache_.version(keys::team_lock(team)) <= lock.fencing_token;
    if (is_still_held) {
        lock.state = LockState::catching_up;
        return catch_up(team);
    }
    if (must_wait_for_other_holder(team, lock)) return;
    lock.state = LockState::acquiring;
    write_record(team);
}

bool TeamLocks::must_wait_for_other_holder(const TeamName& team, Lock& lock) const {
    const NodeName& holder = state_cache_.team_lock_holder(team);
    if (holder.empty() || holder == self_ || !cluster_.is_live(holder)) return false;
    const Revision version = state_cache_.version(keys::team_lock(team));
    if (lock.other_holder.version != version) lock.other_holder = {version, env_.now()};
    return env_.now() - lock.other_holder.first_seen_at < min_hold_time;
}

void TeamLocks::write_record(const TeamName& team) {
    const std::string key = keys::team_lock(team);
    Transaction transaction;
    transaction.conditions.push_back({key, state_cache_.version(key)});
    transaction.writes.push_back({key, records::encode_team_lock_holder(self_), std::nullopt});
    store_.commit(transaction, RequestPriority::report, [this, team, key](const CommitResult& result) {
        if (result.outcome == Outcome::ok) {
            Lock& lock = locks_[team];
            lock.state = LockState::catching_up;
            lock.fencing_token = result.revision;
            log::info("event=team_lock_acquired team={} token={}", team.value(), result.revision.value());
            state_cache_.apply({key, records::encode_team_lock_holder(self_), result.revision});
            return catch_up(team);
        }
        env_.after(result.outcome == Outcome::conflict ? Duration(0) : reread_delay,
                   [this, team] { read_record(team); });
    });
}

// Reads a lock record after a failed write. The record's version has changed if another controller wrote the
// record, or if the write succeeded and only its response was lost.
void TeamLocks::read_record(const TeamName& team) {
    const std::string key = keys::team_lock(team);
    store_.get(key, RequestPriority::report, [this, team, key](const GetResult& result) {
        if (result.outcome == Outcome::ok) state_cache_.apply({key, result.value, result.version});
        locks_[team].state = LockState::not_held;
    });
}

void TeamLocks::catch_up(const TeamName& team) {
    cluster_.await_fresh_state([this, team](bool is_fresh) {
        Lock& lock = locks_[team];
        lock.state = lock.state == LockState::catching_up ? LockState::held : LockState::not_held;
        if (is_fresh) on_ready_(team);
    });
}

void TeamLocks::invalidate(const TeamName& team) {
    Lock& lock = locks_[team];
    // While catch_up() is running, the state `acquiring` makes it end with `not_held` instead of `held`.
    lock.state = lock.state == LockState::held || lock.state == LockState::not_held ? LockState::not_held
                                                                                    : LockState::acquiring;
}

}  // namespace zincdyke
