#include "jobs/task_committer.h"

#include <algorithm>
#include <iterator>

#include "base/log.h"
#include "cluster/format_level.h"
#include "jobs/commit_limits.h"
#include "jobs/committed_records.h"
#include "sched/logic.h"
#include "sched/spread.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr Duration gather_releases = std::chrono::milliseconds(40);
constexpr Duration gather_ends = std::chrono::milliseconds(250);    // a machine's room is free before that
constexpr Duration gather_ends_at_limit = std::chrono::seconds(2);  // while the team may want their room
constexpr double low_write_load = 0.5, high_write_load = 0.9;
constexpr double near_limit_share = 0.9;
constexpr Duration retry_pause = std::chrono::milliseconds(150);  // after a refusal
constexpr Duration invalid_pause = std::chrono::seconds(2);       // after a 400
constexpr Duration lock_poll = std::chrono::milliseconds(100);    // until a team's lock is held
constexpr std::size_t most_bytes =
    std::size_t{48} * 1024;  // of a transaction, well below the service's 64 KiB
constexpr std::size_t most_frozen_of_a_page = 2;
constexpr std::size_t max_pending_operations = 20'000;  // at a committer; more are rejected
}  // namespace

TaskCommitter::TaskCommitter(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                             ClusterCoordinator& cluster, PeerChannel& peers)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(state_cache),
      cluster_(cluster),
      peers_(peers),
      locks_(env, store, state_cache, cluster, settings.node,
             [this](const TeamName& team) {
                 if (const CommitQueueKey key{team, {}}; lanes_.contains(key)) schedule(key, Duration(0));
             }),
      forwarder_(env, state_cache, peers,
                 [this](const JobId& job, PendingOperation operation) { queue(job, std::move(operation)); }),
      responder_(env, peers),
      record_writer_(env, settings, store, state_cache) {}

void TaskCommitter::start() { forwarder_.start(); }

void TaskCommitter::commit_start(const TaskRef& task, const MachineId& machine, const std::string& zone,
                                 StartCallback on_result) {
    PendingOperation operation;
    operation.kind = OperationKind::start;
    operation.task = task.task;
    operation.machine = machine;
    operation.zone = zone;
    operation.on_result = std::move(on_result);
    accept(task.job, std::move(operation));
}

void TaskCommitter::commit_completion(const TaskRef& task, Attempt attempt, const MachineId& machine) {
    PendingOperation operation;
    operation.kind = OperationKind::completion;
    operation.task = task.task;
    operation.attempt = attempt;
    operation.machine = machine;
    accept(task.job, std::move(operation));
}

void TaskCommitter::commit_release(const TaskRef& task, Attempt attempt, const MachineId& machine,
                                   ReleaseReason reason) {
    PendingOperation operation;
    operation.kind = OperationKind::release;
    operation.task = task.task;
    operation.attempt = attempt;
    operation.machine = machine;
    operation.release_reason = reason;
    accept(task.job, std::move(operation));
}

double TaskCommitter::sample_write_demand() {
    std::size_t waiting = 0;
    for (const auto& [name, lane] : lanes_) waiting += lane.ops.size();
    const std::uint64_t written = counts_.pages - std::exchange(pages_told_, counts_.pages);
    demand_ = 0.6 * demand_ + 0.4 * static_cast<double>(waiting + written);
    return demand_;
}

// Ends need no room of the team and have lanes of their own: they don't wait for its lock.
CommitQueueKey TaskCommitter::lane_of(const PageKey& page, OperationKind event) const {
    const Job* j = state_cache_.job(page.job);
    if (j == nullptr || event != OperationKind::start) return {{}, page};
    const Team* t = state_cache_.team_limits(j->spec.team);
    if (t == nullptr || !t->limited()) return {{}, page};
    return {t->name, {}};
}

