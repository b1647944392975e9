#include "jobs/team_locks.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace zincdyke {
namespace {
constexpr Duration retry_pause = std::chrono::milliseconds(150);
// A live holder keeps the lock for so long: two controllers that can't reach each other would take it from
// one another before either had read the model and committed anything.
constexpr Duration shortest_hold = std::chrono::seconds(1);
}  // namespace

TeamLocks::TeamLocks(Env& env, StoreClient& store, StateCache& model, ClusterCoordinator& cluster,
                     NodeName self)
    : env_(env), store_(store), state_cache_(model), cluster_(cluster), self_(std::move(self)) {}

std::optional<Revision> TeamLocks::token(const TeamName& team) {
    Lock& lock = locks_[team];
    if (!lock.token || lock.taking) return std::nullopt;
    // A newer version of the record is another controller's, or was written by a late request of our own.
    if (state_cache_.version(keys::team_lock(team)) > *lock.token) {
        lock.token.reset();
        return std::nullopt;
    }
    // A model read anew from a list may lack what this process committed while the list was read.
    if (lock.model_generation != state_cache_.generation()) {
        lock.model_generation = state_cache_.generation();
        lock.complete_from = std::max(*lock.token, lock.last_commit);
    }
    if (state_cache_.applied_revision < lock.complete_from) return std::nullopt;
    return lock.token;
}

void TeamLocks::take(const TeamName& team) {
    Lock& lock = locks_[team];
    if (lock.taking) return;
    const bool held = lock.token && state_cache_.version(keys::team_lock(team)) <= *lock.token;
    if (!held && other_may_use(team, lock)) return;
    lock.taking = true;
    if (held) return await_model(team);  // only the model has to catch up
    lock.token.reset();
    write_record(team);
}

bool TeamLocks::other_may_use(const TeamName& team, Lock& lock) const {
    const NodeName& holder = state_cache_.team_lock_holder(team);
    if (holder.empty() || holder == self_ || !cluster_.is_live(holder)) return false;
    const Revision version = state_cache_.version(keys::team_lock(team));
    if (lock.other_version != version) {
        lock.other_version = version;
        lock.other_since = env_.now();
    }
    return env_.now() - lock.other_since < shortest_hold;
}

void TeamLocks::write_record(const TeamName& team) {
    const std::string key = keys::team_lock(team);
    Transaction txn;
    txn.conditions.push_back({key, state_cache_.version(key)});
    txn.writes.push_back({key, Json{{"node", self_.value()}}, std::nullopt});
    store_.commit(txn, RequestPriority::report, [this, team, key](const CommitResult& result) {
        if (result.outcome == Outcome::ok) {
            Lock& lock = locks_[team];
            lock.token = lock.last_commit = lock.complete_from = result.revision;
            log::info("event=team_lock_taken team={} token={}", team.value(), result.revision.value());
            state_cache_.apply({key, Json{{"node", self_.value()}}, result.revision});
            return await_model(team);
        }
        env_.after(result.outcome == Outcome::conflict ? Duration(0) : retry_pause,
                   [this, team] { read_record(team); });
    });
}

// The record's present version: another controller has written it, or a request of ours that had no answer.
void TeamLocks::read_record(const TeamName& team) {
    const std::string key = keys::team_lock(team);
    store_.get(key, RequestPriority::report, [this, team, key](const GetResult& result) {
        if (result.outcome == Outcome::ok) state_cache_.apply({key, result.value, result.version});
        locks_[team].taking = false;
    });
}

void TeamLocks::await_model(const TeamName& team) {
    cluster_.read_through([this, team](bool fresh) {
        locks_[team].taking = false;
        if (fresh && on_held) on_held(team);
    });
}

void TeamLocks::committed(const TeamName& team, Revision at) {
    Lock& lock = locks_[team];
    lock.last_commit = std::max(lock.last_commit, at);
    // The model was read anew while the commit was under way, and may lack the commit's job.
    if (lock.model_generation != state_cache_.generation())
        lock.complete_from = std::max(lock.complete_from, at);
}

void TeamLocks::invalidate(const TeamName& team) { locks_[team].token.reset(); }

}  // namespace zincdyke
