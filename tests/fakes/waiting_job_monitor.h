/// Detects jobs that wait although they could be started.
#pragma once
#include <map>
#include <string>

#include "fakes/history_checker.h"
#include "fakes/simulated_clock.h"
#include "fakes/users.h"
#include "fakes/workers.h"

namespace zincdyke::testing {

/// Reports to the HistoryChecker each job that waits more than 90 s, after the last fault, while suitable
/// machines have free capacity and its team is within its limit. It uses the state of the simulated workers
/// rather than the state of the scheduler.
class WaitingJobMonitor {
  public:
    WaitingJobMonitor(SimulatedClock& clock, HistoryChecker& checker, const FakeUsers& users,
                      FakeWorkers& workers)
        : clock_(clock), checker_(checker), users_(users), workers_(workers) {}

    /// Must be called every 0.1 s; checks all jobs once a second.
    void tick();

  private:
    /// Resource usage of the tasks on all machines.
    struct Usage {
        std::map<std::string, TeamLimit> by_team;
        std::map<std::string, double> free_cpus;  // free CPUs of the machines that accept tasks
    };
    /// Number and zones of a job's started tasks.
    struct Progress {
        int started = 0;  // number of started tasks, including completed ones
        std::set<std::string> zones;
    };
    [[nodiscard]] Usage current_usage() const;
    [[nodiscard]] Progress progress_of(const std::string& job) const;
    [[nodiscard]] bool could_start(const std::string& id, const SubmittedJob& job, const Usage& usage) const;
    [[nodiscard]] bool is_under_quota(const Json& body, int tasks, const Usage& usage) const;
    /// Returns the number of the job's tasks that the machines have free capacity for. For a job that must
    /// run in one zone, this is the maximum over the zones.
    [[nodiscard]] int capacity_for(const Json& body, const Progress& progress, const Usage& usage) const;

    SimulatedClock& clock_;
    HistoryChecker& checker_;
    const FakeUsers& users_;
    FakeWorkers& workers_;
    std::map<std::string, double> could_start_since_;
};

}  // namespace zincdyke::testing