// What this node decided: it goes to the job's committer, or is queued here.
void TaskCommitter::accept(const JobId& job, PendingOperation operation) {
    const auto term = cluster_.leader_term(operation.machine);
    // Heartbeats repeat what they say until it is cleared: one commit for it is enough.
    if (!term || !undecided_.insert({{job, operation.task}, {operation.kind, operation.attempt}}).second) {
        if (operation.on_result)
            env_.after(Duration(0), [tell = std::move(operation.on_result)] { tell(false); });
        return;
    }
    operation.term = *term;
    operation.accepted_at = env_.now();
    const Job* known = state_cache_.job(job);
    const NodeName committer = known != nullptr ? cluster_.committer_of(*known) : settings_.node;
    if (committer == settings_.node || !peers_.is_reachable(committer))
        return queue(job, std::move(operation));
    forwarder_.forward(committer, job, std::move(operation));
}

bool TaskCommitter::near_team_limit(const Job& j) const {
    const Team* team = state_cache_.team_limits(j.spec.team);
    if (team == nullptr) return false;
    const QuotaUsage use = state_cache_.quota_usage(j.spec.team);
    const auto near = [](std::int64_t used, std::int64_t most) {
        return most > 0 && static_cast<double>(used) > near_limit_share * static_cast<double>(most);
    };
    return near(use.cpu, team->cpu_max) || near(use.gpu, team->gpu_max);
}

// How long an operation may wait for others of its page. The last end of a page is told at once.
Duration TaskCommitter::gather_time(const PendingOperation& op, const PageKey& page,
                                    std::size_t waiting) const {
    if (op.kind == OperationKind::start) return start_delay;
    const Job* j = state_cache_.job(page.job);
    if (op.kind == OperationKind::release || j == nullptr) return gather_releases;
    const auto known = j->pages.find(page.page);
    const std::size_t done = known != j->pages.end() ? known->second.done : 0;
    if (done + waiting + 1 >= state_cache_.tasks_in(*j, page.page)) return gather_releases;
    const double scarcity =
        std::clamp((store_.write_load() - low_write_load) / (high_write_load - low_write_load), 0.0, 1.0);
    const Duration longest = near_team_limit(*j) ? gather_ends_at_limit : max_completion_delay;
    return gather_ends + seconds(to_seconds(longest - gather_ends) * scarcity);
}

void TaskCommitter::queue(const JobId& job, PendingOperation op) {
    ++pending_;
    const PageKey page = page_key_of(job, op.task);
    const CommitQueueKey lane = lane_of(page, op.kind);
    auto& ops = lanes_[lane].ops[page];
    const Duration wait = gather_time(op, page, ops.size());
    ops.push_back(std::move(op));
    schedule(lane, wait);
}

// A job that is not known has no pages: its operations wait together until they are found to be over.
PageKey TaskCommitter::page_key_of(const JobId& job, TaskIndex task) const {
    const Job* j = state_cache_.job(job);
    return {job, j != nullptr ? state_cache_.page_of(*j, task) : 0};
}

// Back among those that wait: in the page that holds the task now, which may be another than before.
void TaskCommitter::put_back(const JobId& job, PendingOperation op, Duration pause) {
    const PageKey page = page_key_of(job, op.task);
    const CommitQueueKey lane = lane_of(page, op.kind);
    lanes_[lane].ops[page].push_back(std::move(op));
    schedule(lane, pause);
}

void TaskCommitter::on_pages_resized(const JobId& id) {
    std::vector<PendingOperation> waiting;
    for (auto& [key, lane] : lanes_)
        std::erase_if(lane.ops, [&](auto& entry) {
            if (entry.first.job != id) return false;
            std::move(entry.second.begin(), entry.second.end(), std::back_inserter(waiting));
            return true;
        });
    std::erase_if(lanes_, [](const auto& e) { return e.second.ops.empty() && !e.second.in_flight; });
    for (auto& op : waiting) put_back(id, std::move(op), start_delay);
}

void TaskCommitter::on_commit_request(const NodeName& from, const wire::CommitRequest& request) {
    const bool is_known = state_cache_.job(request.job) != nullptr;
    for (const auto& requested : request.operations) {
        const ForwardedRequest origin{from, requested.request_id};
        const auto kind = operation_kind(requested.event);
        if (!is_known || !kind || pending_ >= max_pending_operations) {
            responder_.add_result(origin, false);
            continue;
        }
        PendingOperation operation;
        operation.kind = *kind;
        operation.task = requested.task;
        operation.attempt = requested.attempt;
        operation.machine = requested.machine;
        operation.zone = requested.zone;
        operation.term = Term{requested.term};
        operation.accepted_at = env_.now();
        operation.forwarded = origin;
        queue(request.job, std::move(operation));
    }
}

