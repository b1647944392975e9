#include "jobs/commit_executor.h"

#include <set>
#include <utility>

#include "base/log.h"
#include "jobs/committed_records.h"
#include "store/keys.h"

namespace zincdyke {
namespace {
constexpr Duration commit_retry_delay = std::chrono::milliseconds(150);
constexpr Duration invalid_request_retry_delay = std::chrono::seconds(2);
constexpr Duration retry_delay_after_read = std::chrono::milliseconds(30);
constexpr Duration team_lock_poll_interval = std::chrono::milliseconds(100);

std::vector<std::string> condition_keys(const Transaction& transaction) {
    std::vector<std::string> record_keys;
    for (const auto& condition : transaction.conditions) record_keys.push_back(condition.key);
    return record_keys;
}

// A visitor for std::visit that combines several function objects.
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
             [this](const TeamName& team) { queue_.schedule_team_starts(team); }) {}

// Returns whether the operations of a commit queue may be committed now. Task starts of a team with a quota
// limit need the team lock. While this node does not hold the lock, it tries to acquire it, and the starts
// stay queued until they expire.
bool CommitExecutor::ensure_team_lock(const CommitQueueKey& key) {
    if (!key.is_team_queue() || locks_.fencing_token(key.team)) return true;
    for (auto& [job, operation] : queue_.remove_expired_starts(key))
        observer_.on_operation_finished(job, operation, false);
    if (!queue_.contains(key)) return false;
    locks_.acquire(key.team);
    queue_.schedule(key, team_lock_poll_interval);
    return false;
}

BuiltTransaction CommitExecutor::build_transaction(const CommitQueueKey& key, std::size_t max_writes) {
    BuildContext context;
    context.now = env_.now();
    context.max_writes = max_writes;
    context.store_rejected_value = store_.has_rejected_value();
    if (key.is_team_queue()) context.team_lock = TeamLockToken{key.team, *locks_.fencing_token(key.team)};
    context.own_leader_term = [this](std::uint32_t shard) { return cluster_.term(shard); };
    return queue_.build_transaction(key, TransactionBuilder(state_cache_, settings_, std::move(context)));
}

void CommitExecutor::handle_notices(std::vector<BuildNotice>& notices) {
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
    if (!ensure_team_lock(key)) return;
    auto built = std::make_shared<BuiltTransaction>(build_transaction(key, max_writes));
    handle_notices(built->notices);
    if (built->operations.empty()) return queue_.reschedule_or_remove(key);
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
    counts_.written_pages += built.operations.size();
    for (auto& [page, operations] : built.operations)
        for (auto& operation : operations) {
            ++(operation.is_start() ? counts_.committed_task_starts : counts_.committed_task_ends);
            log::info("event={} task={} machine={} term={} reason={} revision={}",
                      committed_event_name(operation), TaskRef{page.job, operation.task}.str(),
                      operation.machine.value(), operation.term.value(), log_reason(operation),
                      revision.value());
            observer_.on_operation_finished(page.job, operation, true);
        }
    observer_.on_transaction_committed(built.transaction, revision);
    queue_.reschedule_or_remove(key);
}

// Requeues the operations of a transaction that failed or had an unknown outcome. The next transaction's
// conditions name the same or newer record versions, so the store can execute at most one of the two. After
// an unknown outcome, a team's task starts also wait for a new fencing token. Otherwise, the store could
// still execute the old starts after the team's quota usage was computed without them.
void CommitExecutor::on_not_committed(const CommitQueueKey& key, BuiltTransaction& built,
                                      const CommitResult& result) {
    if (result.outcome == Outcome::conflict) ++counts_.transaction_conflicts;
    if (result.outcome == Outcome::unknown && key.is_team_queue()) locks_.invalidate(key.team);
    // The store rejects an invalid transaction again until the job has switched to smaller pages, which takes
    // some time.
    const Duration delay =
        result.outcome == Outcome::invalid_request ? invalid_request_retry_delay : commit_retry_delay;
    requeue_operations(built, result, delay);
    if (result.outcome == Outcome::not_executed) return queue_.schedule(key, delay);
    if (result.outcome == Outcome::invalid_request) {
        log::error("event=commit_rejected team={} job={} writes={}", key.team.value(), key.page.job.value(),
                   built.transaction.writes.size());
        return queue_.schedule(key, delay);
    }
    const bool has_failed_keys = result.outcome == Outcome::conflict && !result.failed_keys.empty();
    reread_records(key, has_failed_keys ? result.failed_keys : condition_keys(built.transaction));
}

// Returns the operations of a failed transaction to their commit queues. Task ends that shared a transaction
// with a team's starts return to the queue of their page, which needs no team lock.
void CommitExecutor::requeue_operations(BuiltTransaction& built, const CommitResult& result, Duration delay) {
    const std::set<std::string> failed_keys(result.failed_keys.begin(), result.failed_keys.end());
    for (auto& [page, operations] : built.operations)
        for (auto& operation : operations) {
            const bool is_term_over =
                failed_keys.contains(keys::shard(state_cache_.shard_of(operation.machine)));
            // An operation is not retried if the leader that forwarded it no longer leads the shard: the new
            // leader decides about the task again.
            if (operation.forwarded_request && is_term_over)
                observer_.on_operation_finished(page.job, operation, false);
            else
                queue_.requeue(page.job, std::move(operation), delay);
        }
}

// Reads the records whose cached versions may be outdated from the store, and then schedules the queue's next
// transaction.
void CommitExecutor::reread_records(const CommitQueueKey& key, const std::vector<std::string>& record_keys) {
    queue_.begin_transaction(key, {});
    auto remaining_reads = std::make_shared<std::size_t>(record_keys.size());
    for (const auto& record_key : record_keys)
        store_.get(record_key, RequestPriority::report,
                   [this, key, record_key, remaining_reads](const GetResult& result) {
                       // Shard records are applied only by the watch, because a new term must not be used
                       // before all earlier changes are in the state cache.
                       const bool is_shard = keys::parse(record_key).kind == keys::RecordKind::shard;
                       if (!is_shard && result.outcome == Outcome::ok)
                           state_cache_.apply({record_key, result.value, result.version});
                       if (!is_shard && result.outcome == Outcome::not_found &&
                           state_cache_.version(record_key) != Revision{})
                           state_cache_.apply({record_key, std::nullopt, result.version});
                       if (--*remaining_reads > 0) return;
                       queue_.end_transaction(key, {});
                       queue_.schedule(key, retry_delay_after_read);
                   });
}

}  // namespace zincdyke
