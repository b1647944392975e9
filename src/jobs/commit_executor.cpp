#include "jobs/commit_executor.h"

#include <set>
#include <utility>

#include "base/log.h"
#include "jobs/committed_records.h"
#include "store/keys.h"

namespace zincdyke {
namespace {
constexpr Duration retry_delay = std::chrono::milliseconds(150);
constexpr Duration invalid_retry_delay = std::chrono::seconds(2);
constexpr Duration refreshed_retry_delay = std::chrono::milliseconds(30);
constexpr Duration lock_poll_interval = std::chrono::milliseconds(100);

std::vector<std::string> condition_keys(const Transaction& transaction) {
    std::vector<std::string> names;
    for (const auto& condition : transaction.conditions) names.push_back(condition.key);
    return names;
}

template <class... Fns>
struct Overloaded : Fns... {
    using Fns::operator()...;
};
template <class... Fns>
Overloaded(Fns...) -> Overloaded<Fns...>;
}  // namespace

CommitExecutor::CommitExecutor(Env& env, const Settings& settings, StoreClient& store,
                               StateCache& state_cache, ClusterCoordinator& cluster, CommitQueue& queue,
                               JobRecordWriter& record_writer, CommitObserver& observer)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(state_cache),
      cluster_(cluster),
      queue_(queue),
      record_writer_(record_writer),
      observer_(observer),
      locks_(env, store, state_cache, cluster, settings.node,
             [this](const TeamName& team) { queue_.wake(team); }) {}

// Starts of a limited team go only under its lock. Without it they wait, for as long as a start may.
bool CommitExecutor::holds_team_lock(const CommitQueueKey& key) {
    if (!key.is_of_team() || locks_.token(key.team)) return true;
    for (auto& [job, operation] : queue_.remove_expired_starts(key))
        observer_.on_operation_finished(job, operation, false);
    if (!queue_.contains(key)) return false;
    locks_.acquire(key.team);
    queue_.schedule(key, lock_poll_interval);
    return false;
}

BuiltTransaction CommitExecutor::build(const CommitQueueKey& key, std::size_t max_writes) {
    BuildContext context;
    context.now = env_.now();
    context.max_writes = max_writes;
    context.store_rejected_value = store_.has_rejected_value();
    if (key.is_of_team()) context.lock = TeamLockToken{key.team, *locks_.token(key.team)};
    context.own_leader_term = [this](std::uint32_t shard) { return cluster_.term(shard); };
    return queue_.build(key, TransactionBuilder(state_cache_, settings_, std::move(context)));
}

void CommitExecutor::act_on(std::vector<BuildNotice>& notices) {
    for (auto& notice : notices)
        std::visit(
            Overloaded{[this](SettledOperation& settled) {
                           observer_.on_operation_finished(settled.job, settled.operation,
                                                           settled.is_committed);
                       },
                       [](const PageFull& full) {
                           log::warn("event=page_full job={} page={}", full.page.job.value(), full.page.page);
                       },
                       [this](const PageResizeNeeded& needed) { record_writer_.resize_pages(needed.job); }},
            notice);
}

void CommitExecutor::commit_next(const CommitQueueKey& key, std::size_t max_writes) {
    if (!holds_team_lock(key)) return;
    auto built = std::make_shared<BuiltTransaction>(build(key, max_writes));
    act_on(built->notices);
    if (built->operations.empty()) return queue_.resume(key);
    queue_.begin_transaction(key, built->operations);
    ++counts_.sent_transactions;
    store_.commit(built->transaction, built->has_ends ? RequestPriority::report : RequestPriority::decision,
                  [this, key, built](const CommitResult& result) {
                      queue_.end_transaction(key, built->operations);
                      if (result.outcome == Outcome::ok)
                          on_committed(key, *built, result.revision);
                      else
                          on_not_committed(key, *built, result);
                  });
}

void CommitExecutor::on_committed(const CommitQueueKey& key, BuiltTransaction& built, Revision revision) {
    apply_committed(state_cache_, built.transaction, revision);
    if (key.is_of_team()) locks_.on_committed(key.team, revision);
    counts_.written_pages += built.operations.size();
    for (auto& [page, operations] : built.operations)
        for (auto& operation : operations) {
            ++(operation.is_start() ? counts_.committed_starts : counts_.committed_ends);
            log::info("event={} task={} machine={} term={} reason={} revision={}",
                      committed_event_name(operation), TaskRef{page.job, operation.task}.str(),
                      operation.machine.value(), operation.term.value(), log_reason(operation),
                      revision.value());
            observer_.on_operation_finished(page.job, operation, true);
        }
    observer_.on_transaction_committed(built.transaction, revision);
    queue_.resume(key);
}

// Not known to be done: the operations go back and are built into another transaction. That names the same
// versions as the old one or newer ones, so that at most one of the two can ever be carried out; and a team's
// starts go on under a new token, so that none of the old one's is carried out after the team's tasks were
// counted.
void CommitExecutor::on_not_committed(const CommitQueueKey& key, BuiltTransaction& built,
                                      const CommitResult& result) {
    if (result.outcome == Outcome::conflict) ++counts_.conflicts;
    if (result.outcome == Outcome::unknown && key.is_of_team()) locks_.invalidate(key.team);
    // An invalid one was rejected for good as it is: what can make it smaller takes its time.
    const Duration delay = result.outcome == Outcome::invalid_request ? invalid_retry_delay : retry_delay;
    put_back(built, result, delay);
    if (result.outcome == Outcome::not_executed) return queue_.schedule(key, delay);
    if (result.outcome == Outcome::invalid_request) {
        log::error("event=commit_rejected team={} job={} writes={}", key.team.value(), key.page.job.value(),
                   built.transaction.writes.size());
        return queue_.schedule(key, delay);
    }
    const bool names_failed = result.outcome == Outcome::conflict && !result.failed.empty();
    refresh(key, names_failed ? result.failed : condition_keys(built.transaction));
}

// Ends that came along with starts go back to where they need no lock.
void CommitExecutor::put_back(BuiltTransaction& built, const CommitResult& result, Duration delay) {
    const std::set<std::string> failed(result.failed.begin(), result.failed.end());
    for (auto& [page, operations] : built.operations)
        for (auto& operation : operations) {
            const bool is_term_over = failed.contains(keys::shard(state_cache_.shard_of(operation.machine)));
            // A peer's term that is over: its successor will see for itself.
            if (operation.forwarded && is_term_over)
                observer_.on_operation_finished(page.job, operation, false);
            else
                queue_.put_back(page.job, std::move(operation), delay);
        }
}

// Reads the records whose versions may have been too old, before the next try.
void CommitExecutor::refresh(const CommitQueueKey& key, const std::vector<std::string>& record_keys) {
    queue_.begin_transaction(key, {});
    auto left = std::make_shared<std::size_t>(record_keys.size());
    for (const auto& record_key : record_keys)
        store_.get(record_key, RequestPriority::report, [this, key, record_key, left](const GetResult& read) {
            // Shards are read by the watch alone: a term counts only once all before it is known.
            const bool is_shard = keys::parse(record_key).kind == keys::Kind::shard;
            if (!is_shard && read.outcome == Outcome::ok)
                state_cache_.apply({record_key, read.value, read.version});
            if (!is_shard && read.outcome == Outcome::not_found &&
                state_cache_.version(record_key) != Revision{})
                state_cache_.apply({record_key, std::nullopt, read.version});
            if (--*left > 0) return;
            queue_.end_transaction(key, {});
            queue_.schedule(key, refreshed_retry_delay);
        });
}

}  // namespace zincdyke
