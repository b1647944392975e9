#include "sched/placement_rules.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace zincdyke::sched {

std::size_t tasks_that_fit(const Resources& room, const Resources& need) {
    std::int64_t most = wire::max_tasks;
    const auto limit = [&](std::int64_t there, std::int64_t each) {
        if (each > 0) most = std::min(most, there / each);
    };
    limit(room.cpu, need.cpu);
    limit(room.gpu, need.gpu);
    limit(room.ram, need.ram);
    return static_cast<std::size_t>(std::max<std::int64_t>(most, 0));
}

bool type_allowed(const wire::JobSpec& s, const wire::MachineType& t) {
    if (s.types && std::find(s.types->begin(), s.types->end(), t.name) == s.types->end()) return false;
    return t.capacity.covers(s.need);
}

bool should_use_type(const wire::JobSpec& s, const wire::MachineType& t,
                     const std::vector<wire::MachineType>& types) {
    if (s.need.gpu > 0 || t.capacity.gpu == 0) return true;
    return std::none_of(types.begin(), types.end(),
                        [&](const auto& o) { return o.capacity.gpu == 0 && type_allowed(s, o); });
}

bool can_be_preempted_for(const wire::JobSpec& s, const Reservation& r) {
    return s.rank > r.rank && s.shape == wire::Shape::array && s.checkpoint_s > 0 && r.max_save_s > 0 &&
           s.save_s <= r.max_save_s;
}

bool may_use_reserved(const wire::JobSpec& s, const Reservation& r) {
    if (!r.job.empty()) return s.id == r.job;
    return (s.job_class == r.job_class && s.rank <= r.rank) || can_be_preempted_for(s, r);
}

bool machine_allowed(const wire::JobSpec& s, const std::optional<std::string>& pin, const std::string& type,
                     const std::string& zone, bool spot) {
    if (s.types && std::find(s.types->begin(), s.types->end(), type) == s.types->end()) return false;
    if (s.zone && *s.zone != zone) return false;
    if (pin && *pin != zone) return false;
    return s.spot || !spot;
}

bool has_precedence(const Job& a, const Job& b, double apart_s) {
    if (a.spec.rank != b.spec.rank) return a.spec.rank < b.spec.rank;
    return static_cast<double>(b.submitted.value() - a.submitted.value()) > apart_s * 1000;
}

bool has_fewer_types(const wire::JobSpec& a, const wire::JobSpec& b,
                     const std::vector<wire::MachineType>& types) {
    bool less = false;
    for (const auto& t : types) {
        const bool fits_a = type_allowed(a, t) && should_use_type(a, t, types);
        const bool fits_b = type_allowed(b, t) && should_use_type(b, t, types);
        if (fits_a && !fits_b) return false;
        less = less || (fits_b && !fits_a);
    }
    return less;
}

namespace {
// Each outweighs what free room can make up for, at most some thousands.
constexpr std::int64_t image_score = 100'000, replica_score = 60'000, trouble_score = 1'000'000;
}  // namespace

std::int64_t score(const Candidate& c, const Resources& need, const Resources& largest) {
    auto share = [](std::int64_t left, std::int64_t of) { return of > 0 ? left * 1000 / of : 0; };
    std::int64_t room = share(c.free.cpu - need.cpu, largest.cpu) + share(c.free.ram - need.ram, largest.ram);
    if (need.gpu > 0)
        room += share(c.free.gpu - need.gpu, largest.gpu);
    else
        room -= 4 * share(c.free.gpu, largest.gpu);  // GPUs are for those who need them
    return (c.has_image ? image_score : 0) + room - replica_score * std::int64_t{c.replica_count} -
           trouble_score * std::int64_t{c.failure_penalty};
}

