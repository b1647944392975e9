/// Checks the history of a run against the scheduler's guarantees.
#pragma once
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace zincdyke::testing {

/// What a user asked for, as far as the guarantees depend on it.
struct JobProperties {
    std::string team, job_class;
    double submitted_at = 0;  ///< Time of the first attempt to submit.
    int tasks = 1;
    double cpu = 0, gpu = 0;  ///< Of each task.
    bool types_given = false;
    std::set<std::string> types;  ///< Machine types allowed, if given.
    std::string zone;             ///< Empty: any.
    bool one_zone = false, spread = false, spot = false;
};
struct MachineProperties {
    std::string type, zone;
    bool spot = false;
};
/// Most CPUs and GPUs that a team's tasks may use at a time; 0: no limit.
struct TeamLimit {
    double cpu = 0, gpu = 0;
};

/// Is told what the workers execute and what the users are answered, and notes each violation. It is written
/// apart from the scheduler and knows nothing of its state. Times are simulated seconds.
///
/// The rules: `ran_twice` (a task on two machines at once), `wrong_place` (against type, zone, spot or
/// spread), `quota`, `ran_cancelled` (later than `cancel_s` after the cancellation was confirmed), `invented`
/// (state of a job that nobody submitted), `forgotten` (an accepted job is unknown, or unanswered for 75 s),
/// `went_back` (a final state changed), `not_done` (done is reported too early), `waited` (90 s beside free
/// capacity), `nothing_ran`, `half_served` and `four_minutes` (of the quality of service).
class HistoryChecker {
  public:
    std::map<std::string, TeamLimit> limits;  ///< By team.
    double cancel_s = 30;                     ///< A cancelled job's tasks must have ended by then.
    /// The violations found, as "rule: what happened"; 50 at the most.
    std::vector<std::string> violations;
    /// When the last fault ended; negative: faults may still come. From then on no silence is excused.
    double faults_ended_at = -1;
    /// How many times a task started to execute.
    int starts = 0;
    /// How long after its cancellation was confirmed the latest start of a cancelled job came; -1: none came.
    double latest_start_after_cancellation_s = -1;

    void machine_added(const std::string& id, MachineProperties facts) { machines_[id] = std::move(facts); }
    void job_submitted(const std::string& job, JobProperties facts) { jobs_[job].facts = std::move(facts); }
    void cancellation_requested(const std::string& job) { jobs_[job].cancel_asked = true; }

    /// The task has its image and executes on this machine.
    void task_started(double now, const std::string& job, int task, const std::string& machine);
    /// It does so no longer.
    void task_stopped(const std::string& job, int task, const std::string& machine);
    void task_completed(const std::string& job, int task) { jobs_[job].done.insert(task); }

    /// To be called regularly: finds tasks of cancelled jobs that still execute.
    void tick(double now);

    /// A user asks for a job's state.
    void poll_sent(double now, const std::string& job);
    /// What a user was answered to a submission, a request for the state, or a cancellation.
    void response_received(double now, const std::string& job, bool submission, int status,
                           const std::string& phase);

    /// A job waited for 90 s after the last fault though it could have been started.
    void job_waited_despite_capacity(const std::string& job) { fail("waited", job, -1, ""); }
    void finish() {
        if (starts == 0) fail("nothing_ran", "", -1, "");
    }
    /// Judges how much was served: at least half of the jobs of each class, of each team and of each class's
    /// largest jobs are done, and the largest started within `begin_s`, counted from the end of the last
    /// fault if that came later.
    void check_service_quality(double begin_s = 240);

    int done_tasks(const std::string& job) { return static_cast<int>(jobs_[job].done.size()); }
    bool all_done(const std::string& job) { return done_tasks(job) == jobs_[job].facts.tasks; }
    int start_count(const std::string& job) { return jobs_[job].starts; }

  private:
    struct Job {
        JobProperties facts;
        bool accepted = false, cancel_asked = false;
        double cancelled_at = -1, begun = -1, silent_since = -1;
        std::string last;  // phase that a user was told last, if it is a final one
        std::set<int> done;
        int starts = 0;
    };
    using TaskKey = std::pair<std::string, int>;
    [[nodiscard]] bool is_allowed_place(const std::string& job, int task, const JobProperties& facts,
                                        const MachineProperties& machine);
    void check_phase(double now, const std::string& id, Job& job, const std::string& phase);
    void check_quota(const std::string& team);
    void count(const JobProperties& facts, int tasks);
    void fail(const std::string& rule, const std::string& job, int task, const std::string& more);

    std::map<std::string, TeamLimit> used_;  // by team
    std::map<std::string, MachineProperties> machines_;
    std::map<std::string, Job> jobs_;
    std::map<TaskKey, std::set<std::string>> on_;  // machines that execute a task
};

}  // namespace zincdyke::testing
