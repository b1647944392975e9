// Holds a run against the protocol's rules. Written apart from the scheduler: it knows only what the world
// saw.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

namespace zincdyke::testing {

struct JobFacts {
    std::string team, job_class;
    double at = 0;  // of the first attempt to submit
    int tasks = 1;
    double cpu = 0, gpu = 0;
    bool types_given = false;
    std::set<std::string> types;
    std::string zone;  // empty: any
    bool one_zone = false, spread = false, spot = false;
};
struct MachineFacts {
    std::string type, zone;
    bool spot = false;
};
struct TeamLimit {
    double cpu = 0, gpu = 0;  // 0: none
};

class Checker {
  public:
    std::map<std::string, TeamLimit> limits;
    double cancel_s = 30;
    std::vector<std::string> broken;  // "rule: what happened"

    void machine(const std::string& id, MachineFacts f) { machines_[id] = std::move(f); }
    void submitted(const std::string& job, JobFacts f) {
        jobs_.try_emplace(job).first->second.facts = std::move(f);
    }
    void asked_to_cancel(const std::string& job) { jobs_[job].cancel_asked = true; }

    // The task has its image, or is no longer there.
    void task_on(double now, const std::string& job, int task, const std::string& machine) {
        ++starts;
        ++jobs_[job].starts;
        if (jobs_[job].begun < 0) jobs_[job].begun = now;
        auto& on = on_[{job, task}];
        if (!on.empty() && !on.contains(machine)) fail("ran_twice", job, task, machine);
        Job& j = jobs_[job];
        const MachineFacts& m = machines_[machine];
        if (j.cancelled_at >= 0)
            latest_cancelled_start = std::max(latest_cancelled_start, now - j.cancelled_at);
        if (j.cancelled_at >= 0 && now > j.cancelled_at + cancel_s) fail("ran_cancelled", job, task, machine);
        const JobFacts& f = j.facts;
        bool place = (!f.types_given || f.types.contains(m.type)) && (f.zone.empty() || f.zone == m.zone) &&
                     (f.spot || !m.spot);
        int there = 1;
        for (auto it = on_.lower_bound({job, 0});
             (f.one_zone || f.spread) && it != on_.end() && it->first.first == job; ++it) {
            if (it->first.second == task) continue;
            for (const auto& w : it->second) {
                if (machines_[w].zone == m.zone)
                    ++there;
                else if (f.one_zone)
                    place = false;
            }
        }
        if (f.spread && there > (f.tasks + 1) / 2) place = false;
        if (!place) fail("wrong_place", job, task, machine);
        if (on.insert(machine).second) count(f, 1);
        check_quota(f.team);
    }
    void task_off(const std::string& job, int task, const std::string& machine) {
        auto it = on_.find({job, task});
        if (it == on_.end() || it->second.erase(machine) == 0) return;
        count(jobs_[job].facts, -1);
        if (it->second.empty()) on_.erase(it);
    }
    void task_done(const std::string& job, int task) { jobs_[job].done.insert(task); }

    // At any time: what a cancellation should have ended by now.
    void tick(double now) {
        for (const auto& [key, where] : on_) {
            const Job& j = jobs_[key.first];
            if (!where.empty() && j.cancelled_at >= 0 && now > j.cancelled_at + cancel_s)
                fail("ran_cancelled", key.first, key.second, *where.begin());
        }
    }

    // A question about a job; and the moment from which on no trouble excuses silence.
    void asked(double now, const std::string& job) {
        Job& j = jobs_[job];
        if (j.silent_since < 0) j.silent_since = now;
        if (troubles_over < 0 || !j.accepted) return;
        if (now - std::max(j.silent_since, troubles_over) > 75)
            fail("forgotten", job, -1, "no answer for 75 s");
    }
    double troubles_over = -1;

