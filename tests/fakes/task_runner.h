/// What the simulated workers do with tasks: fetch images, assemble gangs, run, save checkpoints, stop.
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

/// Carries out commands on workers, and tells the checker which tasks execute where. Results of tasks outlive
/// their machines: a task that is done and started again is done as soon as it has its image.
class FakeTaskRunner {
  public:
    FakeTaskRunner(SimulatedClock& clock, HistoryChecker& checker, const SubmittedJobs& jobs,
                   FakeWorkerMap& workers)
        : clock_(clock), checker_(checker), jobs_(jobs), workers_(workers) {}

    /// Carries out a leader's commands, in the wire's form: start, stop and forget.
    void execute(FakeWorker& worker, const Json& commands);
    /// The tasks are gone without a trace: the machine crashed, or its lease expired.
    void drop_all(FakeWorker& worker);
    /// How many tasks of the job have a result.
    [[nodiscard]] std::size_t finished_tasks(const std::string& job) { return finished_[job].size(); }

    /// Jobs whose tasks fail on every machine.
    std::set<std::string> failing_jobs;

  private:
    /// A task on a worker; what it refers to may be gone when an event comes to it.
    struct TaskHandle {
        std::string machine, key;
        std::uint64_t generation = 0;
    };
    /// Null if the machine or the task is gone, or the task's phase has changed.
    FakeTask* find(const TaskHandle& handle);
    [[nodiscard]] const Json& body(const std::string& job) const { return jobs_.at(job).body; }
    [[nodiscard]] bool is_gang(const std::string& job) const;
    /// Why the worker can't start the task; empty: it can.
    [[nodiscard]] std::string start_error(const FakeWorker& worker, const FakeTask& task) const;

    void start(FakeWorker& worker, const std::string& key, const std::string& name, std::uint32_t attempt);
    void stop(FakeWorker& worker, const std::string& key, double grace_s);
    void fetch_image(FakeWorker& worker, const std::string& key);
    void image_fetched(const TaskHandle& handle);
    void wait_for_gang(FakeWorker& worker, const std::string& key);
    void run(const std::string& machine, const std::string& key);
    void end(FakeWorker& worker, const std::string& key, const std::string& cause, bool kept = false);
    /// A member of the gang ended: the others notice one after the other.
    void gang_member_lost(const std::string& job, std::uint32_t attempt);

    SimulatedClock& clock_;
    HistoryChecker& checker_;
    const SubmittedJobs& jobs_;
    FakeWorkerMap& workers_;
    std::map<std::string, std::set<int>> finished_;               // by job
    std::map<std::string, std::set<std::string>> gang_machines_;  // by job: that held members of it
};

}  // namespace zincdyke::testing
