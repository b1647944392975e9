#include "workers/machine_cordons.h"

#include <algorithm>

#include "base/log.h"

namespace zincdyke {

void MachineCordons::on_task_failed(const MachineId& id, const Job& job) {
    const JobId& job_id = job.spec.id;
    auto& failed_on = failed_jobs_[job_id];
    failed_on.insert(id);
    const bool is_job_faulty = failed_on.size() >= faulty_job_machines;
    if (failed_jobs_.size() > max_failed_jobs) failed_jobs_.erase(failed_jobs_.begin());
    if (is_job_faulty) return;
    MachineErrors& errors = machines_[id];
    // A replica that fails again and again where it is put back says no more of the machine than the first
    // time.
    if (job.spec.is_service() && errors.jobs.contains(job_id)) return;
    if (errors.jobs.size() < max_jobs_per_machine) errors.jobs.insert(job_id);
    ++errors.error_count;
    cordon(id, seconds(std::min(60.0, 10.0 * errors.error_count)));
    log::info("event=machine_cordoned machine={} job={} errors={}", id.value(), job_id.value(),
              errors.error_count);
}

void MachineCordons::on_task_completed(const MachineId& id) {
    if (const auto found = machines_.find(id); found != machines_.end()) found->second.error_count = 0;
}

void MachineCordons::cordon(const MachineId& id, Duration duration) {
    SteadyTime& until = machines_[id].cordoned_until;
    until = std::max(until, env_.now() + duration);
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
    const auto found = failed_jobs_.find(job);
    return found == failed_jobs_.end() ? nullptr : &found->second;
}

}  // namespace zincdyke
