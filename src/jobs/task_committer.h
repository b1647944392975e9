/// Commits task starts and ends to the key-value store: a start before the worker receives the command, an
/// end before it is visible to users. All operations of a job are routed to one controller, its committer
/// (ClusterCoordinator::committer_of): if each shard leader wrote the job's pages itself, their commits would
/// conflict.
#pragma once
#include <cstdint>
#include <set>
#include <string>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "jobs/commit_executor.h"
#include "jobs/commit_forwarder.h"
#include "jobs/commit_queue.h"
#include "jobs/commit_responder.h"
#include "jobs/job_record_writer.h"
#include "jobs/pending_operation.h"
#include "store/state_cache.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Accepts task starts and ends from this node and its peers, routes each one to its job's committer and
/// delivers the result. Runs on the event-loop thread. The object must outlive the timers and requests that
/// it starts.
class TaskCommitter : private CommitObserver {
  public:
    /// Totals of this node's commit transactions, and of the task starts and task ends (completions and
    /// releases) that they committed, since the process started. `reclaimed_operations` counts forwarded
    /// operations that this node had to commit itself because their committer failed.
    struct Counts {
        std::uint64_t sent_transactions = 0, written_pages = 0, committed_task_starts = 0,
                      committed_task_ends = 0, transaction_conflicts = 0, forwarded_operations = 0,
                      reclaimed_operations = 0;
    };

    /// Keeps all reference arguments; they must outlive the committer.
    TaskCommitter(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                  ClusterCoordinator& cluster, PeerChannel& peers);
    /// Starts the periodic check for failed committers of forwarded operations.
    void start();

    /// Commits a task start, on the conditions that the job is not cancelled, that this node still leads the
    /// machine's shard and that the team has quota. `on_result` is called once, from the event loop.
    void commit_start(const TaskRef& task, const MachineId& machine, const std::string& zone,
                      StartCallback on_result);
    /// Commits that a task is done, after its worker reported the attempt as successful.
    void commit_completion(const TaskRef& task, Attempt attempt, const MachineId& machine);
    /// Commits that an attempt ended without completing its task, or was never started. The task becomes
    /// pending again. The reason is only logged.
    void commit_release(const TaskRef& task, Attempt attempt, const MachineId& machine, ReleaseReason reason);
    /// Returns whether a completion or release of this attempt is waiting to be committed, or may have been
    /// committed although the state cache does not show it yet. The worker must not be commanded to run the
    /// attempt in the meantime.
    [[nodiscard]] bool has_pending_end(const TaskRef& task, Attempt attempt) const;

    /// Handles operations that another shard leader forwarded to this node.
    void on_commit_request(const NodeName& from, const wire::CommitRequest& request);
    /// Handles a committer's response to operations that this node forwarded.
    void on_commit_response(const wire::CommitResponse& response);
    /// Regroups a job's queued operations by page after the job has switched to smaller pages.
    void on_pages_resized(const JobId& id);

    /// Replaces the record of a finished job by its final record.
    void close_job(const JobId& id);

    /// Returns the number of operations that are queued at this node or part of a transaction in flight.
    [[nodiscard]] std::size_t queue_length() const { return pending_count_; }
    /// Returns the smoothed number of pages that this node has to write per peer heartbeat interval. Call it
    /// once for each peer heartbeat that this node sends.
    [[nodiscard]] double sample_write_demand();
    [[nodiscard]] Counts counts() const;

  private:
    // Identifies an operation that this node decided and that is not finished. Workers repeat a task's status
    // in each heartbeat; this key prevents an operation from being accepted twice.
    struct UnfinishedKey {
        TaskRef task;
        OperationKind kind = OperationKind::start;
        Attempt attempt = 0;
        auto operator<=>(const UnfinishedKey&) const = default;
    };
    void accept(const JobId& job, PendingOperation operation);
    void enqueue(const JobId& job, PendingOperation operation);
    void deliver_result(const JobId& job, PendingOperation& operation, bool is_committed);
    void finish_operation(const UnfinishedKey& key);
    [[nodiscard]] bool is_end_of_placed_attempt(const UnfinishedKey& key) const;
    void on_operation_finished(const JobId& job, PendingOperation& operation, bool is_committed) override;
    void on_transaction_committed(const Transaction& transaction, Revision revision) override;

    Env& env_;
    const Settings& settings_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    PeerChannel& peers_;
    CommitForwarder forwarder_;
    CommitResponder responder_;
    JobRecordWriter record_writer_;
    CommitQueue queue_;
    CommitExecutor executor_;
    std::set<UnfinishedKey> unfinished_operations_;  // decided by this node
    std::size_t pending_count_ = 0;
    std::uint64_t sampled_written_pages_ = 0;
    double write_demand_ = 0;
};

}  // namespace zincdyke
