#include "jobs/relay.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "cluster/rendezvous_hash.h"
#include "jobs/guarantees.h"
#include "sched/placement_rules.h"
#include "store/keys.h"

namespace zincdyke {
namespace {
constexpr Duration periodic_interval = std::chrono::milliseconds(100);
// Every change of a job schedules a scan that visits all jobs, so the interval between scans grows with the
// number of jobs.
constexpr Duration min_scan_interval = std::chrono::milliseconds(20);
constexpr std::size_t max_scan_interval_ms = 250, jobs_per_scan_interval_ms = 10;
constexpr Duration min_scan_delay = std::chrono::milliseconds(5);
constexpr int max_rounds_per_scan = 8;
// The maximum number of a job's tasks in one placement request, except that a gang's tasks are always
// requested together.
constexpr std::size_t max_tasks_per_request = 64;
constexpr Duration job_round_interval = std::chrono::milliseconds(50);
// How long a job waits for its next placement round after a round that found no capacity for some of its
// tasks.
constexpr Duration placement_failure_delay = std::chrono::milliseconds(400);
// Timeout of a placement round. If a round has no result within this time, its tasks are requested again.
constexpr Duration round_timeout = std::chrono::seconds(4);
// How long placements of a job must fail before its relay changes, and the minimum time between two changes.
constexpr Duration relay_change_delay = std::chrono::seconds(4);
constexpr std::uint64_t rounds_per_incarnation = 1'000'000;
constexpr std::size_t max_scorers = 255;  // a placement request stores the number of scorers in one byte
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

void Relay::start() { run_periodic_work(); }

void Relay::run_periodic_work() {
    env_.after(periodic_interval, [this] { run_periodic_work(); });
    remove_expired();
    scan_jobs();
}

void Relay::remove_expired() {
    backoff_.remove_expired(env_.now());
    // The entry of a job that gets another relay is removed. If the job later returned to this relay with its
    // old `failing_since`, its relay would change again immediately, and the job could move between relays
    // forever.
    std::erase_if(waiting_jobs_, [&](const auto& entry) {
        const Job* job = state_cache_.job(entry.first);
        return job == nullptr || cluster_.relay_of(*job) != settings_.node;
    });
}

void Relay::on_job_changed(const JobId& id) {
    const Job* job = state_cache_.job(id);
    if (job == nullptr) {
        waiting_jobs_.erase(id);
        return;
    }
    if (const auto waiting = waiting_jobs_.find(id); waiting != waiting_jobs_.end())
        remove_placed_tasks(*job, waiting->second);
    schedule_scan();
}

void Relay::remove_placed_tasks(const Job& job, WaitingJob& waiting) const {
    const auto placed_count = std::erase_if(waiting.requested_tasks, [&](const auto& entry) {
        const TaskIndex task = entry.first;
        if (state_cache_.task({job.spec.id, task}).status == TaskState::Status::pending) return false;
        if (job.spec.is_service()) waiting.restart_backoff.on_replica_placed(task, env_.now());
        return true;
    });
    if (placed_count > 0) waiting.failing_since.reset();
}

void Relay::on_placement_failure(const wire::PlacementFailure& failure) {
    const auto found = waiting_jobs_.find(failure.job);
    if (found == waiting_jobs_.end()) return;
    WaitingJob& waiting = found->second;
    const SteadyTime now = env_.now();
    counts_.failed_placements += failure.tasks.size();
    for (const TaskIndex task : failure.tasks) waiting.requested_tasks.erase(task);
    if (!waiting.failing_since) waiting.failing_since = now;
    waiting.next_round_at = now + placement_failure_delay;
    if (const Job* job = state_cache_.job(failure.job); job != nullptr)
        backoff_.on_placement_failed(*job, now, waiting.next_round_at);
}

// Retries only jobs whose tasks may fit into the freed capacity: placement rounds for all waiting jobs would
// take too much CPU time on the controllers.
void Relay::on_capacity_freed(const wire::CapacityFreedNotification& notification) {
    const auto groups = backoff_.on_capacity_freed(notification.type, notification.free);
    if (groups.empty()) return;
    for (auto& [id, waiting] : waiting_jobs_)
        if (const Job* job = state_cache_.job(id);
            job != nullptr && groups.contains(PlacementGroup::of(*job)))
            waiting.next_round_at = {};
    schedule_scan();
}

void Relay::schedule_scan() {
    if (std::exchange(is_scan_scheduled_, true)) return;
    const std::size_t interval_ms =
        std::min(state_cache_.jobs().size() / jobs_per_scan_interval_ms, max_scan_interval_ms);
    const Duration interval =
        std::max(Duration(min_scan_interval), millis(static_cast<std::int64_t>(interval_ms)));
    const Duration since_last_scan = env_.now() - last_scan_at_;
    env_.after(std::max(Duration(min_scan_delay), interval - since_last_scan), [this] {
        is_scan_scheduled_ = false;
        scan_jobs();
    });
}

void Relay::scan_jobs() {
    // Without an up-to-date view of the key-value store, no placement round is started.
    if (!cluster_.is_up_to_date()) return;
    const SteadyTime now = env_.now();
    last_scan_at_ = now;
    auto jobs = close_finished_and_list_pending_jobs();
    if (jobs.empty()) return;
    sort_by_precedence(jobs);
    int started_rounds = 0;
    for (const Job* job : jobs) {
        if (started_rounds >= max_rounds_per_scan) break;
        WaitingJob& waiting = waiting_jobs_[job->spec.id];
        std::erase_if(waiting.requested_tasks,
                      [&](const auto& entry) { return now - entry.second > round_timeout; });
        if (change_relay_if_failing(*job, waiting)) continue;
        if (waiting.next_round_at > now || !backoff_.may_start_round(*job, now)) continue;
        if (!start_round(*job, waiting)) continue;
        ++started_rounds;
        backoff_.on_round_started(PlacementGroup::of(*job), now);
    }
}

// Returns the jobs with pending tasks for which this node is the relay, and closes its finished jobs.
std::vector<const Job*> Relay::close_finished_and_list_pending_jobs() {
    std::vector<const Job*> jobs;
    for (const auto& [id, job] : state_cache_.jobs()) {
        const bool is_finished = (job.cancelled && job.placed_tasks == 0) || job.done_tasks == job.spec.tasks;
        const bool has_pending_tasks = !job.cancelled && job.pending_tasks() > 0;
        if ((!is_finished && !has_pending_tasks) || cluster_.relay_of(job) != settings_.node) continue;
        if (is_finished)
            committer_.close_job(id);
        else
            jobs.push_back(&job);
    }
    return jobs;
}

void Relay::sort_by_precedence(std::vector<const Job*>& jobs) const {
    const auto guaranteed_jobs = jobs_within_guarantee(state_cache_);
    std::sort(jobs.begin(), jobs.end(), [&](const Job* a, const Job* b) {
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        const bool is_a_guaranteed = guaranteed_jobs.contains(a);
        if (is_a_guaranteed != guaranteed_jobs.contains(b)) return is_a_guaranteed;
        if (a->submitted != b->submitted) return a->submitted < b->submitted;
        return a->spec.id < b->spec.id;
    });
}

// Moves a job whose placements keep failing to a relay that this node can't reach. A relay that is
// partitioned from its peers can place tasks only on the machines it leads; a controller on the other side of
// the partition may have free capacity.
bool Relay::change_relay_if_failing(const Job& job, WaitingJob& waiting) {
    const SteadyTime now = env_.now();
    if (!waiting.failing_since || now - *waiting.failing_since < relay_change_delay) return false;
    if (waiting.relay_changed_at && now - *waiting.relay_changed_at < relay_change_delay) return false;
    const auto reachable = peers_.reachable_nodes();
    std::vector<NodeName> unreachable;
    for (const auto& node : cluster_.live_nodes())
        if (std::find(reachable.begin(), reachable.end(), node) == reachable.end())
            unreachable.push_back(node);
    if (unreachable.empty()) return false;
    waiting.relay_changed_at = now;
    Job moved_job = job;
    moved_job.relay = pick_by_hash(job.spec.id.value(), unreachable);
    const std::string key = keys::job(job.spec.id);
    const Json record = state_cache_.encode_job(moved_job);
    store_.commit({{{key, job.version}}, {{key, record, std::nullopt}}}, RequestPriority::decision,
                  [this, key, record, moved_job](const CommitResult& result) {
                      if (result.outcome != Outcome::ok)
                          return;  // the watch delivers the job's current record
                      log::info("event=job_relay_changed job={} to={} revision={}", moved_job.spec.id.value(),
                                moved_job.relay.value(), result.revision.value());
                      state_cache_.apply({key, record, result.revision});
                  });
    return true;
}

bool Relay::start_round(const Job& job, WaitingJob& waiting) {
    if (job.spec.shape == wire::Shape::gang && !waiting.requested_tasks.empty()) return false;
    if (state_cache_.team_limits(job.spec.team) == nullptr) return false;
    auto tasks = tasks_to_request(job, waiting);
    if (tasks.empty()) return false;
    const SteadyTime now = env_.now();
    for (const TaskIndex task : tasks) waiting.requested_tasks[task] = now;
    waiting.next_round_at = now + job_round_interval;
    ++counts_.rounds_started;
    send_placement_request(job, std::move(tasks));
    return true;
}

std::vector<TaskIndex> Relay::tasks_to_request(const Job& job, WaitingJob& waiting) const {
    static const TaskState never_started_task;
    const bool is_gang = job.spec.shape == wire::Shape::gang;
    const std::size_t max_tasks = is_gang ? job.spec.tasks : max_tasks_per_request;
    const std::size_t requested_before = is_gang ? 0 : waiting.requested_tasks.size();
    std::vector<TaskIndex> tasks;
    for (std::uint32_t page_number = 0;
         page_number < state_cache_.page_count(job) && tasks.size() < max_tasks; ++page_number) {
        const auto found = job.pages.find(page_number);
        const Page* page = found != job.pages.end() ? &found->second : nullptr;
        if (page != nullptr && page->placed_tasks + page->done_tasks == page->tasks.size()) continue;
        const TaskIndex first_task = page_number * state_cache_.page_size(job),
                        task_count = state_cache_.task_count_in_page(job, page_number);
        for (TaskIndex i = 0; i < task_count && tasks.size() < max_tasks; ++i) {
            const TaskState& state = page != nullptr ? page->tasks[i] : never_started_task;
            if (!needs_request(job, waiting, first_task + i, state)) continue;
            const std::size_t requested_count = tasks.size() + 1 + requested_before;
            if (!is_placement_request_allowed(job, state, static_cast<TaskIndex>(requested_count))) break;
            tasks.push_back(first_task + i);
        }
    }
    // A gang's pending tasks are requested together or not at all.
    if (is_gang && tasks.size() != job.pending_tasks()) return {};
    return tasks;
}

bool Relay::needs_request(const Job& job, WaitingJob& waiting, TaskIndex task, const TaskState& state) const {
    if (state.status != TaskState::Status::pending || waiting.requested_tasks.contains(task)) return false;
    return !job.spec.is_service() || waiting.restart_backoff.earliest_start(task, env_.now()) <= env_.now();
}

bool Relay::is_placement_request_allowed(const Job& job, const TaskState& state,
                                         TaskIndex requested_count) const {
    if (!state_cache_.fits_team_quota(job.spec.team, job.spec.need, requested_count)) return false;
    return job.spec.shape != wire::Shape::gang || sched::next_attempt_number(job, state).has_value();
}

void Relay::send_placement_request(const Job& job, std::vector<TaskIndex> tasks) {
    const auto scorers = peers_.reachable_nodes();
    wire::PlacementRequest request;
    // The incarnation makes round numbers unique across restarts of this node.
    request.round = {settings_.node,
                     cluster_.incarnation().value() * rounds_per_incarnation + ++last_round_number_};
    request.job = job.spec.id;
    // The hash includes the round number, so that a retry after a failed round uses another gatherer.
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
