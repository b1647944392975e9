#include "jobs/guarantees.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace zincdyke {

std::unordered_set<const Job*> jobs_within_guarantee(const StateCache& state_cache) {
    std::map<TeamName, std::vector<const Job*>> jobs_by_team;
    for (const auto& [id, job] : state_cache.jobs())
        if (const Team* team = state_cache.team_limits(job.spec.team);
            team != nullptr && (team->cpu > 0 || team->gpu > 0))
            jobs_by_team[team->name].push_back(&job);
    std::unordered_set<const Job*> guaranteed_jobs;
    for (auto& [team_name, jobs] : jobs_by_team) {
        const Team& team = *state_cache.team_limits(team_name);
        std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
            return std::tie(a->submitted, a->spec.id) < std::tie(b->submitted, b->spec.id);
        });
        std::int64_t required_cpu = 0, required_gpu = 0;
        for (const Job* job : jobs) {
            const auto unfinished_tasks = static_cast<std::int64_t>(job->spec.tasks - job->done_tasks);
            required_cpu += job->spec.need.cpu * unfinished_tasks;
            required_gpu += job->spec.need.gpu * unfinished_tasks;
            if ((team.cpu > 0 && required_cpu > team.cpu) || (team.gpu > 0 && required_gpu > team.gpu)) break;
            guaranteed_jobs.insert(job);
        }
    }
    return guaranteed_jobs;
}

}  // namespace zincdyke
