// Commits what happens to tasks: starts before they are ordered, ends before they are told.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/env.h"
#include "cluster/cluster.h"
#include "store/model.h"
#include "store/store.h"

namespace zd {

enum class TaskEvent : std::uint8_t { place, finish, release };

class Ledger {
  public:
    Ledger(Env& env, const Settings& settings, StoreClient& store, Model& model, Cluster& cluster);
    using Done = std::function<void(bool placed)>;
    // A start: committed on the conditions that the job is not cancelled, that this node still owns the
    // machine's part and that the team has room.
    void place(const TaskRef& t, const MachineId& m, const std::string& zone, Done done);
    void finish(const TaskRef& t, Attempt a, const MachineId& m);
    // The attempt is over, or surely never began; `why` is for the log.
    void release(const TaskRef& t, Attempt a, const MachineId& m, const char* why);
    // An end of this attempt waits to be committed: it must not be ordered to run again meanwhile.
    bool ending(const TaskRef& t, Attempt a) const {
        return waiting_.contains({t, {TaskEvent::finish, a}}) || waiting_.contains({t, {TaskEvent::release, a}});
    }
    // Turns a job that is over into its final record.
    void close_job(const JobId& id);
    std::size_t queued() const { return ops_; }

  private:
    struct Op {
        TaskEvent event = TaskEvent::place;
        TaskIndex task = 0;
        Attempt attempt = 0;
        MachineId machine;
        std::string zone;
        const char* why = "";
        // The term under which this was decided. Evidence gathered in one term proves nothing in another: between
        // the two, another owner may have renewed the lease or started the task again.
        Term term;
        Mono since;
        Done done;
    };
    struct PageKey {
        JobId job;
        std::uint32_t page = 0;
        auto operator<=>(const PageKey&) const = default;
    };
    // Commits of one lane go one after another: those of a limited team, or else those of one page.
    struct Lane {
        std::map<PageKey, std::vector<Op>> ops;
        bool in_flight = false;
        Env::TimerId timer = 0;
    };
    struct Draft {
        Txn txn;
        std::vector<std::pair<PageKey, std::vector<Op>>> taken;
        bool urgent = false;
    };
    void enqueue(const TaskRef& t, Op op);
    std::string lane_of(const JobId& job, std::uint32_t page) const;
    void schedule(const std::string& lane, Duration d);
    void flush(const std::string& lane);
    Draft draft(Lane& lane);
    bool apply(const Job& j, Op& op, std::vector<TaskState>& tasks, std::uint32_t page, TeamUse& use,
               std::set<std::uint32_t>& parts);
    void refresh(const std::string& lane, std::vector<std::string> keys);
    static std::vector<std::string> keys_of(const Txn& txn);
    void adopt(const Txn& txn, Revision r);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    Model& model_;
    Cluster& cluster_;
    std::map<std::string, Lane> lanes_;
    std::set<std::pair<TaskRef, std::pair<TaskEvent, Attempt>>> waiting_;
    std::set<JobId> closing_;
    std::size_t ops_ = 0;
};

}  // namespace zd
