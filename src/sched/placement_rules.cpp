#include "sched/placement_rules.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace zincdyke::sched {

std::size_t tasks_that_fit(const Resources& available, const Resources& need) {
    std::int64_t max_tasks = wire::max_tasks;
    const auto limit = [&](std::int64_t available_amount, std::int64_t amount_per_task) {
        if (amount_per_task > 0) max_tasks = std::min(max_tasks, available_amount / amount_per_task);
    };
    limit(available.cpu, need.cpu);
    limit(available.gpu, need.gpu);
    limit(available.ram, need.ram);
    return static_cast<std::size_t>(std::max<std::int64_t>(max_tasks, 0));
}

bool type_allowed(const wire::JobSpec& spec, const wire::MachineType& type) {
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end())
        return false;
    return type.capacity.covers(spec.need);
}

bool should_use_type(const wire::JobSpec& spec, const wire::MachineType& type,
                     const std::vector<wire::MachineType>& types) {
    if (spec.need.gpu > 0 || type.capacity.gpu == 0) return true;
    return std::none_of(types.begin(), types.end(), [&](const auto& other) {
        return other.capacity.gpu == 0 && type_allowed(spec, other);
    });
}

bool can_be_preempted_for(const wire::JobSpec& spec, const Reservation& reservation) {
    return spec.rank > reservation.rank && spec.shape == wire::Shape::array && spec.checkpoint_s > 0 &&
           reservation.max_save_s > 0 && spec.save_s <= reservation.max_save_s;
}

bool may_use_reserved(const wire::JobSpec& spec, const Reservation& reservation) {
    if (!reservation.job.empty()) return spec.id == reservation.job;
    return (spec.job_class == reservation.job_class && spec.rank <= reservation.rank) ||
           can_be_preempted_for(spec, reservation);
}

bool machine_allowed(const wire::JobSpec& spec, const std::optional<std::string>& required_zone,
                     const std::string& type, const std::string& zone, bool spot) {
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), type) == spec.types->end())
        return false;
    if (spec.zone && *spec.zone != zone) return false;
    if (required_zone && *required_zone != zone) return false;
    return spec.spot || !spot;
}

bool has_precedence(const Job& a, const Job& b, double min_age_gap_s) {
    if (a.spec.rank != b.spec.rank) return a.spec.rank < b.spec.rank;
    return static_cast<double>(b.submitted.value() - a.submitted.value()) > min_age_gap_s * 1000;
}

bool has_fewer_types(const wire::JobSpec& a, const wire::JobSpec& b,
                     const std::vector<wire::MachineType>& types) {
    bool has_fewer = false;
    for (const auto& type : types) {
        const bool fits_a = type_allowed(a, type) && should_use_type(a, type, types);
        const bool fits_b = type_allowed(b, type) && should_use_type(b, type, types);
        if (fits_a && !fits_b) return false;
        has_fewer = has_fewer || (fits_b && !fits_a);
    }
    return has_fewer;
}

namespace {
// Weights of a cached image, of a replica and of a task failure in the score. Each weight exceeds the highest
// possible score for free capacity, which is a few thousand, so that free capacity only decides between
// otherwise equal candidates. A service's second replica on a machine with its image scores less than the
// first on another such machine, and the third less than one on a machine without the image.
constexpr std::int64_t image_weight = 100'000, replica_weight = 60'000, failure_weight = 1'000'000;
}  // namespace

std::int64_t score(const Candidate& candidate, const Resources& need, const Resources& largest) {
    auto permille = [](std::int64_t amount, std::int64_t largest_amount) {
        return largest_amount > 0 ? amount * 1000 / largest_amount : 0;
    };
    std::int64_t capacity_score = permille(candidate.free.cpu - need.cpu, largest.cpu) +
                                  permille(candidate.free.ram - need.ram, largest.ram);
    if (need.gpu > 0)
        capacity_score += permille(candidate.free.gpu - need.gpu, largest.gpu);
    else
        // Free GPUs lower the score for tasks without GPU needs, to keep the GPUs for tasks that need them.
        capacity_score -= 4 * permille(candidate.free.gpu, largest.gpu);
    return (candidate.has_image ? image_weight : 0) + capacity_score -
           replica_weight * std::int64_t{candidate.replica_count} -
           failure_weight * std::int64_t{candidate.failure_penalty};
}

