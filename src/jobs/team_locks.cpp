#include "jobs/team_locks.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr Duration retry_delay = std::chrono::milliseconds(150);
// A live holder keeps the lock for so long: two controllers that can't reach each other would take it from
// one another before either had read the state and committed anything (TeamLock.TwoThatCannotReachEachOther).
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

std::optional<Revision> TeamLocks::token(const TeamName& team) {
    Lock& lock = locks_[team];
    if (lock.state != LockState::held) return std::nullopt;
    // A newer version of the record is another controller's, or was written by a late request of our own.
    if (state_cache_.version(keys::team_lock(team)) > lock.token) {
        lock.state = LockState::not_held;
        return std::nullopt;
    }
    // A cache that was reloaded from a list may lack what this process committed while the list was read.
    if (lock.generation != state_cache_.generation()) {
        lock.generation = state_cache_.generation();
        lock.complete_from = std::max(lock.token, lock.last_commit);
    }
    if (state_cache_.applied_revision < lock.complete_from) return std::nullopt;
    return lock.token;
}

void TeamLocks::acquire(const TeamName& team) {
    Lock& lock = locks_[team];
    if (lock.state == LockState::acquiring || lock.state == LockState::catching_up) return;
    const bool is_ours =
        lock.state == LockState::held && state_cache_.version(keys::team_lock(team)) <= lock.token;
    if (is_ours) {
        lock.state = LockState::catching_up;
        return catch_up(team);
    }
    if (is_left_to_other(team, lock)) return;
    lock.state = LockState::acquiring;
    write_record(team);
}

bool TeamLocks::is_left_to_other(const TeamName& team, Lock& lock) const {
    const NodeName& holder = state_cache_.team_lock_holder(team);
    if (holder.empty() || holder == self_ || !cluster_.is_live(holder)) return false;
    const Revision version = state_cache_.version(keys::team_lock(team));
    if (lock.other.version != version) lock.other = {version, env_.now()};
    return env_.now() - lock.other.first_seen < min_hold_time;
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
            lock.token = lock.last_commit = lock.complete_from = result.revision;
            log::info("event=team_lock_acquired team={} token={}", team.value(), result.revision.value());
            state_cache_.apply({key, records::encode_team_lock_holder(self_), result.revision});
            return catch_up(team);
        }
        env_.after(result.outcome == Outcome::conflict ? Duration(0) : retry_delay,
                   [this, team] { read_record(team); });
    });
}

// The record's present version: another controller has written it, or a request of ours that had no answer.
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

void TeamLocks::on_committed(const TeamName& team, Revision revision) {
    Lock& lock = locks_[team];
    lock.last_commit = std::max(lock.last_commit, revision);
    // The cache was reloaded while the commit was under way, and may lack the commit's job.
    if (lock.generation != state_cache_.generation())
        lock.complete_from = std::max(lock.complete_from, revision);
}

void TeamLocks::invalidate(const TeamName& team) {
    Lock& lock = locks_[team];
    // While it catches up, the read that is under way ends the acquisition without a token.
    lock.state = lock.state == LockState::held || lock.state == LockState::not_held ? LockState::not_held
                                                                                    : LockState::acquiring;
}

}  // namespace zincdyke