// Tells whoever asked. A leader's answer waits for the records that go with it.
void TaskCommitter::deliver_result(const JobId& job, PendingOperation& operation, bool is_committed) {
    if (operation.forwarded) return responder_.add_result(*operation.forwarded, is_committed);
    undecided_.erase({TaskRef{job, operation.task}, {operation.kind, operation.attempt}});
    if (operation.on_result)
        env_.after(Duration(0),
                   [tell = std::move(operation.on_result), is_committed] { tell(is_committed); });
}

void TaskCommitter::on_commit_response(const wire::CommitResponse& response) {
    apply_stored_records(state_cache_, response.records);
    for (auto& answered : forwarder_.take_answered(response))
        deliver_result(answered.job, answered.operation, answered.is_committed);
}

void TaskCommitter::schedule(const CommitQueueKey& key, Duration d) {
    Lane& lane = lanes_[key];
    const SteadyTime at = env_.now() + d;
    if (!lane.due || at < *lane.due) lane.due = at;
    if (!lane.in_flight) arm(*lane.due);
}

void TaskCommitter::arm(SteadyTime at) {
    if (timer_ != 0 && timer_at_ <= at) return;
    if (timer_ != 0) env_.cancel(timer_);
    timer_at_ = at;
    timer_ = env_.after(std::max(Duration(0), at - env_.now()), [this] {
        timer_ = 0;
        pump();
    });
}

// Lanes go in the order of their due times, and are drafted only when their writes may go: what waits for the
// budget gathers meanwhile in the same pages, and no draft grows old in a queue.
void TaskCommitter::pump() {
    for (;;) {
        const SteadyTime now = env_.now();
        const CommitQueueKey* best = nullptr;
        std::optional<SteadyTime> due;
        for (const auto& [key, lane] : lanes_)
            if (!lane.in_flight && lane.due && (!due || *lane.due < *due)) {
                due = lane.due;
                best = &key;
            }
        if (best == nullptr) return;
        if (*due > now) return arm(*due);
        if (!store_.reachable()) return arm(now + millis(300));
        const std::size_t writes = store_.available_writes();
        if (writes == 0) return arm(now + std::clamp(store_.time_until_writes(2), millis(5), millis(200)));
        flush(CommitQueueKey(*best), writes);
    }
}

// True when the operation changed `tasks`. Otherwise it is settled already, or may not be done.
bool TaskCommitter::apply(const Job& j, PendingOperation& op, std::vector<TaskState>& tasks,
                          std::uint32_t page, QuotaUsage& use) {
    const std::size_t at = op.task - std::size_t{page} * state_cache_.page_size(j);
    if (at >= tasks.size()) return false;
    TaskState& t = tasks[at];
    if (op.kind != OperationKind::start) {
        // Replicas are never done. What an owner of an earlier version takes for that is no proof of their
        // end.
        if (op.kind == OperationKind::completion && j.spec.is_service()) return false;
        if (t.status != TaskState::Status::placed || t.attempt != op.attempt || t.machine != op.machine)
            return false;
        t.status =
            op.kind == OperationKind::completion ? TaskState::Status::done : TaskState::Status::pending;
        t.machine = {};
        t.zone.clear();
        use.cpu -= j.spec.need.cpu;
        use.gpu -= j.spec.need.gpu;
        return true;
    }
    if (t.status != TaskState::Status::pending || j.cancelled || env_.now() - op.accepted_at > max_start_wait)
        return false;
    auto attempt = sched::next_attempt(j, t);
    const Team* team = state_cache_.team_limits(j.spec.team);
    if (!attempt || team == nullptr) return false;
    if ((team->cpu_max > 0 && use.cpu + j.spec.need.cpu > team->cpu_max) ||
        (team->gpu_max > 0 && use.gpu + j.spec.need.gpu > team->gpu_max))
        return false;
    if (j.spec.spread) {
        // Whether every page is spread is known once the model shows the frozen pages as they were left.
        const bool known = j.small_page_size == 0 || state_cache_.applied_revision >= j.version;
        if (!known || !sched::every_page_spread(j) || !sched::zone_has_room(tasks, page, op.zone))
            return false;
        t.zone = op.zone;
    }
    t.status = TaskState::Status::placed;
    t.attempt = *attempt;
    t.machine = op.machine;
    use.cpu += j.spec.need.cpu;
    use.gpu += j.spec.need.gpu;
    return true;
}

