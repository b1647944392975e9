#include "fakes/history_checker.h"

#include <algorithm>

namespace zincdyke::testing {

namespace {

constexpr double max_silence_s = 75;
constexpr std::size_t max_violations = 50;
constexpr double rounding = 1e-6;

bool is_final(const std::string& phase) { return phase == "done" || phase == "withdrawn"; }

}  // namespace

void HistoryChecker::task_started(double now, const std::string& job, int task, const std::string& machine) {
    ++starts;
    Job& state = jobs_[job];
    ++state.starts;
    if (state.begun < 0) state.begun = now;
    auto& executing_on = on_[{job, task}];
    if (!executing_on.empty() && !executing_on.contains(machine)) fail("ran_twice", job, task, machine);
    if (state.cancelled_at >= 0) {
        latest_start_after_cancellation_s =
            std::max(latest_start_after_cancellation_s, now - state.cancelled_at);
        if (now > state.cancelled_at + cancel_s) fail("ran_cancelled", job, task, machine);
    }
    if (!is_allowed_place(job, task, state.facts, machines_[machine]))
        fail("wrong_place", job, task, machine);
    if (executing_on.insert(machine).second) count(state.facts, 1);
    check_quota(state.facts.team);
}

bool HistoryChecker::is_allowed_place(const std::string& job, int task, const JobProperties& facts,
                                      const MachineProperties& machine) {
    if (facts.types_given && !facts.types.contains(machine.type)) return false;
    if (!facts.zone.empty() && facts.zone != machine.zone) return false;
    if (machine.spot && !facts.spot) return false;
    if (!facts.one_zone && !facts.spread) return true;
    int in_this_zone = 1;
    for (auto it = on_.lower_bound({job, 0}); it != on_.end() && it->first.first == job; ++it) {
        if (it->first.second == task) continue;
        for (const auto& other : it->second) {
            if (machines_[other].zone == machine.zone)
                ++in_this_zone;
            else if (facts.one_zone)
                return false;
        }
    }
    return !facts.spread || in_this_zone <= (facts.tasks + 1) / 2;
}

void HistoryChecker::task_stopped(const std::string& job, int task, const std::string& machine) {
    const auto it = on_.find({job, task});
    if (it == on_.end() || it->second.erase(machine) == 0) return;
    count(jobs_[job].facts, -1);
    if (it->second.empty()) on_.erase(it);
}

void HistoryChecker::tick(double now) {
    for (const auto& [key, machines] : on_) {
        const Job& job = jobs_[key.first];
        if (!machines.empty() && job.cancelled_at >= 0 && now > job.cancelled_at + cancel_s)
            fail("ran_cancelled", key.first, key.second, *machines.begin());
    }
}

void HistoryChecker::poll_sent(double now, const std::string& job) {
    Job& state = jobs_[job];
    if (state.silent_since < 0) state.silent_since = now;
    if (faults_ended_at < 0 || !state.accepted) return;
    if (now - std::max(state.silent_since, faults_ended_at) > max_silence_s)
        fail("forgotten", job, -1, "no answer for 75 s");
}

void HistoryChecker::response_received(double now, const std::string& job, bool submission, int status,
                                       const std::string& phase) {
    const auto it = jobs_.find(job);
    const bool known = it != jobs_.end() && !it->second.facts.team.empty();
    if (status == 200 && it != jobs_.end()) it->second.silent_since = -1;
    if (status == 200 || status == 201) {
        if (!known) return fail("invented", job, -1, "");
        check_phase(now, job, it->second, phase);
        it->second.accepted = true;
        return;
    }
    const bool denied = status == 404 || (submission && (status == 400 || status == 422));
    if (known && it->second.accepted && denied) fail("forgotten", job, -1, std::to_string(status));
}

void HistoryChecker::check_phase(double now, const std::string& id, Job& job, const std::string& phase) {
    if (is_final(job.last) && phase != job.last) fail("went_back", id, -1, job.last + " then " + phase);
    if (phase == "withdrawn" && !job.cancel_asked) fail("went_back", id, -1, "cancelled by nobody");
    if (phase == "done" && static_cast<int>(job.done.size()) < job.facts.tasks) fail("not_done", id, -1, "");
    if (is_final(phase)) job.last = phase;
    if (phase == "withdrawn" && job.cancelled_at < 0) job.cancelled_at = now;
}

void HistoryChecker::check_service_quality(double begin_s) {
    struct Served {
        int jobs = 0, done = 0;
    };
    std::map<std::string, Served> groups;
    std::map<std::string, int> largest;  // tasks of the largest job, by class
    for (const auto& [id, job] : jobs_)
        largest[job.facts.job_class] = std::max(largest[job.facts.job_class], job.facts.tasks);
    for (const auto& [id, job] : jobs_) {
        if (!job.accepted || job.cancel_asked) continue;
        const JobProperties& facts = job.facts;
        const bool is_large = facts.tasks * 5 >= largest[facts.job_class] * 4;
        const bool is_done = static_cast<int>(job.done.size()) >= facts.tasks;
        std::vector<std::string> names{"class " + facts.job_class, "team " + facts.team};
        if (is_large) names.push_back("largest of " + facts.job_class);
        for (const auto& name : names) {
            ++groups[name].jobs;
            groups[name].done += is_done ? 1 : 0;
        }
        if (is_large &&
            (job.begun < 0 || job.begun - std::max(facts.submitted_at, faults_ended_at) > begin_s))
            fail("four_minutes", id, -1, "");
    }
    for (const auto& [name, served] : groups)
        if (2 * served.done < served.jobs) fail("half_served", name, -1, "");
}

void HistoryChecker::check_quota(const std::string& team) {
    const auto limit = limits.find(team);
    if (limit == limits.end()) return;
    const TeamLimit& used = used_[team];
    if ((limit->second.cpu > 0 && used.cpu > limit->second.cpu + rounding) ||
        (limit->second.gpu > 0 && used.gpu > limit->second.gpu + rounding))
        fail("quota", team, -1, "");
}

void HistoryChecker::count(const JobProperties& facts, int tasks) {
    TeamLimit& used = used_[facts.team];
    used.cpu += facts.cpu * tasks;
    used.gpu += facts.gpu * tasks;
}

void HistoryChecker::fail(const std::string& rule, const std::string& job, int task,
                          const std::string& more) {
    if (violations.size() < max_violations)
        violations.push_back(rule + ": " + job + "/" + std::to_string(task) + " " + more);
}

}  // namespace zincdyke::testing
