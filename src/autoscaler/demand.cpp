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
constexpr double default_patience_s = 60, min_deadline_patience_s = 5;
constexpr double patience_share_of_slack = 0.3;  // of the time left beside the run itself
constexpr double patience_share_of_wait = 0.35;  // of the wait aimed for
constexpr double no_end_s = 1e6;
constexpr double min_run_s = 1;

constexpr std::size_t max_unmerged = 64;  // demands planned one by one
constexpr double similar_amounts_ratio = 1.15;
constexpr double similar_patience_s = 10;

// Demands that are planned as one.
struct DemandGroup {
    std::string job_class;
    wire::Rank rank = wire::Rank::standard;
    sched::PlacementConstraints constraints;
    std::optional<std::string> assigned_zone;
    int cpu_step = 0, gpu_step = 0, ram_step = 0, patience_step = 0;
    auto operator<=>(const DemandGroup&) const = default;
};

// Amounts of one step differ by less than the ratio.
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
            static_cast<int>(demand.max_wait_s / similar_patience_s)};
}

void join(Demand& joined, const Demand& other) {
    const double joined_tasks = joined.task_count, other_tasks = other.task_count;
    joined.run_time_s = (joined.run_time_s * joined_tasks + other.run_time_s * other_tasks) /
                        std::max(1.0, joined_tasks + other_tasks);
    joined.max_wait_s = std::min(joined.max_wait_s, other.max_wait_s);
    joined.task_count += other.task_count;
    // What fits the larger fits both.
    if (other.spec->need.cpu > joined.spec->need.cpu) joined.spec = other.spec;
}

std::vector<const Job*> waiting_jobs(const StateCache& state_cache) {
    std::vector<const Job*> jobs;
    for (const auto& [id, job] : state_cache.jobs())
        if (!job.cancelled && job.pending() > 0) jobs.push_back(&job);
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        return a->submitted < b->submitted;
    });
    return jobs;
}

// Takes room for a job's pending tasks from what the team's limits leave; returns for how many there was
// some.
std::int64_t take_team_room(const Team& team, QuotaUsage& use, const Job& job) {
    const Resources& need = job.spec.need;
    auto tasks = static_cast<std::int64_t>(job.pending());
    if (team.cpu_max > 0 && need.cpu > 0) tasks = std::min(tasks, (team.cpu_max - use.cpu) / need.cpu);
    if (team.gpu_max > 0 && need.gpu > 0) tasks = std::min(tasks, (team.gpu_max - use.gpu) / need.gpu);
    if (tasks <= 0) return 0;
    use.cpu += tasks * need.cpu;
    use.gpu += tasks * need.gpu;
    return tasks;
}
}  // namespace

std::vector<Demand> waiting_demands(const Settings& settings, const Policy& policy,
                                    const StateCache& state_cache, WallTime now) {
    std::vector<Demand> demands;
    std::map<TeamName, QuotaUsage> use_by_team;
    for (const Job* job : waiting_jobs(state_cache)) {
        const Team* team = state_cache.team_limits(job->spec.team);
        if (team == nullptr) continue;
        auto [use, fresh] = use_by_team.try_emplace(job->spec.team);
        if (fresh) use->second = state_cache.quota_usage(job->spec.team);
        const std::int64_t tasks = take_team_room(*team, use->second, *job);
        if (tasks == 0) continue;
        const double waited_s = static_cast<double>(now.value() - job->submitted.value()) / 1000.0;
        Demand demand;
        demand.spec = &job->spec;
        demand.required_zone = job->assigned_zone;
        demand.task_count = static_cast<TaskIndex>(tasks);
        demand.run_time_s = std::max(min_run_s, expected_run_time_s(job->spec));
        demand.max_wait_s =
            std::max(0.0, acceptable_wait_s(settings, job->spec) * policy.max_wait_factor - waited_s);
        demands.push_back(std::move(demand));
    }
    return demands;
}

std::vector<Demand> merge_similar(std::vector<Demand> demands) {
    if (demands.size() <= max_unmerged) return demands;
    std::vector<Demand> merged;
    std::map<DemandGroup, std::size_t> index_by_group;
    for (const Demand& demand : demands) {
        auto [index, fresh] = index_by_group.emplace(group_of(demand), merged.size());
        if (fresh)
            merged.push_back(demand);
        else
            join(merged[index->second], demand);
    }
    return merged;
}

double expected_run_time_s(const wire::JobSpec& spec) {
    return spec.is_service() ? no_end_s : spec.estimate_s;
}

double acceptable_wait_s(const Settings& settings, const wire::JobSpec& spec) {
    auto share_of_slack = [&](double limit_s) {
        return std::max(min_deadline_patience_s, (limit_s - spec.estimate_s) * patience_share_of_slack);
    };
    double max_wait_s = spec.deadline_s ? share_of_slack(*spec.deadline_s) : default_patience_s;
    for (const auto& objective : settings.objectives) {
        if (objective.job_class != spec.job_class) continue;
        if (objective.kind == "wait")
            max_wait_s = std::min(max_wait_s, objective.within_s * patience_share_of_wait);
        if (objective.kind == "finished")
            max_wait_s = std::min(max_wait_s, share_of_slack(objective.within_s));
    }
    return max_wait_s;
}

}  // namespace zincdyke::autoscaler