// The term that the commit of this operation must name; nothing when it was judged under one that is over. A
// peer's may be newer than what the watch has brought: the commit's condition decides.
std::optional<Term> TaskCommitter::valid_term(const PendingOperation& op, std::uint32_t part) const {
    if (!op.forwarded ? cluster_.term(part) != op.term : state_cache_.shards()[part].term > op.term)
        return std::nullopt;
    return op.term;
}

bool TaskCommitter::zone_allowed(const Job& j, const std::string& zone, const Draft& d) const {
    if (!j.spec.one_zone) return true;
    if (auto chosen = d.zones.find(j.spec.id); chosen != d.zones.end()) return chosen->second == zone;
    const auto bound = state_cache_.required_zone(j);
    return !bound || *bound == zone;
}

// By rank, then the longest waiting: in the order of the jobs' names a backlog passed over the same jobs each
// time.
std::map<PageKey, std::vector<PendingOperation>>::iterator TaskCommitter::next_page(Lane& lane) const {
    const auto order = [&](const auto& entry) {
        const Job* j = state_cache_.job(entry.first.job);
        return std::make_pair(j != nullptr ? j->spec.rank : wire::Rank::critical,
                              entry.second.front().accepted_at);
    };
    return std::min_element(lane.ops.begin(), lane.ops.end(),
                            [&](const auto& a, const auto& b) { return order(a) < order(b); });
}

// Conditions that one more page takes at the most: its job's, its own, and those of the frozen pages that its
// tasks were in, or of all the job's pages where the zone is chosen.
std::size_t TaskCommitter::conditions_for(const Job* j) {
    if (j == nullptr) return 0;
    const std::size_t own = 2 + (j->small_page_size != 0 ? most_frozen_of_a_page : 0);
    return j->spec.one_zone ? std::max(own, 1 + StateCache::most_free_pages) : own;
}

// Room for one more page, and for its job's end or its new zone.
bool TaskCommitter::has_room(const Draft& d, const Job* j, std::size_t most_writes) const {
    const StateLimits& limits = settings_.strictest_limits;
    const std::size_t writes = d.txn.writes.size();
    constexpr std::size_t another_part = 1;
    return writes + 3 <= limits.txn_ops && writes < most_writes && d.bytes <= most_bytes &&
           d.txn.conditions.size() + d.parts.size() + conditions_for(j) + another_part <= limits.conditions();
}

// A page that is written for its starts takes along the ends that wait for it.
std::vector<PendingOperation> TaskCommitter::with_waiting_ends(const PageKey& page,
                                                               std::vector<PendingOperation> ops) {
    const auto lane = lanes_.find(CommitQueueKey{{}, page});
    if (lane == lanes_.end() || lane->second.in_flight) return ops;
    const auto waiting = lane->second.ops.find(page);
    if (waiting == lane->second.ops.end()) return ops;
    std::vector<PendingOperation> all = std::move(waiting->second);
    all.insert(all.end(), std::make_move_iterator(ops.begin()), std::make_move_iterator(ops.end()));
    lanes_.erase(lane);
    return all;
}

// Applies what may be done of `ops` and answers the others.
TaskCommitter::Applied TaskCommitter::apply_all(Draft& d, const PageKey& page, const Job* j,
                                                std::vector<PendingOperation> ops) {
    const std::size_t most_conditions = settings_.strictest_limits.conditions();
    Applied result;
    if (j != nullptr) result.tasks = state_cache_.page_tasks(*j, page.page);
    for (auto& op : ops) {
        const std::uint32_t part = state_cache_.shard_of(op.machine);
        const auto term = valid_term(op, part);
        const auto named = d.parts.find(part);
        // Many owners at once: those whose terms don't fit among the conditions come with the next commit.
        if (term && named == d.parts.end() &&
            d.txn.conditions.size() + d.parts.size() + conditions_for(j) + 1 > most_conditions) {
            result.later.push_back(std::move(op));
            continue;
        }
        const bool is_start = op.kind == OperationKind::start;
        if (j != nullptr && term && (named == d.parts.end() || named->second == *term) &&
            (!is_start || zone_allowed(*j, op.zone, d)) && apply(*j, op, result.tasks, page.page, d.use)) {
            d.parts.emplace(part, *term);
            if (is_start && j->spec.one_zone) d.zones[page.job] = op.zone;
            if (!is_start) d.urgent = true;
            result.used.push_back(std::move(op));
            continue;
        }
        --pending_;
        // A commit whose answer was lost may have placed it after all.
        const TaskState now = state_cache_.task({page.job, op.task});
        deliver_result(page.job, op, now.status == TaskState::Status::placed && now.machine == op.machine);
    }
    return result;
}

