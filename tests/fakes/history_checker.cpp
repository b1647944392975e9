#include "fakes/history_checker.h"

#include <algorithm>

namespace zincdyke::testing {

namespace {

constexpr double max_unanswered_s = 75;
constexpr std::size_t max_violations = 50;
constexpr double rounding_error = 1e-6;

bool is_final(const std::string& phase) { return phase == "done" || phase == "withdrawn"; }

}  // namespace

void HistoryChecker::task_started(double now, const std::string& job, int task, const std::string& machine) {
    ++starts;
    Job& history = jobs_[job];
    ++history.starts;
    if (history.first_started_at < 0) history.first_started_at = now;
    auto& executing_on = machines_by_task_[{job, task}];
    if (!executing_on.empty() && !executing_on.contains(machine))
        add_violation("ran_twice", job, task, machine);
    if (history.cancelled_at >= 0) {
        latest_start_after_cancellation_s =
            std::max(latest_start_after_cancellation_s, now - history.cancelled_at);
        if (now > history.cancelled_at + cancel_s) add_violation("ran_cancelled", job, task, machine);
    }
    if (!is_allowed_place(job, task, history.properties, machines_[machine]))
        add_violation("wrong_place", job, task, machine);
    if (executing_on.insert(machine).second) add_usage(history.properties, 1);
    check_quota(history.properties.team);
}

bool HistoryChecker::is_allowed_place(const std::string& job, int task, const JobProperties& properties,
                                      const MachineProperties& machine) {
    if (properties.types_given && !properties.types.contains(machine.type)) return false;
    if (!properties.zone.empty() && properties.zone != machine.zone) return false;
    if (machine.spot && !properties.spot) return false;
    if (!properties.one_zone && !properties.spread) return true;
    int in_this_zone = 1;
    for (auto it = machines_by_task_.lower_bound({job, 0});
         it != machines_by_task_.end() && it->first.first == job; ++it) {
        if (it->first.second == task) continue;
        for (const auto& other : it->second) {
            if (machines_[other].zone == machine.zone)
                ++in_this_zone;
            else if (properties.one_zone)
                return false;
        }
    }
    return !properties.spread || in_this_zone <= (properties.tasks + 1) / 2;
}

void HistoryChecker::task_stopped(const std::string& job, int task, const std::string& machine) {
    const auto it = machines_by_task_.find({job, task});
    if (it == machines_by_task_.end() || it->second.erase(machine) == 0) return;
    add_usage(jobs_[job].properties, -1);
    if (it->second.empty()) machines_by_task_.erase(it);
}

void HistoryChecker::tick(double now) {
    for (const auto& [key, machines] : machines_by_task_) {
        const Job& job = jobs_[key.first];
        if (!machines.empty() && job.cancelled_at >= 0 && now > job.cancelled_at + cancel_s)
            add_violation("ran_cancelled", key.first, key.second, *machines.begin());
    }
}

void HistoryChecker::poll_sent(double now, const std::string& job) {
    Job& history = jobs_[job];
    if (history.unanswered_since < 0) history.unanswered_since = now;
    if (faults_ended_at < 0 || !history.accepted) return;
    if (now - std::max(history.unanswered_since, faults_ended_at) > max_unanswered_s)
        add_violation("forgotten", job, -1, "no answer for 75 s");
}

void HistoryChecker::response_received(double now, const std::string& job, bool submission, int status,
                                       const std::string& phase) {
    const auto it = jobs_.find(job);
    const bool is_known = it != jobs_.end() && !it->second.properties.team.empty();
    if (status == 200 && it != jobs_.end()) it->second.unanswered_since = -1;
    if (status == 200 || status == 201) {
        if (!is_known) return add_violation("invented", job, -1, "");
        check_phase(now, job, it->second, phase);
        it->second.accepted = true;
        return;
    }
    const bool is_rejected = status == 404 || (submission && (status == 400 || status == 422));
    if (is_known && it->second.accepted && is_rejected)
        add_violation("forgotten", job, -1, std::to_string(status));
}

void HistoryChecker::check_phase(double now, const std::string& id, Job& job, const std::string& phase) {
    if (is_final(job.final_phase) && phase != job.final_phase)
        add_violation("went_back", id, -1, job.final_phase + " then " + phase);
    if (phase == "withdrawn" && !job.cancellation_requested)
        add_violation("went_back", id, -1, "cancelled by nobody");
    if (phase == "done" && static_cast<int>(job.completed_tasks.size()) < job.properties.tasks)
        add_violation("not_done", id, -1, "");
    if (is_final(phase)) job.final_phase = phase;
    if (phase == "withdrawn" && job.cancelled_at < 0) job.cancelled_at = now;
}

void HistoryChecker::check_service_quality(double max_start_delay_s) {
    struct JobCounts {
        int jobs = 0, done = 0;
    };
    std::map<std::string, JobCounts> groups;
    std::map<std::string, int> max_tasks_by_class;
    for (const auto& [id, job] : jobs_)
        max_tasks_by_class[job.properties.job_class] =
            std::max(max_tasks_by_class[job.properties.job_class], job.properties.tasks);
    for (const auto& [id, job] : jobs_) {
        if (!job.accepted || job.cancellation_requested) continue;
        const JobProperties& properties = job.properties;
        const bool is_large = properties.tasks * 5 >= max_tasks_by_class[properties.job_class] * 4;
        const bool is_done = static_cast<int>(job.completed_tasks.size()) >= properties.tasks;
        std::vector<std::string> names{"class " + properties.job_class, "team " + properties.team};
        if (is_large) names.push_back("largest of " + properties.job_class);
        for (const auto& name : names) {
            ++groups[name].jobs;
            groups[name].done += is_done ? 1 : 0;
        }
        if (is_large &&
            (job.first_started_at < 0 ||
             job.first_started_at - std::max(properties.submitted_at, faults_ended_at) > max_start_delay_s))
            add_violation("four_minutes", id, -1, "");
    }
    for (const auto& [name, counts] : groups)
        if (2 * counts.done < counts.jobs) add_violation("half_served", name, -1, "");
}

void HistoryChecker::check_quota(const std::string& team) {
    const auto limit = limits.find(team);
    if (limit == limits.end()) return;
    const TeamLimit& used = usage_by_team_[team];
    if ((limit->second.cpu > 0 && used.cpu > limit->second.cpu + rounding_error) ||
        (limit->second.gpu > 0 && used.gpu > limit->second.gpu + rounding_error))
        add_violation("quota", team, -1, "");
}

void HistoryChecker::add_usage(const JobProperties& properties, int tasks) {
    TeamLimit& used = usage_by_team_[properties.team];
    used.cpu += properties.cpu * tasks;
    used.gpu += properties.gpu * tasks;
}

void HistoryChecker::add_violation(const std::string& rule, const std::string& job, int task,
                                   const std::string& details) {
    if (violations.size() < max_violations)
        violations.push_back(rule + ": " + job + "/" + std::to_string(task) + " " + details);
}

}  // namespace zincdyke::testing
