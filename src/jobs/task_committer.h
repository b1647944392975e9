// Commits what happens to tasks: starts before they are ordered, ends before they are told. Those of one job
// come together at its home (ClusterCoordinator::committer_of), whoever owns the machines: a page of tasks
// that every owner wrote for itself cost a conflict for each write that counted.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "jobs/commit_forwarder.h"
#include "jobs/commit_responder.h"
#include "jobs/job_record_writer.h"
#include "jobs/pending_operation.h"
#include "jobs/team_locks.h"
#include "store/state_cache.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace zincdyke {

class TaskCommitter {
  public:
    TaskCommitter(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                  ClusterCoordinator& cluster, PeerChannel& peers);
    void start();
    void on_commit_request(const NodeName& from, const wire::CommitRequest& request);
    void on_commit_response(const wire::CommitResponse& response);
    // A start: committed on the conditions that the job is not cancelled, that this node still leads the
    // machine's shard and that the team has quota.
    void commit_start(const TaskRef& task, const MachineId& machine, const std::string& zone,
                      StartCallback on_result);
    void commit_completion(const TaskRef& task, Attempt attempt, const MachineId& machine);
    // The attempt is over, or surely never began; the reason is for the log.
    void commit_release(const TaskRef& task, Attempt attempt, const MachineId& machine, ReleaseReason reason);
    // An end of this attempt waits to be committed: it must not be ordered to run again meanwhile.
    bool has_pending_end(const TaskRef& t, Attempt a) const {
        return undecided_.contains({t, {OperationKind::completion, a}}) ||
               undecided_.contains({t, {OperationKind::release, a}});
    }
    // A job's pages became smaller: what waits is sorted into them.
    void on_pages_resized(const JobId& id);
    // Turns a job that is over into its final record.
    void close_job(const JobId& id);
    std::size_t queue_length() const { return pending_; }
    // How much this node has to commit, smoothed; once for each beat.
    double sample_write_demand();
    struct Counts {
        std::uint64_t commits = 0, pages = 0, starts = 0, ends = 0, conflicts = 0, forwarded = 0,
                      reclaimed = 0;
    };
    [[nodiscard]] Counts counts() const;

  private:
    struct Lane {
        std::map<PageKey, std::vector<PendingOperation>> ops;
        bool in_flight = false;
        std::optional<SteadyTime> due;
    };
    // A transaction in the making, and the operations that it carries out.
    struct Draft {
        Transaction txn;
        std::vector<std::pair<PageKey, std::vector<PendingOperation>>> taken;
        std::map<std::uint32_t, Term> parts;  // whose owners' terms the operations were judged under
        std::map<JobId, std::string> zones;   // of one-zone jobs with starts in this draft
        std::set<JobId> moved;                // jobs whose record names their new zone
        QuotaUsage use;                       // of the lane's team, this draft's starts and ends included
        std::size_t bytes = 0;
        bool urgent = false;
    };
    void accept(const JobId& job, PendingOperation operation);
    void queue(const JobId& job, PendingOperation op);
    Duration gather_time(const PendingOperation& op, const PageKey& page, std::size_t waiting) const;
    bool near_team_limit(const Job& j) const;
    void deliver_result(const JobId& job, PendingOperation& operation, bool is_committed);
    CommitQueueKey lane_of(const PageKey& page, OperationKind event) const;
    void schedule(const CommitQueueKey& key, Duration d);
    void arm(SteadyTime at);
    void pump();
    void flush(const CommitQueueKey& key, std::size_t most_writes);
    bool may_start(const CommitQueueKey& key);
    void on_committed(const CommitQueueKey& key, Draft& d, const CommitResult& r);
    void on_not_committed(const CommitQueueKey& key, Draft& d, const CommitResult& r);
    Draft draft(const CommitQueueKey& key, std::size_t most_writes);
    std::map<PageKey, std::vector<PendingOperation>>::iterator next_page(Lane& lane) const;
    bool has_room(const Draft& d, const Job* j, std::size_t most_writes) const;
    std::vector<PendingOperation> with_waiting_ends(const PageKey& page, std::vector<PendingOperation> ops);
    void add_page(Draft& d, const PageKey& page, std::vector<PendingOperation> ops,
                  std::vector<PendingOperation>& later);
    struct Applied {
        std::vector<TaskState> tasks;               // the page's, after the operations
        std::vector<PendingOperation> used, later;  // done in this draft, left for another
    };
    Applied apply_all(Draft& d, const PageKey& page, const Job* j, std::vector<PendingOperation> ops);
    bool fits_a_record(std::size_t tasks, std::size_t bytes) const;
    void put_back(const JobId& job, PendingOperation op, Duration pause);
    static std::size_t conditions_for(const Job* j);
    void add_writes(Draft& d, const PageKey& page, const Job& j, const std::vector<TaskState>& tasks,
                    Json record);
    PageKey page_key_of(const JobId& job, TaskIndex task) const;
    std::optional<Term> valid_term(const PendingOperation& op, std::uint32_t part) const;
    bool zone_allowed(const Job& j, const std::string& zone, const Draft& d) const;
    bool apply(const Job& j, PendingOperation& op, std::vector<TaskState>& tasks, std::uint32_t page,
               QuotaUsage& use);
    void refresh(const CommitQueueKey& lane, const std::vector<std::string>& wanted);
    static std::vector<std::string> keys_of(const Transaction& txn);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    PeerChannel& peers_;
    TeamLocks locks_;
    std::map<CommitQueueKey, Lane> lanes_;
    std::set<PageKey> pages_in_flight_;
    Env::TimerId timer_ = 0;
    SteadyTime timer_at_{};
    CommitForwarder forwarder_;
    CommitResponder responder_;
    JobRecordWriter record_writer_;
    Counts counts_;
    std::uint64_t pages_told_ = 0;
    double demand_ = 0;
    std::set<std::pair<TaskRef, std::pair<OperationKind, Attempt>>> undecided_;
    std::size_t pending_ = 0;
};

}  // namespace zincdyke
