#include "workers/machine_cordons.h"

#include <algorithm>

#include "base/log.h"

namespace zincdyke {

void MachineCordons::on_task_failed(const MachineId& id, const Job& job) {
    const JobId& job_id = job.spec.id;
    auto& machines_with_failures = machines_by_failed_job_[job_id];
    machines_with_failures.insert(id);
    const bool is_job_faulty = machines_with_failures.size() >= min_machines_of_faulty_job;
    if (machines_by_failed_job_.size() > max_failed_jobs)
        machines_by_failed_job_.erase(machines_by_failed_job_.begin());
    if (is_job_faulty) return;
    MachineErrors& errors = machines_[id];
    // A service counts once per machine: a replica that is restarted on the same machine and fails again is
    // no further evidence against the machine.
    if (job.spec.is_service() && errors.failed_jobs.contains(job_id)) return;
    if (errors.failed_jobs.size() < max_jobs_per_machine) errors.failed_jobs.insert(job_id);
    ++errors.error_count;
    cordon(id, seconds(std::min(60.0, 10.0 * errors.error_count)));
    log::info("event=machine_cordoned machine={} job={} errors={}", id.value(), job_id.value(),
              errors.error_count);
}

void MachineCordons::on_task_completed(const MachineId& id) {
    if (const auto found = machines_.find(id); found != machines_.end()) found->second.error_count = 0;
}

void MachineCordons::cordon(const MachineId& id, Duration duration) {
    SteadyTime& cordoned_until = machines_[id].cordoned_until;
    cordoned_until = std::max(cordoned_until, env_.now() + duration);
}

bool MachineCordons::is_cordoned(const MachineId& id) const {
    const auto found = machines_.find(id);
    return found != machines_.end() && found->second.cordoned_until > env_.now();
}

int MachineCordons::error_count(const MachineId& id) const {
    const auto found = machines_.find(id);
    return found == machines_.end() ? 0 : found->second.error_count;
}

const std::set<MachineId>* MachineCordons::machines_with_failed_tasks(const JobId& job) const {
    const auto found = machines_by_failed_job_.find(job);
    return found == machines_by_failed_job_.end() ? nullptr : &found->second;
}

}  // namespace zincdyke