std::vector<wire::PlacementOffer> make_offers(std::vector<Candidate>& candidates, const Resources& need,
                                              std::size_t max_offers, OfferOptions options) {
    Resources largest;
    for (const auto& candidate : candidates) {
        largest.cpu = std::max(largest.cpu, candidate.total.cpu);
        largest.gpu = std::max(largest.gpu, candidate.total.gpu);
        largest.ram = std::max(largest.ram, candidate.total.ram);
    }
    // An offer changes the score of its own candidate only, so the other queue entries stay valid. The second
    // element of a queue entry decreases with the candidate's index, so that equal scores are ordered by
    // index.
    std::priority_queue<std::pair<std::int64_t, std::size_t>> best;
    const std::size_t n = candidates.size();
    auto enqueue = [&](std::size_t i) {
        if (candidates[i].free.covers(need)) best.emplace(score(candidates[i], need, largest), n - i);
    };
    for (std::size_t i = 0; i < n; ++i) enqueue(i);
    std::vector<wire::PlacementOffer> offers;
    std::map<std::string, std::size_t> offers_per_zone;
    while ((options.is_limit_per_zone || offers.size() < max_offers) && !best.empty()) {
        const auto [top_score, reverse_index] = best.top();
        best.pop();
        Candidate& candidate = candidates[n - reverse_index];
        if (options.is_limit_per_zone && ++offers_per_zone[candidate.zone] > max_offers) continue;
        candidate.free -= need;
        // A machine fetches an image once, so further tasks of the same job find it cached there.
        if (options.spread_replicas)
            ++candidate.replica_count;
        else
            candidate.has_image = true;
        offers.push_back({candidate.id, candidate.zone, top_score});
        enqueue(n - reverse_index);
    }
    return offers;
}

TaskIndex max_tasks_per_zone(TaskIndex tasks) { return (tasks + 1) / 2; }

std::map<NodeName, std::vector<wire::Assignment>> choose_offers(std::vector<ScoredOffer> offers,
                                                                const std::vector<TaskIndex>& tasks,
                                                                bool all_or_nothing,
                                                                std::optional<TaskIndex> max_per_zone,
                                                                std::mt19937_64& rng, bool one_zone) {
    std::shuffle(offers.begin(), offers.end(), rng);
    std::stable_sort(offers.begin(), offers.end(),
                     [](const auto& a, const auto& b) { return a.offer.score > b.offer.score; });
    if (one_zone) {
        // Number of tasks that each zone can take, and the sum of the scores of their offers.
        std::map<std::string, std::pair<std::size_t, std::int64_t>> zones;
        for (const auto& scored : offers) {
            auto& [task_count, score_sum] = zones[scored.offer.zone];
            if (task_count == tasks.size()) continue;
            ++task_count;
            score_sum += scored.offer.score;
        }
        auto best = std::max_element(zones.begin(), zones.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
        if (best != zones.end())
            std::erase_if(offers, [&](const auto& scored) { return scored.offer.zone != best->first; });
    }
    std::map<NodeName, std::vector<wire::Assignment>> accepted;
    std::map<std::string, TaskIndex> tasks_in_zone;
    std::size_t next = 0;
    for (const auto& scored : offers) {
        if (next == tasks.size()) break;
        if (max_per_zone && tasks_in_zone[scored.offer.zone] >= *max_per_zone) continue;
        ++tasks_in_zone[scored.offer.zone];
        accepted[scored.scorer].push_back({tasks[next++], scored.offer.machine});
    }
    if (all_or_nothing && next < tasks.size()) accepted.clear();
    return accepted;
}

GangState gang_state(const Job& job) {
    GangState gang;
    for (const auto& [number, page] : job.pages)
        for (const auto& task : page.tasks)
            if (task.status != TaskState::Status::done)
                gang.latest_attempt = std::max(gang.latest_attempt, task.attempt);
    for (const auto& [number, page] : job.pages)
        for (const auto& task : page.tasks) {
            if (task.status == TaskState::Status::placed) ++gang.placed_tasks;
            if (task.status == TaskState::Status::pending && task.attempt == gang.latest_attempt &&
                gang.latest_attempt > 0)
                gang.failed = true;
        }
    return gang;
}

std::optional<Attempt> next_attempt_number(const Job& job, const TaskState& task) {
    if (job.spec.shape != wire::Shape::gang) return task.attempt + 1;
    GangState gang = gang_state(job);
    if (gang.failed) {
        // A new attempt starts only after all tasks of the failed attempt have ended.
        if (gang.placed_tasks > 0) return std::nullopt;
        return gang.latest_attempt + 1;
    }
    return std::max<Attempt>(gang.latest_attempt, 1);
}

}  // namespace zincdyke::sched
