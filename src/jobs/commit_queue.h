/// Queues task starts and ends that this node commits, and schedules when each queue's next transaction is
/// built.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/env.h"
#include "jobs/pending_operation.h"
#include "jobs/transaction_builder.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Holds all commit queues of this node. Queues are processed in the order of their scheduled times, one
/// transaction per queue at a time. A transaction is built only when the write budget allows sending it;
/// until then, queued operations are grouped by page, so that the operations of a page share one write. The
/// object must outlive the timers that it starts.
class CommitQueue {
  public:
    /// Called on the event-loop thread when a queue's scheduled time has come and the write budget allows its
    /// transaction. The callee may send one transaction, which may exceed `max_writes` by the writes for its
    /// last page.
    using QueueDueCallback = std::function<void(const CommitQueueKey& key, std::size_t max_writes)>;
    /// An operation that was removed from its queue, with its job.
    struct RemovedOperation {
        JobId job;
        PendingOperation operation;
    };

    /// Keeps all reference arguments; they must outlive the queue. `store` is used only to query the write
    /// budget.
    CommitQueue(Env& env, StoreClient& store, const StateCache& state_cache, QueueDueCallback on_queue_due);

    /// Adds a new task start or end. How long the operation may wait for other operations of its page depends
    /// on its kind (start, completion or release) and on the write budget.
    void add(const JobId& job, PendingOperation operation);
    /// Returns an operation of a failed transaction to the queue, to be retried after `delay` at the latest.
    /// The page is computed again, since the job's page size may have changed.
    void requeue(const JobId& job, PendingOperation operation, Duration delay);
    /// Regroups a job's queued operations by page after the job has switched to smaller pages.
    void on_pages_resized(const JobId& id);

    /// Schedules the queue's next transaction after `delay` at the latest; an earlier scheduled time is kept.
    void schedule(const CommitQueueKey& key, Duration delay);
    /// Schedules the queued task starts of a team with a quota limit immediately. Call it when this node may
    /// hold the team lock.
    void schedule_team_starts(const TeamName& team);
    /// Removes and returns a queue's task starts that were queued for longer than `start_commit_timeout`.
    /// Removes the queue if it becomes empty.
    [[nodiscard]] std::vector<RemovedOperation> remove_expired_starts(const CommitQueueKey& key);
    [[nodiscard]] bool contains(const CommitQueueKey& key) const { return queues_.contains(key); }

    /// Builds the queue's next transaction from its pages in the order of job rank and age. Operations that
    /// the transaction doesn't include stay queued.
    [[nodiscard]] BuiltTransaction build_transaction(const CommitQueueKey& key, TransactionBuilder builder);
    /// Marks the queue and these pages as having a transaction in flight: until end_transaction(), the queue
    /// is not processed and no transaction of any queue includes the pages.
    void begin_transaction(const CommitQueueKey& key, const std::vector<PageOperations>& pages);
    /// Marks the queue and these pages as no longer in flight, after the store has responded or the request
    /// has failed.
    void end_transaction(const CommitQueueKey& key, const std::vector<PageOperations>& pages);
    /// Schedules the operations that are left in the queue after a transaction, or removes the queue if it is
    /// empty.
    void reschedule_or_remove(const CommitQueueKey& key);

    /// Returns the number of pages with queued operations; a page in two queues counts twice.
    [[nodiscard]] std::size_t queued_page_count() const;

  private:
    using OperationsByPage = std::map<PageKey, std::vector<PendingOperation>>;
    struct Queue {
        OperationsByPage pages;
        bool is_in_flight = false;
        std::optional<SteadyTime> scheduled_at;
    };
    [[nodiscard]] CommitQueueKey queue_key_for(const PageKey& page, OperationKind kind) const;
    [[nodiscard]] PageKey page_key_for(const JobId& id, TaskIndex task) const;
    [[nodiscard]] Duration batching_delay(const PendingOperation& operation, const PageKey& page,
                                          std::size_t queued_count) const;
    [[nodiscard]] Duration completion_batching_delay(const Job& job) const;
    [[nodiscard]] OperationsByPage::iterator most_urgent_page(Queue& queue) const;
    [[nodiscard]] std::vector<PendingOperation> with_queued_ends(const PageKey& page,
                                                                 std::vector<PendingOperation> starts);
    void set_timer(SteadyTime expiry);
    void process_due_queues();

    Env& env_;
    StoreClient& store_;
    const StateCache& state_cache_;
    const QueueDueCallback on_queue_due_;
    std::map<CommitQueueKey, Queue> queues_;
    std::set<PageKey> pages_in_flight_;
    Env::TimerId timer_ = 0;  // id of the timer for the next scheduled queue; 0 if no timer is set
    SteadyTime timer_expiry_{};
};

}  // namespace zincdyke
