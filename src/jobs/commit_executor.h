/// Builds the transactions that commit queued task starts and ends, sends them to the key-value store and
/// handles the store's responses.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "jobs/commit_queue.h"
#include "jobs/job_record_writer.h"
#include "jobs/team_locks.h"
#include "jobs/transaction_builder.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Receives the outcomes of operations and transactions from CommitExecutor, on the event-loop thread.
class CommitObserver {
  public:
    CommitObserver() = default;
    CommitObserver(const CommitObserver&) = delete;
    CommitObserver& operator=(const CommitObserver&) = delete;
    virtual ~CommitObserver() = default;

    /// Reports that an operation left the commit queue: either its task is in the state that the operation
    /// requested (`is_committed`), or the operation was rejected and will not be retried.
    virtual void on_operation_finished(const JobId& job, PendingOperation& operation, bool is_committed) = 0;
    /// Reports a committed transaction, after on_operation_finished() was called for each of its operations.
    virtual void on_transaction_committed(const Transaction& transaction, Revision revision) = 0;
};

/// Commits queued operations, one transaction per commit queue at a time, and requeues the operations of
/// failed transactions. The executor must outlive the timers and store requests that it starts.
class CommitExecutor {
  public:
    /// Totals of the commit transactions that this node sent, and of the task starts and task ends
    /// (completions and releases) that they committed, since the process started.
    struct Counts {
        std::uint64_t sent_transactions = 0, written_pages = 0, committed_task_starts = 0,
                      committed_task_ends = 0, transaction_conflicts = 0;
    };

    /// Keeps all reference arguments; they must outlive the executor.
    CommitExecutor(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                   ClusterCoordinator& cluster, CommitQueue& queue, JobRecordWriter& record_writer,
                   CommitObserver& observer);
    /// Builds and sends the next transaction of a commit queue. The transaction may exceed `max_writes` by
    /// the writes for its last page. Sends nothing if no operation of the queue can be committed now.
    void commit_next(const CommitQueueKey& key, std::size_t max_writes);
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    [[nodiscard]] bool ensure_team_lock(const CommitQueueKey& key);
    [[nodiscard]] BuiltTransaction build_transaction(const CommitQueueKey& key, std::size_t max_writes);
    void handle_notices(std::vector<BuildNotice>& notices);
    void on_committed(const CommitQueueKey& key, BuiltTransaction& built, Revision revision);
    void on_not_committed(const CommitQueueKey& key, BuiltTransaction& built, const CommitResult& result);
    void requeue_operations(BuiltTransaction& built, const CommitResult& result, Duration delay);
    void reread_records(const CommitQueueKey& key, const std::vector<std::string>& record_keys);

    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    CommitQueue& queue_;
    JobRecordWriter& record_writer_;
    CommitObserver& observer_;
    TeamLocks locks_;
    Counts counts_;
};

}  // namespace zincdyke
