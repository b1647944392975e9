/// Commits what is queued: has transactions built, sends them, and acts on the store's answers.
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

/// Told of what CommitExecutor brings to an end.
class CommitObserver {
  public:
    CommitObserver() = default;
    CommitObserver(const CommitObserver&) = delete;
    CommitObserver& operator=(const CommitObserver&) = delete;
    virtual ~CommitObserver() = default;

    /// The operation is no longer queued: its task is as it asked for, or it will not be carried out.
    virtual void on_operation_finished(const JobId& job, PendingOperation& operation, bool is_committed) = 0;
    /// After the operations of a transaction that was carried out.
    virtual void on_transaction_committed(const Transaction& transaction, Revision revision) = 0;
};

/// Must outlive the event loop's timers and requests.
class CommitExecutor {
  public:
    struct Counts {
        std::uint64_t sent_transactions = 0, written_pages = 0, committed_starts = 0, committed_ends = 0,
                      conflicts = 0;
    };

    /// The references must outlive the executor.
    CommitExecutor(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                   ClusterCoordinator& cluster, CommitQueue& queue, JobRecordWriter& record_writer,
                   CommitObserver& observer);
    /// It is the queue's turn: sends its next transaction, of about `max_writes` at most, if there is one.
    void commit_next(const CommitQueueKey& key, std::size_t max_writes);
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    [[nodiscard]] bool holds_team_lock(const CommitQueueKey& key);
    [[nodiscard]] BuiltTransaction build(const CommitQueueKey& key, std::size_t max_writes);
    void act_on(std::vector<BuildNotice>& notices);
    void on_committed(const CommitQueueKey& key, BuiltTransaction& built, Revision revision);
    void on_not_committed(const CommitQueueKey& key, BuiltTransaction& built, const CommitResult& result);
    void put_back(BuiltTransaction& built, const CommitResult& result, Duration delay);
    void refresh(const CommitQueueKey& key, const std::vector<std::string>& record_keys);

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
