#include "fakes/waiting_job_monitor.h"

#include <algorithm>

namespace zincdyke::testing {

namespace {

constexpr double max_wait_s = 90;
constexpr double rounding_error = 1e-6;

/// Returns whether the job may run on the machine, ignoring the machine's free capacity.
bool is_eligible(const Json& body, const FakeWorker& worker) {
    if (worker.type == "small" && body.value("gpus", 0.0) > 0) return false;
    if (!body.value("loaners", false) && worker.spot) return false;
    if (body.contains("field") && body["field"].is_string() && body["field"] != worker.zone) return false;
    if (!body.contains("breeds") || !body["breeds"].is_array()) return true;
    return std::find(body["breeds"].begin(), body["breeds"].end(), worker.type) != body["breeds"].end();
}

bool accepts_tasks(const FakeWorker& worker) {
    return worker.alive && !worker.hung && !worker.faulty && !worker.preemption_at && worker.has_booted() &&
           worker.fencing_token > 0;
}

}  // namespace

void WaitingJobMonitor::tick() {
    const double now = clock_.now();
    if (checker_.faults_ended_at < 0 || static_cast<std::uint64_t>(now * 10) % 10 != 0) return;
    const Usage usage = current_usage();
    for (const auto& [id, job] : users_.jobs()) {
        if (!could_start(id, job, usage)) {
            could_start_since_.erase(id);
            continue;
        }
        double& since = could_start_since_.try_emplace(id, now).first->second;
        if (now - std::max(since, checker_.faults_ended_at) > max_wait_s) {
            checker_.job_waited_despite_capacity(id);
            since = now;
        }
    }
}

WaitingJobMonitor::Usage WaitingJobMonitor::current_usage() const {
    Usage usage;
    for (const auto& [id, worker] : workers_.all()) {
        double free_cpus = worker.cpus();
        for (const auto& [key, task] : worker.tasks) {
            if (task.phase == "ended") continue;
            const Json& body = users_.jobs().at(task.job).body;
            free_cpus -= body.value("vcpus", 0.0);
            TeamLimit& used = usage.by_team[body.value("crew", "")];
            used.cpu += body.value("vcpus", 0.0);
            used.gpu += body.value("gpus", 0.0);
        }
        if (accepts_tasks(worker)) usage.free_cpus[id] = free_cpus;
    }
    return usage;
}

WaitingJobMonitor::Progress WaitingJobMonitor::progress_of(const std::string& job) const {
    Progress progress;
    progress.started = static_cast<int>(workers_.tasks.completed_tasks(job));
    for (const auto& [id, worker] : workers_.all())
        for (const auto& [key, task] : worker.tasks)
            if (task.job == job && task.phase != "ended") {
                ++progress.started;
                progress.zones.insert(worker.zone);
            }
    return progress;
}

bool WaitingJobMonitor::could_start(const std::string& id, const SubmittedJob& job,
                                    const Usage& usage) const {
    const std::string phase = users_.last_phase(id);
    if (!job.accepted || users_.is_cancelling(id) || phase == "done" || phase == "withdrawn" ||
        workers_.tasks.failing_jobs.contains(id))
        return false;
    const Progress progress = progress_of(id);
    const int tasks = job.body.value("shards", 0);
    const bool gang = job.body.value("shape", "") == "group";  // all tasks of a gang start together
    const int tasks_to_start =
        gang ? (progress.started == 0 ? tasks : 0) : std::min(1, tasks - progress.started);
    return tasks_to_start > 0 && is_under_quota(job.body, tasks_to_start, usage) &&
           capacity_for(job.body, progress, usage) >= tasks_to_start;
}

bool WaitingJobMonitor::is_under_quota(const Json& body, int tasks, const Usage& usage) const {
    const std::string team = body.value("crew", "");
    const auto limit = checker_.limits.find(team);
    if (limit == checker_.limits.end()) return true;
    const auto found = usage.by_team.find(team);
    const TeamLimit used = found == usage.by_team.end() ? TeamLimit{} : found->second;
    const auto [max_cpu, max_gpu] = limit->second;
    return (max_cpu <= 0 || used.cpu + tasks * body.value("vcpus", 0.0) <= max_cpu + rounding_error) &&
           (max_gpu <= 0 || used.gpu + tasks * body.value("gpus", 0.0) <= max_gpu + rounding_error);
}

int WaitingJobMonitor::capacity_for(const Json& body, const Progress& progress, const Usage& usage) const {
    std::map<std::string, int> by_zone;
    int total = 0;
    for (const auto& [id, free_cpus] : usage.free_cpus) {
        const FakeWorker& worker = workers_.all().at(id);
        if (!is_eligible(body, worker)) continue;
        const int count =
            static_cast<int>((free_cpus + rounding_error) / std::max(0.1, body.value("vcpus", 1.0)));
        by_zone[worker.zone] += count;
        total += count;
    }
    if (!body.value("one_zone", false)) return total;
    int max_in_zone = 0;
    for (const auto& [zone, count] : by_zone)
        if (progress.zones.empty() || progress.zones.contains(zone))
            max_in_zone = std::max(max_in_zone, count);
    return max_in_zone;
}

}  // namespace zincdyke::testing
