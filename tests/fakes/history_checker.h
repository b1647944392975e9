/// Checks the history of a simulated run against the scheduler's guarantees.
#pragma once
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace zincdyke::testing {

/// The properties of a submitted job that the scheduler's guarantees depend on.
struct JobProperties {
    std::string team, job_class;
    double submitted_at = 0;  ///< Time of the first submission attempt.
    int tasks = 1;
    double cpu = 0, gpu = 0;      ///< CPUs and GPUs that each task requires.
    bool types_given = false;     ///< Whether the job may run only on the machine types in `types`.
    std::set<std::string> types;  ///< Machine types that the job may use if `types_given` is set.
    std::string zone;             ///< Zone that the job must run in; empty: any zone.
    bool one_zone = false, spread = false, spot = false;
};
/// The properties of a machine that the scheduler's guarantees depend on.
struct MachineProperties {
    std::string type, zone;
    bool spot = false;
};
/// Maximum CPUs and GPUs that a team's tasks may use at the same time; 0: no limit.
struct TeamLimit {
    double cpu = 0, gpu = 0;
};

/// Records violations of the scheduler's guarantees. The fakes report the tasks that workers execute and the
/// responses that users receive; the checker uses no state of the scheduler. Times are simulated seconds.
class HistoryChecker {
  public:
    std::map<std::string, TeamLimit> limits;  ///< Resource limits by team.
    double cancel_s = 30;                     ///< Maximum time until a cancelled job's tasks have stopped.
    /// The first 50 violations, each as "rule: job/task details".
    std::vector<std::string> violations;
    /// Time when the last injected fault ended; negative: faults may still occur. Users must receive timely
    /// responses after this time.
    double faults_ended_at = -1;
    /// Number of task starts on all machines.
    int starts = 0;
    /// Maximum time from a confirmed cancellation to a later start of one of the job's tasks; -1: no such
    /// start.
    double latest_start_after_cancellation_s = -1;

    void machine_added(const std::string& id, MachineProperties properties) {
        machines_[id] = std::move(properties);
    }
    void job_submitted(const std::string& job, JobProperties properties) {
        jobs_[job].properties = std::move(properties);
    }
    void cancellation_requested(const std::string& job) { jobs_[job].cancellation_requested = true; }

    /// Reports that a task has its image and executes on a machine. Violations: `ran_twice` (the task runs on
    /// another machine too), `wrong_place` (the job's machine types, zone, spot or spread setting doesn't
    /// allow the machine), `quota` (the team is over its limit), and `ran_cancelled` (the job's cancellation
    /// was confirmed more than `cancel_s` ago).
    void task_started(double now, const std::string& job, int task, const std::string& machine);
    /// Reports that a task no longer executes on a machine.
    void task_stopped(const std::string& job, int task, const std::string& machine);
    /// Reports that a task completed successfully.
    void task_completed(const std::string& job, int task) { jobs_[job].completed_tasks.insert(task); }

    /// Must be called regularly. Violation: `ran_cancelled` (a task still executes more than `cancel_s` after
    /// its job's cancellation was confirmed).
    void tick(double now);

    /// Reports that a user sends a request for a job's state. Violation: `forgotten` (an accepted job has
    /// been without a response for 75 s).
    void poll_sent(double now, const std::string& job);
    /// Reports the response to a user's submission, request for the job's state or cancellation. Violations:
    /// `invented` (the job was never submitted), `forgotten` (an accepted job is unknown or rejected),
    /// `went_back` (a final phase changed, or the job is cancelled without a request), and `not_done` (the
    /// job is reported done before all its tasks completed).
    void response_received(double now, const std::string& job, bool submission, int status,
                           const std::string& phase);

    /// Reports that a job waited for 90 s although it could have been started. Violation: `waited`.
    void job_waited_despite_capacity(const std::string& job) { add_violation("waited", job, -1, ""); }
    /// Runs the check for the end of a test. Violation: `nothing_ran` (no task has ever started).
    void finish() {
        if (starts == 0) add_violation("nothing_ran", "", -1, "");
    }
    /// Checks the quality of service. `half_served`: fewer than half of the jobs of a class, of a team or of
    /// a class's largest jobs are done. `four_minutes`: one of a class's largest jobs did not start within
    /// `max_start_delay_s` after its submission or the end of the last fault, whichever is later.
    void check_service_quality(double max_start_delay_s = 240);

    int done_tasks(const std::string& job) { return static_cast<int>(jobs_[job].completed_tasks.size()); }
    bool all_done(const std::string& job) { return done_tasks(job) == jobs_[job].properties.tasks; }
    int start_count(const std::string& job) { return jobs_[job].starts; }

  private:
    /// The recorded history of a job. A time of -1 means that the event has not happened.
    struct Job {
        JobProperties properties;
        bool accepted = false, cancellation_requested = false;
        double cancelled_at = -1, first_started_at = -1, unanswered_since = -1;
        std::string final_phase;  // final phase of the job in a response to a user; empty: none
        std::set<int> completed_tasks;
        int starts = 0;
    };
    using TaskKey = std::pair<std::string, int>;
    [[nodiscard]] bool is_allowed_place(const std::string& job, int task, const JobProperties& properties,
                                        const MachineProperties& machine);
    void check_phase(double now, const std::string& id, Job& job, const std::string& phase);
    void check_quota(const std::string& team);
    void add_usage(const JobProperties& properties, int tasks);
    void add_violation(const std::string& rule, const std::string& job, int task, const std::string& details);

    std::map<std::string, TeamLimit> usage_by_team_;
    std::map<std::string, MachineProperties> machines_;
    std::map<std::string, Job> jobs_;
    std::map<TaskKey, std::set<std::string>> machines_by_task_;  // machines that execute each task
};

}  // namespace zincdyke::testing
