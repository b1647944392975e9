#include "autoscaler/demand.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "sched/placement_constraints.h"

namespace zincdyke::autoscaler {
namespace {
constexpr double default_wait_s = 60, min_deadline_wait_s = 5;
// A task may wait for this share of its slack: the time limit for its job minus the task's expected run time.
constexpr double wait_share_of_slack = 0.3;
// A task may wait for this share of the service-level objective for the wait in its job class.
constexpr double wait_share_of_objective = 0.35;
constexpr double unlimited_run_time_s = 1e6;
constexpr double min_run_time_s = 1;

constexpr std::size_t max_unmerged_demands = 64;
constexpr double similar_amounts_ratio = 1.15;
constexpr double wait_step_s = 10;

// The attributes by which demands are grouped. Demands with equal attributes are merged.
struct DemandGroup {
    std::string job_class;
    wire::Rank rank = wire::Rank::standard;
    sched::PlacementConstraints constraints;
    std::optional<std::string> required_zone;
    int cpu_step = 0, gpu_step = 0, ram_step = 0, max_wait_step = 0;
    auto operator<=>(const DemandGroup&) const = default;
};

// Returns the number of the logarithmic step that contains `amount`. The ratio of two positive amounts in the
// same step is less than `similar_amounts_ratio`.
int amount_step(std::int64_t amount) {
    if (amount <= 0) return 0;
    return static_cast<int>(std::log(static_cast<double>(amount)) / std::log(similar_amounts_ratio));
}

DemandGroup group_of(const Demand& demand) {
    const wire::JobSpec& spec = *demand.spec;
    return {spec.job_class,
            spec.rank,
            sched::PlacementConstraints::of(spec),
            demand.required_zone,
            amount_step(spec.need.cpu),
            amount_step(spec.need.gpu),
            amount_step(spec.need.ram),
            static_cast<int>(demand.max_wait_s / wait_step_s)};
}

// Adds the tasks of `other` to `merged`. The result has the tasks' average run time and the shorter maximum
// wait of the two demands.
void merge_into(Demand& merged, const Demand& other) {
    const double merged_tasks = merged.task_count, other_tasks = other.task_count;
    merged.run_time_s = (merged.run_time_s * merged_tasks + other.run_time_s * other_tasks) /
                        std::max(1.0, merged_tasks + other_tasks);
    merged.max_wait_s = std::min(merged.max_wait_s, other.max_wait_s);
    merged.task_count += other.task_count;
    // The job whose tasks need more CPU represents both jobs, so that the planned CPU suffices for either.
    if (other.spec->need.cpu > merged.spec->need.cpu) merged.spec = other.spec;
}

// Returns the jobs with pending tasks, ordered by rank and then by submission time.
std::vector<const Job*> waiting_jobs(const StateCache& state_cache) {
    std::vector<const Job*> jobs;
    for (const auto& [id, job] : state_cache.jobs())
        if (!job.cancelled && job.pending_tasks() > 0) jobs.push_back(&job);
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        return a->submitted < b->submitted;
    });
    return jobs;
}

// Adds the resources of a job's pending tasks to `usage`, for as many tasks as the team's quota allows.
// Returns the number of these tasks.
std::int64_t take_team_quota(const Team& team, QuotaUsage& usage, const Job& job) {
    const Resources& need = job.spec.need;
    auto tasks = static_cast<std::int64_t>(job.pending_tasks());
    if (team.cpu_max > 0 && need.cpu > 0) tasks = std::min(tasks, (team.cpu_max - usage.cpu) / need.cpu);
    if (team.gpu_max > 0 && need.gpu > 0) tasks = std::min(tasks, (team.gpu_max - usage.gpu) / need.gpu);
    if (tasks <= 0) return 0;
    usage.cpu += tasks * need.cpu;
    usage.gpu += tasks * need.gpu;
    return tasks;
}
}  // namespace

std::vector<Demand> waiting_demands(const Settings& settings, const Policy& policy,
                                    const StateCache& state_cache, WallTime now) {
    std::vector<Demand> demands;
    std::map<TeamName, QuotaUsage> usage_by_team;
    for (const Job* job : waiting_jobs(state_cache)) {
        const Team* team = state_cache.team_limits(job->spec.team);
        if (team == nullptr) continue;
        auto [usage, is_new] = usage_by_team.try_emplace(job->spec.team);
        if (is_new) usage->second = state_cache.quota_usage(job->spec.team);
        const std::int64_t tasks = take_team_quota(*team, usage->second, *job);
        if (tasks == 0) continue;
        const double waited_s = static_cast<double>(now.value() - job->submitted.value()) / 1000.0;
        Demand demand;
        demand.spec = &job->spec;
        demand.required_zone = job->assigned_zone;
        demand.task_count = static_cast<TaskIndex>(tasks);
        demand.run_time_s = std::max(min_run_time_s, expected_run_time_s(job->spec));
        demand.max_wait_s =
            std::max(0.0, acceptable_wait_s(settings, job->spec) * policy.max_wait_factor - waited_s);
        demands.push_back(std::move(demand));
    }
    return demands;
}

std::vector<Demand> merge_similar_demands(std::vector<Demand> demands) {
    if (demands.size() <= max_unmerged_demands) return demands;
    std::vector<Demand> merged;
    std::map<DemandGroup, std::size_t> index_by_group;
    for (const Demand& demand : demands) {
        auto [index, is_new] = index_by_group.emplace(group_of(demand), merged.size());
        if (is_new)
            merged.push_back(demand);
        else
            merge_into(merged[index->second], demand);
    }
    return merged;
}

double expected_run_time_s(const wire::JobSpec& spec) {
    return spec.is_service() ? unlimited_run_time_s : spec.estimate_s;
}

double acceptable_wait_s(const Settings& settings, const wire::JobSpec& spec) {
    auto share_of_slack = [&](double limit_s) {
        return std::max(min_deadline_wait_s, (limit_s - spec.estimate_s) * wait_share_of_slack);
    };
    double max_wait_s = spec.deadline_s ? share_of_slack(*spec.deadline_s) : default_wait_s;
    for (const auto& objective : settings.objectives) {
        if (objective.job_class != spec.job_class) continue;
        if (objective.kind == "wait")
            max_wait_s = std::min(max_wait_s, objective.target_s * wait_share_of_objective);
        if (objective.kind == "finished")
            max_wait_s = std::min(max_wait_s, share_of_slack(objective.target_s));
    }
    return max_wait_s;
}

}  // namespace zincdyke::autoscaler
