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
#include "jobs/team_locks.h"
#include "store/state_cache.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace zincdyke {

enum class TaskEvent : std::uint8_t { place, finish, release };

class TaskCommitter {
  public:
    TaskCommitter(Env& env, const Settings& settings, StoreClient& store, StateCache& model,
                  ClusterCoordinator& cluster, PeerChannel& peers);
    void start();
    void on_commit_request(const NodeName& from, const wire::CommitRequest& m);
    void on_commit_response(const wire::CommitResponse& m);
    using Done = std::function<void(bool placed)>;
    // A start: committed on the conditions that the job is not cancelled, that this node still owns the
    // machine's part and that the team has room.
    void commit_start(const TaskRef& t, const MachineId& m, const std::string& zone, Done done);
    void commit_completion(const TaskRef& t, Attempt a, const MachineId& m);
    // The attempt is over, or surely never began; `why` is for the log.
    void commit_release(const TaskRef& t, Attempt a, const MachineId& m, const char* why);
    // An end of this attempt waits to be committed: it must not be ordered to run again meanwhile.
    bool has_pending_end(const TaskRef& t, Attempt a) const {
        return waiting_.contains({t, {TaskEvent::finish, a}}) ||
               waiting_.contains({t, {TaskEvent::release, a}});
    }
    // A job's pages became smaller: what waits is sorted into them.
    void on_pages_resized(const JobId& id);
    // Turns a job that is over into its final record.
    void close_job(const JobId& id);
    std::size_t queue_length() const { return ops_; }
    // How much this node has to commit, smoothed; once for each beat.
    double sample_write_demand();
    struct Counts {
        std::uint64_t commits = 0, pages = 0, starts = 0, ends = 0, conflicts = 0, forwarded = 0,
                      reclaimed = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    struct Op {
        TaskEvent event = TaskEvent::place;
        TaskIndex task = 0;
        Attempt attempt = 0;
        MachineId machine;
        std::string zone;
        const char* why = "";
        // The term under which this was decided. Evidence gathered in one term proves nothing in another:
        // between the two, another owner may have renewed the lease or started the task again.
        Term term;
        SteadyTime since;
        Done done;
        NodeName from;                 // the owner that sent it here; empty: this node
        std::uint64_t request_id = 0;  // that owner's name for it
    };
    struct PageKey {
        JobId job;
        std::uint32_t page = 0;
        auto operator<=>(const PageKey&) const = default;
    };
    // What is committed one after another: the starts of a limited team, or else what happens on one page.
    struct LaneKey {
        TeamName team;
        PageKey page;  // where `team` is empty
        auto operator<=>(const LaneKey&) const = default;
    };
    struct Lane {
        std::map<PageKey, std::vector<Op>> ops;
        bool in_flight = false;
        std::optional<SteadyTime> due;
    };
    // An operation of ours that is at its job's home.
    struct Remote {
        JobId job;
        Op op;
        NodeName home;
        Revision home_session;  // of the process that was asked
        SteadyTime asked;
    };
    // A transaction in the making, and the operations that it carries out.
    struct Draft {
        Transaction txn;
        std::vector<std::pair<PageKey, std::vector<Op>>> taken;
        std::map<std::uint32_t, Term> parts;  // whose owners' terms the operations were judged under
        std::map<JobId, std::string> zones;   // of one-zone jobs with starts in this draft
        std::set<JobId> moved;                // jobs whose record names their new zone
        QuotaUsage use;                       // of the lane's team, this draft's starts and ends included
        std::size_t bytes = 0;
        bool urgent = false;
    };
    void enqueue(const TaskRef& t, Op op);
    void queue(const JobId& job, Op op);
    void send_outbox();
    void take_back();
    bool given_up(const Remote& r) const;
    Revision session_of(const NodeName& node) const;
    Duration gather_time(const Op& op, const PageKey& page, std::size_t waiting) const;
    bool near_team_limit(const Job& j) const;
    void answer(const JobId& job, Op& op, bool done);
    void send_results(const Transaction* txn, Revision r);
    LaneKey lane_of(const PageKey& page, TaskEvent event) const;
    void schedule(const LaneKey& key, Duration d);
    void arm(SteadyTime at);
    void pump();
    void flush(const LaneKey& key, std::size_t most_writes);
    bool may_start(const LaneKey& key);
    void on_committed(const LaneKey& key, Draft& d, const CommitResult& r);
    void on_not_committed(const LaneKey& key, Draft& d, const CommitResult& r);
    Draft draft(const LaneKey& key, std::size_t most_writes);
    std::map<PageKey, std::vector<Op>>::iterator next_page(Lane& lane) const;
    bool has_room(const Draft& d, const Job* j, std::size_t most_writes) const;
    std::vector<Op> with_waiting_ends(const PageKey& page, std::vector<Op> ops);
    void add_page(Draft& d, const PageKey& page, std::vector<Op> ops, std::vector<Op>& later);
    struct Applied {
        std::vector<TaskState> tasks;  // the page's, after the operations
        std::vector<Op> used, later;   // done in this draft, left for another
    };
    Applied apply_all(Draft& d, const PageKey& page, const Job* j, std::vector<Op> ops);
    bool fits_a_record(std::size_t tasks, std::size_t bytes) const;
    void put_back(const JobId& job, Op op, Duration pause);
    void resize_pages(const Job& j);
    static std::size_t conditions_for(const Job* j);
    void add_writes(Draft& d, const PageKey& page, const Job& j, const std::vector<TaskState>& tasks,
                    Json record);
    PageKey page_key_of(const JobId& job, TaskIndex task) const;
    std::optional<Term> valid_term(const Op& op, std::uint32_t part) const;
    bool zone_allowed(const Job& j, const std::string& zone, const Draft& d) const;
    bool apply(const Job& j, Op& op, std::vector<TaskState>& tasks, std::uint32_t page, QuotaUsage& use);
    void refresh(const LaneKey& lane, const std::vector<std::string>& wanted);
    static std::vector<std::string> keys_of(const Transaction& txn);
    void adopt(const Transaction& txn, Revision r);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    PeerChannel& peers_;
    TeamLocks locks_;
    std::map<LaneKey, Lane> lanes_;
    std::set<PageKey> pages_in_flight_;
    Env::TimerId timer_ = 0;
    SteadyTime timer_at_{};
    std::map<std::uint64_t, Remote> remote_;  // by ticket
    std::map<std::pair<NodeName, JobId>, std::vector<std::uint64_t>> outbox_;
    bool outbox_armed_ = false, results_armed_ = false;
    std::uint64_t next_request_id_ = 0;
    std::map<NodeName, std::vector<wire::OperationResult>> results_;
    Counts counts_;
    std::uint64_t pages_told_ = 0;
    double demand_ = 0;
    std::set<std::pair<TaskRef, std::pair<TaskEvent, Attempt>>> waiting_;
    std::set<JobId> closing_;
    std::set<JobId> resizing_;
    std::size_t ops_ = 0;
};

}  // namespace zincdyke
