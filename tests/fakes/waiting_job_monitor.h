/// Watches for jobs that wait although they could be started.
#pragma once
#include <map>
#include <string>

#include "fakes/history_checker.h"
#include "fakes/simulated_clock.h"
#include "fakes/users.h"
#include "fakes/workers.h"

namespace zincdyke::testing {

/// Once faults are over, no job may wait 90 s while machines that fit it have free capacity and its team is
/// under its limit. It looks at the workers themselves, not at what the scheduler believes; what it finds,
/// the checker is told.
class WaitingJobMonitor {
  public:
    WaitingJobMonitor(SimulatedClock& clock, HistoryChecker& checker, const FakeUsers& users,
                      FakeWorkers& workers)
        : clock_(clock), checker_(checker), users_(users), workers_(workers) {}

    /// To be called every 0.1 s; looks once a second.
    void tick();

  private:
    /// What the tasks on all machines use.
    struct Usage {
        std::map<std::string, TeamLimit> by_team;
        std::map<std::string, double> free_cpus;  // by machine that accepts tasks
    };
    /// Where a job's tasks are.
    struct Progress {
        int started = 0;  // finished ones included
        std::set<std::string> zones;
    };
    [[nodiscard]] Usage current_usage() const;
    [[nodiscard]] Progress progress_of(const std::string& job) const;
    [[nodiscard]] bool could_start(const std::string& id, const SubmittedJob& job, const Usage& usage) const;
    [[nodiscard]] bool is_under_quota(const Json& body, int tasks, const Usage& usage) const;
    /// How many tasks of the job the machines have capacity for, within one zone if it must stay in one.
    [[nodiscard]] int capacity_for(const Json& body, const Progress& progress, const Usage& usage) const;

    SimulatedClock& clock_;
    HistoryChecker& checker_;
    const FakeUsers& users_;
    FakeWorkers& workers_;
    std::map<std::string, double> could_start_since_;
};

}  // namespace zincdyke::testing
