/// Starts and ends that wait to be committed by this node, and when their turn is.
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

/// Operations by queue and page. Queues take their turns in the order of their due times, one transaction of
/// each at a time, and only when their writes may go: what waits for the write budget gathers meanwhile in
/// the same pages, and no transaction grows old waiting. Must outlive the event loop's timers.
class CommitQueue {
  public:
    /// It is this queue's turn, from the event loop: a transaction may be built and sent, of about
    /// `max_writes` at most.
    using TurnCallback = std::function<void(const CommitQueueKey& key, std::size_t max_writes)>;
    /// An operation that left the queue.
    struct RemovedOperation {
        JobId job;
        PendingOperation operation;
    };

    /// The references must outlive the queue. `store` is asked for its budget alone.
    CommitQueue(Env& env, StoreClient& store, const StateCache& state_cache, TurnCallback on_turn);

    /// Adds an operation; how long it waits for others of its page depends on its kind and the write budget.
    void add(const JobId& job, PendingOperation operation);
    /// Adds an operation again that was in a transaction, to be tried after `delay` at the latest: to the
    /// page that holds its task now, which may be another than before.
    void put_back(const JobId& job, PendingOperation operation, Duration delay);
    /// A job's pages became smaller: its operations are sorted into them.
    void on_pages_resized(const JobId& id);

    /// The queue's turn comes after `delay` at the latest.
    void schedule(const CommitQueueKey& key, Duration delay);
    /// The team's starts may go: their turn is at once, if there are any.
    void wake(const TeamName& team);
    /// Removes starts that waited for longer than `start_commit_timeout`, and the queue itself if nothing is
    /// left.
    [[nodiscard]] std::vector<RemovedOperation> remove_expired_starts(const CommitQueueKey& key);
    [[nodiscard]] bool contains(const CommitQueueKey& key) const { return queues_.contains(key); }

    /// Builds the queue's next transaction, by rank and age of its pages; what is left over stays queued.
    [[nodiscard]] BuiltTransaction build(const CommitQueueKey& key, TransactionBuilder builder);
    /// The queue takes no turn, and no queue writes these pages, until end_transaction().
    void begin_transaction(const CommitQueueKey& key, const std::vector<PageOperations>& pages);
    void end_transaction(const CommitQueueKey& key, const std::vector<PageOperations>& pages);
    /// After a transaction: the queue goes on with what is left, or goes.
    void resume(const CommitQueueKey& key);

    /// Pages with operations that wait, counted once for each queue.
    [[nodiscard]] std::size_t waiting_page_count() const;

  private:
    using OperationsByPage = std::map<PageKey, std::vector<PendingOperation>>;
    struct Queue {
        OperationsByPage pages;
        bool is_in_flight = false;
        std::optional<SteadyTime> due;
    };
    [[nodiscard]] CommitQueueKey queue_of(const PageKey& page, OperationKind kind) const;
    [[nodiscard]] PageKey page_of(const JobId& job, TaskIndex task) const;
    [[nodiscard]] Duration delay_of(const PendingOperation& operation, const PageKey& page,
                                    std::size_t waiting) const;
    [[nodiscard]] Duration completion_delay(const Job& job) const;
    [[nodiscard]] OperationsByPage::iterator next_page(Queue& queue) const;
    [[nodiscard]] std::vector<PendingOperation> with_waiting_ends(const PageKey& page,
                                                                  std::vector<PendingOperation> starts);
    void set_timer(SteadyTime at);
    void take_turns();

    Env& env_;
    StoreClient& store_;
    const StateCache& state_cache_;
    const TurnCallback on_turn_;
    std::map<CommitQueueKey, Queue> queues_;
    std::set<PageKey> pages_in_flight_;
    Env::TimerId timer_ = 0;
    SteadyTime timer_at_{};
};

}  // namespace zincdyke
