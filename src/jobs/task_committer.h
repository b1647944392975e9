/// Commits what happens to tasks: a start before its machine is commanded, an end before its user learns of
/// it. Those of one job come together at its committer (ClusterCoordinator::committer_of), whoever leads the
/// machines: a page of tasks that every leader wrote for itself would cost a conflict for each write that
/// counted.
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

/// Takes operations over from this node and its peers, routes them to their committer and delivers results.
/// All runs on the event loop; it must outlive the loop's timers and requests.
class TaskCommitter : private CommitObserver {
  public:
    /// `forwarded` and `reclaimed` count operations of this node that another committer was to commit.
    struct Counts {
        std::uint64_t sent_transactions = 0, written_pages = 0, committed_starts = 0, committed_ends = 0,
                      conflicts = 0, forwarded_operations = 0, reclaimed_operations = 0;
    };

    /// The references must outlive the committer.
    TaskCommitter(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                  ClusterCoordinator& cluster, PeerChannel& peers);
    /// Begins to look after what was forwarded.
    void start();

    /// Commits a start, on the conditions that the job is not cancelled, that this node still leads the
    /// machine's shard and that the team has quota. `on_result` is called once, from the event loop.
    void commit_start(const TaskRef& task, const MachineId& machine, const std::string& zone,
                      StartCallback on_result);
    /// The attempt ended well, as its worker reported.
    void commit_completion(const TaskRef& task, Attempt attempt, const MachineId& machine);
    /// The attempt is over, or surely never began; the reason is for the log.
    void commit_release(const TaskRef& task, Attempt attempt, const MachineId& machine, ReleaseReason reason);
    /// Whether an end of this attempt waits to be committed: it must not be ordered to run again meanwhile.
    [[nodiscard]] bool has_pending_end(const TaskRef& task, Attempt attempt) const;

    /// A leader forwards operations to this node.
    void on_commit_request(const NodeName& from, const wire::CommitRequest& request);
    /// A committer answers what this node forwarded.
    void on_commit_response(const wire::CommitResponse& response);
    /// A job's pages became smaller: what waits is sorted into them.
    void on_pages_resized(const JobId& id);

    /// Turns a job that is over into its final record.
    void close_job(const JobId& id);

    /// Operations that wait at this node or are in a transaction of it.
    [[nodiscard]] std::size_t queue_length() const { return pending_count_; }
    /// How much this node has to commit, smoothed; to be called once for each heartbeat to the peers.
    [[nodiscard]] double sample_write_demand();
    [[nodiscard]] Counts counts() const;

  private:
    // What a heartbeat may repeat while it is not finished.
    struct UnfinishedKey {
        TaskRef task;
        OperationKind kind = OperationKind::start;
        Attempt attempt = 0;
        auto operator<=>(const UnfinishedKey&) const = default;
    };
    void accept(const JobId& job, PendingOperation operation);
    void enqueue(const JobId& job, PendingOperation operation);
    void deliver_result(const JobId& job, PendingOperation& operation, bool is_committed);
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
    std::set<UnfinishedKey> unfinished_;  // of this node's own operations
    std::size_t pending_count_ = 0;
    std::uint64_t sampled_pages_ = 0;
    double write_demand_ = 0;
};

}  // namespace zincdyke
