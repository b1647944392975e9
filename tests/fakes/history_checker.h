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
///
/// `ran_twice`: a task ran on two machines. `wrong_place`: type, zone, spot or spread was violated.
/// `ran_cancelled`: a task ran details than `cancel_s` after a confirmed cancellation. `invented`: a response
/// reported a job that nobody submitted. `forgotten`: an accepted job is unknown, or unanswered for 75 s.
/// `went_back`: a final state changed. `not_done`: a job was reported done early. `waited`: a job waited 90 s
/// despite free capacity. `quota`, `nothing_ran`; `half_served`, `four_minutes`: see check_service_quality.
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

    void machine_added(const std::string& id, MachineProperties facts) { machines_[id] = std::move(facts); }
    void job_submitted(const std::string& job, JobProperties facts) { jobs_[job].facts = std::move(facts); }
    void cancellation_requested(const std::string& job) { jobs_[job].cancellation_requested = true; }

    /// Reports that a task has its image and executes on a machine.
    void task_started(double now, const std::string& job, int task, const std::string& machine);
    /// Reports that a task no longer executes on a machine.
    void task_stopped(const std::string& job, int task, const std::string& machine);
    /// Reports that a task completed successfully.
    void task_completed(const std::string& job, int task) { jobs_[job].completed_tasks.insert(task); }

    /// Checks for tasks of cancelled jobs that still execute. Must be called regularly.
    void tick(double now);

    /// Reports that a user sends a request for a job's state.
    void poll_sent(double now, const std::string& job);
    /// Reports a response that a user received to a submission, a request for the job's state or a
    /// cancellation.
    void response_received(double now, const std::string& job, bool submission, int status,
                           const std::string& phase);

    /// Reports that a job waited for 90 s after the last fault although it could have been started.
    void job_waited_despite_capacity(const std::string& job) { add_violation("waited", job, -1, ""); }
    /// Runs the checks for the end of a test: some task must have started.
    void finish() {
        if (starts == 0) add_violation("nothing_ran", "", -1, "");
    }
    /// Checks the quality of service. `half_served`: fewer than half of the jobs of a class, of a team or of
    /// a class's largest jobs are done. `four_minutes`: one of a class's largest jobs did not start within
    /// `max_start_delay_s` after its submission or the end of the last fault, whichever is later.
    void check_service_quality(double max_start_delay_s = 240);

    int done_tasks(const std::string& job) { return static_cast<int>(jobs_[job].completed_tasks.size()); }
    bool all_done(const std::string& job) { return done_tasks(job) == jobs_[job].facts.tasks; }
    int start_count(const std::string& job) { return jobs_[job].starts; }

  private:
    /// The recorded history of a job. A time of -1 means that the event has not happened.
    struct Job {
        JobProperties facts;
        bool accepted = false, cancellation_requested = false;
        double cancelled_at = -1, first_started_at = -1, unanswered_since = -1;
        std::string final_phase;  // final phase that a user received; empty: none
        std::set<int> completed_tasks;
        int starts = 0;
    };
    using TaskKey = std::pair<std::string, int>;
    [[nodiscard]] bool is_allowed_place(const std::string& job, int task, const JobProperties& facts,
                                        const MachineProperties& machine);
    void check_phase(double now, const std::string& id, Job& job, const std::string& phase);
    void check_quota(const std::string& team);
    void add_usage(const JobProperties& facts, int tasks);
    void add_violation(const std::string& rule, const std::string& job, int task, const std::string& details);

    std::map<std::string, TeamLimit> usage_by_team_;
    std::map<std::string, MachineProperties> machines_;
    std::map<std::string, Job> jobs_;
    std::map<TaskKey, std::set<std::string>> machines_by_task_;  // machines that execute each task
};

}  // namespace zincdyke::testing
