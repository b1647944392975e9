/// Cordons machines on which tasks fail.
#pragma once
#include <map>
#include <set>
#include <unordered_map>

#include "base/env.h"
#include "store/job.h"

namespace zincdyke {

/// Owns the error count of each machine and the cordons, which keep new tasks off a machine for a limited
/// time. A job whose tasks failed on three machines is considered faulty itself and cordons no more machines.
class MachineCordons {
  public:
    explicit MachineCordons(Env& env) : env_(env) {}

    /// Handles a task of `job` that failed on the machine: cordons the machine for 10 s per error and
    /// at most 60 s, unless the job is considered faulty.
    void on_task_failed(const MachineId& id, const Job& job);
    /// Resets the machine's error count because a task completed on it. An existing cordon remains.
    void on_task_completed(const MachineId& id);
    /// Cordons the machine for `duration` from now; a cordon that ends later remains.
    void cordon(const MachineId& id, Duration duration);
    /// Discards the cordon and the error count of a machine that was removed from the registry.
    void on_machine_removed(const MachineId& id) { machines_.erase(id); }

    [[nodiscard]] bool is_cordoned(const MachineId& id) const;
    /// Returns the number of errors on the machine since a task last completed there.
    [[nodiscard]] int error_count(const MachineId& id) const;
    /// Returns the machines on which tasks of the job failed, or null if there are none.
    [[nodiscard]] const std::set<MachineId>* machines_with_failed_tasks(const JobId& job) const;

  private:
    static constexpr std::size_t max_failed_jobs = 1000;
    static constexpr std::size_t max_jobs_per_machine = 16;
    // A job whose tasks failed on this many machines is considered faulty.
    static constexpr std::size_t min_machines_of_faulty_job = 3;
    struct MachineErrors {
        SteadyTime cordoned_until{};
        int error_count = 0;
        std::set<JobId> failed_jobs;
    };
    Env& env_;
    std::unordered_map<MachineId, MachineErrors> machines_;
    std::map<JobId, std::set<MachineId>> machines_by_failed_job_;
};

}  // namespace zincdyke