// Whether a page's record may have so many bytes now. From the first format level on, or once the service has
// refused a value for its size, none is larger than the strictest limit that the settings announce.
bool TaskCommitter::fits_a_record(std::size_t tasks, std::size_t bytes) const {
    if (tasks <= state_cache_.safe_page_size()) return true;
    const bool keep_to_strictest =
        state_cache_.format_level() >= FormatLevel::small_pages || store_.has_rejected_value();
    const StateLimits& limits = keep_to_strictest ? settings_.strictest_limits : settings_.state_limits;
    return bytes <= limits.value_bytes();
}

// Adds what may be done of `ops` to the draft; what has to wait is left in `later`.
void TaskCommitter::add_page(Draft& d, const PageKey& page, std::vector<PendingOperation> ops,
                             std::vector<PendingOperation>& later) {
    const Job* j = state_cache_.job(page.job);
    const QuotaUsage use_before = d.use;
    const auto parts_before = d.parts;
    const auto zones_before = d.zones;
    Applied applied = apply_all(d, page, j, std::move(ops));
    later = std::move(applied.later);
    if (applied.used.empty()) {
        d.use = use_before;
        return;
    }
    Json record = records::encode_page(applied.tasks, std::size_t{page.page} * state_cache_.page_size(*j));
    const std::size_t bytes = record.dump().size();
    if (fits_a_record(applied.tasks.size(), bytes)) {
        add_writes(d, page, *j, applied.tasks, std::move(record));
        d.bytes += bytes;
        d.taken.emplace_back(page, std::move(applied.used));
        return;
    }
    d.use = use_before;
    d.parts = parts_before;
    d.zones = zones_before;
    if (state_cache_.format_level() >= FormatLevel::small_pages &&
        state_cache_.safe_page_size() < state_cache_.page_size(*j)) {
        record_writer_.resize_pages(page.job);
        std::move(applied.used.begin(), applied.used.end(), std::back_inserter(later));
        return;
    }
    // Ends make a page shorter; starts wait for them elsewhere.
    for (auto& op : applied.used) {
        if (op.kind != OperationKind::start) {
            later.push_back(std::move(op));
            continue;
        }
        log::warn("event=page_full job={} page={}", page.job.value(), page.page);
        --pending_;
        deliver_result(page.job, op, false);
    }
}

void TaskCommitter::add_writes(Draft& d, const PageKey& page, const Job& j,
                               const std::vector<TaskState>& tasks, Json record) {
    const std::string job_key = keys::job(page.job), page_key = StateCache::page_key(j, page.page);
    const auto add_condition = [&d](const Condition& condition) {
        const auto same = [&](const Condition& c) { return c.key == condition.key; };
        if (std::none_of(d.txn.conditions.begin(), d.txn.conditions.end(), same))
            d.txn.conditions.push_back(condition);
    };
    add_condition({job_key, j.version});
    for (const auto& condition : state_cache_.page_conditions(j, page.page)) add_condition(condition);
    const auto zone = d.zones.find(page.job);
    if (zone != d.zones.end() && zone->second != j.assigned_zone && d.moved.insert(page.job).second) {
        // No task of it is on a machine, as these versions of all its pages prove; from this commit on it is
        // bound to the zone.
        for (std::uint32_t n = 0; n < state_cache_.pages_of(j); ++n)
            for (const auto& condition : state_cache_.page_conditions(j, n)) add_condition(condition);
        Job there = j;
        there.assigned_zone = zone->second;
        d.txn.writes.push_back({job_key, state_cache_.encode_job(there), std::nullopt});
    }
    const bool over = state_cache_.pages_of(j) == 1 &&
                      std::all_of(tasks.begin(), tasks.end(),
                                  [](const auto& t) { return t.status == TaskState::Status::done; });
    constexpr std::size_t writes_of_an_end = 2;
    if (!over || j.cancelled || d.txn.writes.size() + writes_of_an_end > settings_.strictest_limits.txn_ops) {
        d.txn.writes.push_back({page_key, std::move(record), std::nullopt});
        return;
    }
    // The last task's end and the job's in one commit; a page that finds no place in it is deleted later.
    if (state_cache_.version(page_key) != Revision{} &&
        d.txn.writes.size() + writes_of_an_end < settings_.strictest_limits.txn_ops)
        d.txn.writes.push_back({page_key, std::nullopt, std::nullopt});
    d.txn.writes.push_back({job_key, std::nullopt, std::nullopt});
    d.txn.writes.push_back({keys::final_state(page.job), done_record(j), std::nullopt});
}

