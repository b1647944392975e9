#include "jobs/relay.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "cluster/rendezvous_hash.h"
#include "jobs/guarantees.h"
#include "sched/logic.h"
#include "store/keys.h"

namespace zincdyke {
namespace {
constexpr Duration tick_interval = std::chrono::milliseconds(100);
// Every change of a job asks for a plan, and a plan walks all jobs: the more there are, the longer the
// distance between two plans.
constexpr Duration min_plan_interval = std::chrono::milliseconds(20);
constexpr std::size_t max_plan_interval_ms = 250, jobs_per_plan_interval_ms = 10;
constexpr Duration min_plan_delay = std::chrono::milliseconds(5);
constexpr int max_rounds_per_plan = 8;
constexpr std::size_t max_tasks_per_request = 64;  // of a job, in one message; a gang's go together
constexpr Duration job_round_interval = std::chrono::milliseconds(50);
constexpr Duration failure_delay =
    std::chrono::milliseconds(400);                          // before what found no capacity asks again
constexpr Duration round_timeout = std::chrono::seconds(4);  // a round unheard of for so long is asked again
constexpr Duration relay_change_delay =
    std::chrono::seconds(4);  // without a place, and after the last change
constexpr std::uint64_t rounds_per_incarnation = 1'000'000;
constexpr std::size_t max_scorers = 255;  // the message holds their number in a byte
}  // namespace

Relay::Relay(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
             ClusterCoordinator& cluster, TaskCommitter& committer, PeerChannel& peers)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(state_cache),
      cluster_(cluster),
      committer_(committer),
      peers_(peers) {}

void Relay::start() { tick(); }

void Relay::tick() {
    env_.after(tick_interval, [this] { tick(); });
    forget_expired();
    plan();
}

void Relay::forget_expired() {
    backoff_.forget_expired(env_.now());
    // Kept beyond the time as its relay, a job that came back from another relay would pass for one that had
    // been stuck here all the time, and would be passed on at once, without end.
    std::erase_if(waiting_, [&](const auto& entry) {
        const Job* job = state_cache_.job(entry.first);
        return job == nullptr || cluster_.relay_of(*job) != settings_.node;
    });
}

void Relay::on_job_changed(const JobId& id) {
    const Job* job = state_cache_.job(id);
    if (job == nullptr) {
        waiting_.erase(id);
        return;
    }
    if (const auto waiting = waiting_.find(id); waiting != waiting_.end())
        note_placed_tasks(*job, waiting->second);
    plan_soon();
}

void Relay::note_placed_tasks(const Job& job, WaitingJob& waiting) const {
    const auto placed = std::erase_if(waiting.requested, [&](const auto& entry) {
        const TaskIndex task = entry.first;
        if (state_cache_.task({job.spec.id, task}).status == TaskState::Status::pending) return false;
        if (job.spec.is_service()) waiting.restarts.on_replica_placed(task, env_.now());
        return true;
    });
    if (placed > 0) waiting.failing_since.reset();
}

void Relay::on_placement_failure(const wire::PlacementFailure& failure) {
    const auto found = waiting_.find(failure.job);
    if (found == waiting_.end()) return;
    WaitingJob& waiting = found->second;
    const SteadyTime now = env_.now();
    counts_.failed_placements += failure.tasks.size();
    for (const TaskIndex task : failure.tasks) waiting.requested.erase(task);
    if (!waiting.failing_since) waiting.failing_since = now;
    waiting.not_before = now + failure_delay;
    if (const Job* job = state_cache_.job(failure.job); job != nullptr)
        backoff_.on_placement_failed(*job, now, waiting.not_before);
}

// Only those jobs may ask again at once whose tasks would fit: rounds of all waiting jobs would take most of
// the controllers' processors.
void Relay::on_capacity_freed(const wire::CapacityFreedNotification& freed) {
    const auto kinds = backoff_.on_capacity_freed(freed.type, freed.free);
    if (kinds.empty()) return;
    for (auto& [id, waiting] : waiting_)
        if (const Job* job = state_cache_.job(id); job != nullptr && kinds.contains(JobKind::of(*job)))
            waiting.not_before = {};
    plan_soon();
}

void Relay::plan_soon() {
    if (std::exchange(is_plan_scheduled_, true)) return;
    const std::size_t interval_ms =
        std::min(state_cache_.jobs().size() / jobs_per_plan_interval_ms, max_plan_interval_ms);
    const Duration interval =
        std::max(Duration(min_plan_interval), millis(static_cast<std::int64_t>(interval_ms)));
    const Duration since_last = env_.now() - last_plan_;
    env_.after(std::max(Duration(min_plan_delay), interval - since_last), [this] {
        is_plan_scheduled_ = false;
        plan();
    });
}

void Relay::plan() {
    // A node without the key-value store starts nothing.
    if (!cluster_.is_up_to_date()) return;
    const SteadyTime now = env_.now();
    last_plan_ = now;
    auto jobs = jobs_to_place();
    if (jobs.empty()) return;
    sort_by_precedence(jobs);
    int rounds = 0;
    for (const Job* job : jobs) {
        if (rounds >= max_rounds_per_plan) break;
        WaitingJob& waiting = waiting_[job->spec.id];
        std::erase_if(waiting.requested,
                      [&](const auto& entry) { return now - entry.second > round_timeout; });
        if (change_relay_if_stuck(*job, waiting)) continue;
        if (waiting.not_before > now || !backoff_.may_start_round(*job, now)) continue;
        if (!start_round(*job, waiting)) continue;
        ++rounds;
        backoff_.on_round_started(JobKind::of(*job), now);
    }
}

// This node's jobs that have pending tasks. Closes those that are over.
std::vector<const Job*> Relay::jobs_to_place() {
    std::vector<const Job*> jobs;
    for (const auto& [id, job] : state_cache_.jobs()) {
        const bool is_over = (job.cancelled && job.placed == 0) || job.done == job.spec.tasks;
        const bool is_waiting = !job.cancelled && job.pending() > 0;
        if ((!is_over && !is_waiting) || cluster_.relay_of(job) != settings_.node) continue;
        if (is_over)
            committer_.close_job(id);
        else
            jobs.push_back(&job);
    }
    return jobs;
}

void Relay::sort_by_precedence(std::vector<const Job*>& jobs) const {
    const auto guaranteed = jobs_within_guarantee(state_cache_);
    std::sort(jobs.begin(), jobs.end(), [&](const Job* a, const Job* b) {
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        const bool is_first_guaranteed = guaranteed.contains(a);
        if (is_first_guaranteed != guaranteed.contains(b)) return is_first_guaranteed;
        if (a->submitted != b->submitted) return a->submitted < b->submitted;
        return a->spec.id < b->spec.id;
    });
}

// A relay that reaches the key-value store but not its peers can use only its own machines: what finds no
// capacity there goes to a controller that may reach more.
bool Relay::change_relay_if_stuck(const Job& job, WaitingJob& waiting) {
    const SteadyTime now = env_.now();
    if (!waiting.failing_since || now - *waiting.failing_since < relay_change_delay) return false;
    if (waiting.relay_changed && now - *waiting.relay_changed < relay_change_delay) return false;
    const auto reachable = peers_.reachable_nodes();
    std::vector<NodeName> unreachable;
    for (const auto& node : cluster_.live_nodes())
        if (std::find(reachable.begin(), reachable.end(), node) == reachable.end())
            unreachable.push_back(node);
    if (unreachable.empty()) return false;
    waiting.relay_changed = now;
    Job moved = job;
    moved.relay = pick_by_hash(job.spec.id.value(), unreachable);
    const std::string key = keys::job(job.spec.id);
    const Json record = state_cache_.encode_job(moved);
    store_.commit({{{key, job.version}}, {{key, record, std::nullopt}}}, RequestPriority::decision,
                  [this, key, record, moved](const CommitResult& result) {
                      if (result.outcome != Outcome::ok) return;  // the watch tells what became of it
                      log::info("event=job_relay_changed job={} to={} revision={}", moved.spec.id.value(),
                                moved.relay.value(), result.revision.value());
                      state_cache_.apply({key, record, result.revision});
                  });
    return true;
}

bool Relay::start_round(const Job& job, WaitingJob& waiting) {
    if (job.spec.shape == wire::Shape::gang && !waiting.requested.empty()) return false;
    if (state_cache_.team_limits(job.spec.team) == nullptr) return false;
    auto tasks = tasks_to_request(job, waiting);
    if (tasks.empty()) return false;
    const SteadyTime now = env_.now();
    for (const TaskIndex task : tasks) waiting.requested[task] = now;
    waiting.not_before = now + job_round_interval;
    ++counts_.rounds_started;
    send_placement_request(job, std::move(tasks));
    return true;
}

std::vector<TaskIndex> Relay::tasks_to_request(const Job& job, WaitingJob& waiting) const {
    static const TaskState never_started;
    const bool is_gang = job.spec.shape == wire::Shape::gang;
    const std::size_t max_tasks = is_gang ? job.spec.tasks : max_tasks_per_request;
    const std::size_t requested_before = is_gang ? 0 : waiting.requested.size();
    std::vector<TaskIndex> tasks;
    for (std::uint32_t number = 0; number < state_cache_.pages_of(job) && tasks.size() < max_tasks;
         ++number) {
        const auto found = job.pages.find(number);
        const Page* page = found != job.pages.end() ? &found->second : nullptr;
        if (page != nullptr && page->placed + page->done == page->tasks.size()) continue;
        const TaskIndex first = number * state_cache_.page_size(job),
                        size = state_cache_.tasks_in(job, number);
        for (TaskIndex i = 0; i < size && tasks.size() < max_tasks; ++i) {
            const TaskState& state = page != nullptr ? page->tasks[i] : never_started;
            if (!is_due(job, waiting, first + i, state)) continue;
            const std::size_t requested = tasks.size() + 1 + requested_before;
            if (!may_request(job, state, static_cast<TaskIndex>(requested))) break;
            tasks.push_back(first + i);
        }
    }
    // All members of a gang are asked for at once, or only those that are missing from one under way.
    if (is_gang && tasks.size() != job.pending()) return {};
    return tasks;
}

bool Relay::is_due(const Job& job, WaitingJob& waiting, TaskIndex task, const TaskState& state) const {
    if (state.status != TaskState::Status::pending || waiting.requested.contains(task)) return false;
    return !job.spec.is_service() || waiting.restarts.earliest_start(task, env_.now()) <= env_.now();
}

bool Relay::may_request(const Job& job, const TaskState& state, TaskIndex requested) const {
    if (!state_cache_.fits_team_quota(job.spec.team, job.spec.need, requested)) return false;
    return job.spec.shape != wire::Shape::gang || sched::next_attempt(job, state).has_value();
}

void Relay::send_placement_request(const Job& job, std::vector<TaskIndex> tasks) {
    const auto scorers = peers_.reachable_nodes();
    wire::PlacementRequest request;
    // Unique among all processes that ever bore this node's name.
    request.round = {settings_.node, cluster_.incarnation().value() * rounds_per_incarnation + ++last_round_};
    request.job = job.spec.id;
    // By the round's number too: a round that fails is asked again through another gatherer.
    request.gatherer =
        pick_by_hash(job.spec.id.value() + "#" + std::to_string(request.round.number), scorers);
    request.scorers = static_cast<std::uint8_t>(std::min(scorers.size(), max_scorers));
    request.need = job.spec.need;
    request.image = job.spec.image;
    request.rank = job.spec.rank;
    request.tasks = std::move(tasks);
    for (const auto& scorer : scorers) peers_.send(scorer, request);
}

}  // namespace zincdyke
