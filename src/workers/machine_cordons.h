/// Machines that take no new tasks for a while because tasks failed there.
#pragma once
#include <map>
#include <set>
#include <unordered_map>

#include "base/env.h"
#include "store/job.h"

namespace zincdyke {

/// Tells faulty machines from faulty jobs, and cordons the machines.
class MachineCordons {
  public:
    explicit MachineCordons(Env& env) : env_(env) {}

    /// A task of `job` failed with an error on the machine: cordoned for 10 s times its errors, a minute at
    /// most, unless the job itself is at fault.
    void on_task_failed(const MachineId& id, const Job& job);
    /// A task completed: the machine's errors are forgotten.
    void on_task_completed(const MachineId& id);
    /// Cordons the machine for at least this long from now.
    void cordon(const MachineId& id, Duration duration);
    /// Drops what is kept for the machine.
    void on_machine_removed(const MachineId& id) { machines_.erase(id); }

    [[nodiscard]] bool is_cordoned(const MachineId& id) const;
    /// Errors since the last task that completed.
    [[nodiscard]] int error_count(const MachineId& id) const;
    /// Where tasks of the job failed; null: nowhere.
    [[nodiscard]] const std::set<MachineId>* machines_with_failed_tasks(const JobId& job) const;

  private:
    static constexpr std::size_t max_failed_jobs = 1000;
    static constexpr std::size_t max_jobs_per_machine = 16;
    // A job that failed on so many machines is itself at fault.
    static constexpr std::size_t faulty_job_machines = 3;
    struct MachineErrors {
        SteadyTime cordoned_until{};
        int error_count = 0;
        std::set<JobId> jobs;  // whose tasks failed there
    };
    Env& env_;
    std::unordered_map<MachineId, MachineErrors> machines_;
    std::map<JobId, std::set<MachineId>> failed_jobs_;
};

}  // namespace zincdyke