TaskCommitter::Draft TaskCommitter::draft(const CommitQueueKey& key, std::size_t most_writes) {
    Draft d;
    Lane& lane = lanes_[key];
    if (!key.team.empty()) {
        d.use = state_cache_.quota_usage(key.team);
        d.txn.conditions.push_back({keys::team_lock(key.team), *locks_.token(key.team)});
    }
    std::map<PageKey, std::vector<PendingOperation>> later;
    while (!lane.ops.empty()) {
        const auto next = next_page(lane);
        const PageKey page = next->first;
        const bool busy = pages_in_flight_.contains(page);
        if (!busy && !d.taken.empty() && !has_room(d, state_cache_.job(page.job), most_writes)) break;
        std::vector<PendingOperation> ops = std::move(next->second);
        lane.ops.erase(next);
        if (busy) {
            later[page] = std::move(ops);
            continue;
        }
        if (!key.team.empty()) ops = with_waiting_ends(page, std::move(ops));
        std::vector<PendingOperation> rest;
        add_page(d, page, std::move(ops), rest);
        if (!rest.empty()) later[page] = std::move(rest);
    }
    for (auto& [page, ops] : later) {
        auto& waiting = lane.ops[page];
        std::move(ops.begin(), ops.end(), std::back_inserter(waiting));
    }
    for (const auto& [k, term] : d.parts) d.txn.conditions.push_back({keys::shard(k), term});
    return d;
}

std::vector<std::string> TaskCommitter::keys_of(const Transaction& txn) {
    std::vector<std::string> out;
    for (const auto& c : txn.conditions) out.push_back(c.key);
    return out;
}

// Starts of a limited team go only under its lock. Without it they wait, for as long as a start may.
bool TaskCommitter::may_start(const CommitQueueKey& key) {
    if (key.team.empty() || locks_.token(key.team)) return true;
    Lane& lane = lanes_[key];
    const SteadyTime now = env_.now();
    for (auto& [page, ops] : lane.ops)
        std::erase_if(ops, [&, job = page.job](PendingOperation& op) {
            if (op.kind != OperationKind::start || now - op.accepted_at <= max_start_wait) return false;
            --pending_;
            deliver_result(job, op, false);
            return true;
        });
    std::erase_if(lane.ops, [](const auto& entry) { return entry.second.empty(); });
    if (lane.ops.empty()) {
        lanes_.erase(key);
        return false;
    }
    locks_.acquire(key.team);
    schedule(key, lock_poll);
    return false;
}

void TaskCommitter::flush(const CommitQueueKey& key, std::size_t most_writes) {
    lanes_[key].due.reset();
    if (!may_start(key)) return;
    auto d = std::make_shared<Draft>(draft(key, most_writes));
    Lane& lane = lanes_[key];
    if (d->taken.empty()) {
        if (lane.ops.empty())
            lanes_.erase(key);
        else
            schedule(key, start_delay);
        return;
    }
    lane.in_flight = true;
    for (const auto& [page, ops] : d->taken) pages_in_flight_.insert(page);
    ++counts_.commits;
    store_.commit(d->txn, d->urgent ? RequestPriority::report : RequestPriority::decision,
                  [this, key, d](const CommitResult& r) {
                      lanes_[key].in_flight = false;
                      for (const auto& [page, ops] : d->taken) pages_in_flight_.erase(page);
                      if (r.outcome == Outcome::ok)
                          on_committed(key, *d, r);
                      else
                          on_not_committed(key, *d, r);
                  });
}