    // What a user was told: of a submission, a poll or a cancellation.
    void told(double now, const std::string& job, bool submission, int status, const std::string& phase) {
        auto it = jobs_.find(job);
        const bool known = it != jobs_.end() && !it->second.facts.team.empty();
        if (status == 200 && it != jobs_.end()) it->second.silent_since = -1;
        if (status == 200 || status == 201) {
            if (!known) return fail("invented", job, -1, "");
            Job& j = it->second;
            if ((j.last == "done" || j.last == "withdrawn") && phase != j.last)
                fail("went_back", job, -1, j.last + " then " + phase);
            if (phase == "withdrawn" && !j.cancel_asked) fail("went_back", job, -1, "cancelled by nobody");
            if (phase == "done" && static_cast<int>(j.done.size()) < j.facts.tasks)
                fail("not_done", job, -1, "");
            if (phase == "done" || phase == "withdrawn") j.last = phase;
            if (phase == "withdrawn" && j.cancelled_at < 0) j.cancelled_at = now;
            j.accepted = true;
        } else if (known && it->second.accepted &&
                   (status == 404 || (submission && (status == 400 || status == 422)))) {
            fail("forgotten", job, -1, std::to_string(status));
        }
    }
    // It waited for 90 s though it could have been started, all troubles over.
    void waited_with_room(const std::string& job) { fail("waited", job, -1, ""); }
    void finish() {
        if (starts == 0) fail("nothing_ran", "", -1, "");
    }
    // How much was served: at least half of a class, of a team and of a class's largest jobs, and the largest
    // were begun within `begin_s`, counted from the end of all troubles if that came later.
    void judge_service(double begin_s = 240) {
        std::map<std::string, std::pair<int, int>> groups;  // jobs, and those done
        std::map<std::string, int> largest;
        for (const auto& [id, j] : jobs_)
            largest[j.facts.job_class] = std::max(largest[j.facts.job_class], j.facts.tasks);
        for (const auto& [id, j] : jobs_) {
            if (!j.accepted || j.cancel_asked) continue;
            const bool large = j.facts.tasks * 5 >= largest[j.facts.job_class] * 4;
            const bool done = static_cast<int>(j.done.size()) >= j.facts.tasks;
            for (const auto& g : {"class " + j.facts.job_class, "team " + j.facts.team,
                                  std::string(large ? "largest of " + j.facts.job_class : "")}) {
                if (g.empty()) continue;
                ++groups[g].first;
                groups[g].second += done ? 1 : 0;
            }
            if (large && (j.begun < 0 || j.begun - std::max(j.facts.at, troubles_over) > begin_s))
                fail("four_minutes", id, -1, "");
        }
        for (const auto& [name, n] : groups)
            if (2 * n.second < n.first) fail("half_served", name, -1, "");
    }
    int done_tasks(const std::string& job) { return static_cast<int>(jobs_[job].done.size()); }
    bool all_done(const std::string& job) {
        return static_cast<int>(jobs_[job].done.size()) == jobs_[job].facts.tasks;
    }
    int starts = 0;
    int starts_of(const std::string& job) { return jobs_[job].starts; }
    // How long after its cancellation was confirmed the latest start of a cancelled job came; -1: none came.
    double latest_cancelled_start = -1;

  private:
    struct Job {
        JobFacts facts;
        bool accepted = false, cancel_asked = false;
        double cancelled_at = -1, begun = -1, silent_since = -1;
        std::string last;
        std::set<int> done;
        int starts = 0;
    };
    void check_quota(const std::string& team) {
        auto limit = limits.find(team);
        if (limit == limits.end()) return;
        const auto [cpu, gpu] = used_[team];
        if ((limit->second.cpu > 0 && cpu > limit->second.cpu + 1e-6) ||
            (limit->second.gpu > 0 && gpu > limit->second.gpu + 1e-6))
            fail("quota", team, -1, "");
    }
    void count(const JobFacts& f, int n) {
        auto& [cpu, gpu] = used_[f.team];
        cpu += f.cpu * n;
        gpu += f.gpu * n;
    }
    void fail(const std::string& rule, const std::string& job, int task, const std::string& more) {
        if (broken.size() < 50) broken.push_back(rule + ": " + job + "/" + std::to_string(task) + " " + more);
    }
    std::map<std::string, std::pair<double, double>> used_;  // CPUs and GPUs, by team
    std::map<std::string, MachineFacts> machines_;
    std::map<std::string, Job> jobs_;
    std::map<std::pair<std::string, int>, std::set<std::string>> on_;
};

}  // namespace zincdyke::testing
