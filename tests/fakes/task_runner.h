/// Simulated task execution on workers: image fetches, gang assembly, run time, checkpoints and stops.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fakes/history_checker.h"
#include "fakes/simulated_clock.h"
#include "fakes/submitted_jobs.h"
#include "fakes/worker.h"
#include "wire/json_api.h"

namespace zincdyke::testing {

using wire::Json;

/// Executes commands on the simulated workers and reports task starts and stops to the HistoryChecker.
/// Results of completed tasks outlive their machines: if a completed task is started again, it completes as
/// soon as its image is fetched.
class FakeTaskRunner {
  public:
    FakeTaskRunner(SimulatedClock& clock, HistoryChecker& checker, const SubmittedJobs& jobs,
                   FakeWorkerMap& workers)
        : clock_(clock), checker_(checker), jobs_(jobs), workers_(workers) {}

    /// Executes a leader's commands, given as the JSON array of the protocol: start a task, stop it, or
    /// remove an ended one.
    void execute(FakeWorker& worker, const Json& commands);
    /// Removes all tasks from a worker whose machine has crashed or been terminated, or whose lease has
    /// expired. The machine's leader receives no report about these tasks.
    void drop_all(FakeWorker& worker);
    /// Returns the number of the job's tasks that have completed successfully.
    [[nodiscard]] std::size_t completed_tasks(const std::string& job) { return completed_tasks_[job].size(); }

    /// Ids of the jobs whose tasks fail on every machine.
    std::set<std::string> failing_jobs;

  private:
    /// Identifies a phase of a task on a worker. The task or the worker may be gone when an event uses the
    /// handle.
    struct TaskHandle {
        std::string machine, key;
        std::uint64_t generation = 0;
    };
    /// Returns the task of a handle; null if the machine or the task is gone or the task's phase has changed.
    FakeTask* find(const TaskHandle& handle);
    [[nodiscard]] const Json& body(const std::string& job) const { return jobs_.at(job).body; }
    [[nodiscard]] bool is_gang(const std::string& job) const;
    /// Returns the reason why the worker can't start the task; empty if it can.
    [[nodiscard]] std::string start_error(const FakeWorker& worker, const FakeTask& task) const;

    void start(FakeWorker& worker, const std::string& key, const std::string& name, std::uint32_t attempt);
    void stop(FakeWorker& worker, const std::string& key, double grace_s);
    void fetch_image(FakeWorker& worker, const std::string& key);
    void image_fetched(const TaskHandle& handle);
    void wait_for_gang(FakeWorker& worker, const std::string& key);
    void run(const std::string& machine, const std::string& key);
    void end_task(FakeWorker& worker, const std::string& key, const std::string& cause,
                  bool checkpoint_saved = false);
    /// Schedules the end of the gang's other members, one after the other, after a member has ended.
    void gang_member_lost(const std::string& job, std::uint32_t attempt);

    SimulatedClock& clock_;
    HistoryChecker& checker_;
    const SubmittedJobs& jobs_;
    FakeWorkerMap& workers_;
    std::map<std::string, std::set<int>> completed_tasks_;        // indexes of completed tasks by job
    std::map<std::string, std::set<std::string>> gang_machines_;  // machines that ran gang members, by job
};

}  // namespace zincdyke::testing