void TaskCommitter::on_committed(const CommitQueueKey& key, Draft& d, const CommitResult& r) {
    apply_committed(state_cache_, d.txn, r.revision);
    if (!key.team.empty()) locks_.on_committed(key.team, r.revision);
    counts_.pages += d.taken.size();
    for (auto& [page, ops] : d.taken)
        for (auto& op : ops) {
            --pending_;
            ++(op.kind == OperationKind::start ? counts_.starts : counts_.ends);
            log::info("event={} task={} machine={} term={} reason={} revision={}", committed_event_name(op),
                      TaskRef{page.job, op.task}.str(), op.machine.value(), op.term.value(), log_reason(op),
                      r.revision.value());
            deliver_result(page.job, op, true);
        }
    responder_.send_with_records(d.txn, r.revision);
    Lane& lane = lanes_[key];
    if (lane.ops.empty())
        lanes_.erase(key);
    else
        schedule(key, lane.due ? std::max(Duration(0), *lane.due - env_.now()) : start_delay);
}

// Not known to be done: the operations go back and are drafted anew. The new commit names the same versions
// as the old or newer ones, so that at most one of the two can ever be carried out; and a team's starts go on
// under a new token, so that none of the old one's is carried out after the team's tasks were counted.
void TaskCommitter::on_not_committed(const CommitQueueKey& key, Draft& d, const CommitResult& r) {
    if (r.outcome == Outcome::conflict) ++counts_.conflicts;
    if (r.outcome == Outcome::unknown && !key.team.empty()) locks_.invalidate(key.team);
    // After a 400 it was refused for good as it is: what can make it smaller takes its time.
    const Duration pause = r.outcome == Outcome::invalid ? invalid_pause : retry_pause;
    const std::set<std::string> failed(r.failed.begin(), r.failed.end());
    for (auto& [page, ops] : d.taken)
        for (auto& op : ops) {
            // A peer's term that is over: its successor will see for itself.
            if (op.forwarded && failed.contains(keys::shard(state_cache_.shard_of(op.machine)))) {
                --pending_;
                deliver_result(page.job, op, false);
                continue;
            }
            // Ends that came along with starts go back to where they need no lock.
            put_back(page.job, std::move(op), pause);
        }
    if (r.outcome == Outcome::refused) return schedule(key, pause);
    if (r.outcome == Outcome::invalid) {
        log::error("event=commit_rejected team={} job={} writes={}", key.team.value(), key.page.job.value(),
                   d.txn.writes.size());
        return schedule(key, pause);
    }
    refresh(key, r.outcome == Outcome::conflict && !r.failed.empty() ? r.failed : keys_of(d.txn));
}

void TaskCommitter::refresh(const CommitQueueKey& lane, const std::vector<std::string>& wanted) {
    lanes_[lane].in_flight = true;
    auto left = std::make_shared<std::size_t>(wanted.size());
    for (const auto& key : wanted)
        store_.get(key, RequestPriority::report, [this, lane, key, left](GetResult g) {
            // Parts are read by the watch alone: a term counts only once all before it is known.
            const bool part = key.rfind("z/p/", 0) == 0;
            if (!part && g.outcome == Outcome::ok) state_cache_.apply({key, g.value, g.version});
            if (!part && g.outcome == Outcome::not_found && state_cache_.version(key) != Revision{})
                state_cache_.apply({key, std::nullopt, g.version});
            if (--*left > 0) return;
            lanes_[lane].in_flight = false;
            schedule(lane, millis(30));
        });
}

TaskCommitter::Counts TaskCommitter::counts() const {
    Counts counts = counts_;
    counts.forwarded = forwarder_.counts().forwarded;
    counts.reclaimed = forwarder_.counts().reclaimed;
    return counts;
}

void TaskCommitter::close_job(const JobId& id) { record_writer_.close_job(id); }

}  // namespace zincdyke