std::vector<wire::PlacementOffer> make_offers(std::vector<Candidate>& candidates, const Resources& need,
                                              std::size_t tasks, OfferOptions options) {
    Resources largest;
    for (const auto& c : candidates) {
        largest.cpu = std::max(largest.cpu, c.total.cpu);
        largest.gpu = std::max(largest.gpu, c.total.gpu);
        largest.ram = std::max(largest.ram, c.total.ram);
    }
    // Only the chosen candidate's score changes, so the others keep their places.
    std::priority_queue<std::pair<std::int64_t, std::size_t>> best;
    const std::size_t n = candidates.size();
    auto enter = [&](std::size_t i) {
        if (candidates[i].free.covers(need)) best.emplace(score(candidates[i], need, largest), n - i);
    };
    for (std::size_t i = 0; i < n; ++i) enter(i);
    std::vector<wire::PlacementOffer> offers;
    std::map<std::string, std::size_t> taken;
    while ((options.is_limit_per_zone || offers.size() < tasks) && !best.empty()) {
        const auto [top, rest] = best.top();
        best.pop();
        Candidate& c = candidates[n - rest];
        if (options.is_limit_per_zone && ++taken[c.zone] > tasks) continue;
        c.free -= need;
        // A machine fetches an image once for all its tasks: the next of this job finds it there.
        if (options.spread_replicas)
            ++c.replica_count;
        else
            c.has_image = true;
        offers.push_back({c.id, c.zone, top});
        enter(n - rest);
    }
    return offers;
}

TaskIndex max_tasks_per_zone(TaskIndex tasks) { return (tasks + 1) / 2; }

std::map<NodeName, std::vector<wire::Assignment>> choose_offers(std::vector<ScoredOffer> offers,
                                                                const std::vector<TaskIndex>& tasks,
                                                                bool whole, std::optional<TaskIndex> per_zone,
                                                                std::mt19937_64& rng, bool one_zone) {
    std::shuffle(offers.begin(), offers.end(), rng);
    std::stable_sort(offers.begin(), offers.end(),
                     [](const auto& a, const auto& b) { return a.offer.score > b.offer.score; });
    if (one_zone) {
        std::map<std::string, std::pair<std::size_t, std::int64_t>>
            zones;  // tasks that it takes, and their scores
        for (const auto& o : offers) {
            auto& [n, sum] = zones[o.offer.zone];
            if (n == tasks.size()) continue;
            ++n;
            sum += o.offer.score;
        }
        auto best = std::max_element(zones.begin(), zones.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
        if (best != zones.end())
            std::erase_if(offers, [&](const auto& o) { return o.offer.zone != best->first; });
    }
    std::map<NodeName, std::vector<wire::Assignment>> yes;
    std::map<std::string, TaskIndex> in_zone;
    std::size_t next = 0;
    for (const auto& o : offers) {
        if (next == tasks.size()) break;
        if (per_zone && in_zone[o.offer.zone] >= *per_zone) continue;
        ++in_zone[o.offer.zone];
        yes[o.scorer].push_back({tasks[next++], o.offer.machine});
    }
    if (whole && next < tasks.size()) yes.clear();
    return yes;
}

GangState gang_state(const Job& j) {
    GangState g;
    for (const auto& [n, p] : j.pages)
        for (const auto& t : p.tasks)
            if (t.status != TaskState::Status::done) g.attempt = std::max(g.attempt, t.attempt);
    for (const auto& [n, p] : j.pages)
        for (const auto& t : p.tasks) {
            if (t.status == TaskState::Status::placed) ++g.placed;
            if (t.status == TaskState::Status::pending && t.attempt == g.attempt && g.attempt > 0)
                g.failed = true;
        }
    return g;
}

std::optional<Attempt> next_attempt(const Job& j, const TaskState& t) {
    if (j.spec.shape != wire::Shape::gang) return t.attempt + 1;
    GangState g = gang_state(j);
    if (g.failed) {
        // Tasks of the failed attempt are still out there: the next one waits for all of them.
        if (g.placed > 0) return std::nullopt;
        return g.attempt + 1;
    }
    return std::max<Attempt>(g.attempt, 1);
}

}  // namespace zincdyke::sched
