#include "jobs/task_committer.h"

#include <algorithm>
#include <iterator>

#include "base/log.h"
#include "cluster/format_level.h"
#include "sched/logic.h"
#include "sched/spread.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr Duration place_limit = std::chrono::seconds(6);  // a start not committed by then is given up
constexpr Duration gather_places = std::chrono::milliseconds(20);
constexpr Duration gather_releases = std::chrono::milliseconds(40);
constexpr Duration gather_ends = std::chrono::milliseconds(250);  // a machine's room is free before that
// Where writes are short, ends are gathered longer, up to this: fewer writes for the same ends.
constexpr Duration gather_ends_longest = std::chrono::seconds(12);
constexpr Duration gather_ends_at_limit = std::chrono::seconds(2);  // while the team may want their room
constexpr double low_write_load = 0.5, high_write_load = 0.9;
constexpr double near_limit_share = 0.9;
constexpr Duration retry_pause = std::chrono::milliseconds(150);  // after a refusal
constexpr Duration resize_pause = std::chrono::milliseconds(300);
constexpr Duration invalid_pause = std::chrono::seconds(2);     // after a 400
constexpr Duration lock_poll = std::chrono::milliseconds(100);  // until a team's lock is held
constexpr Duration gather_sent = std::chrono::milliseconds(5);
// A home that lives and is heard answers within these; after that its message was lost, and the owner commits
// itself.
constexpr Duration start_answer_limit = place_limit + std::chrono::seconds(1);
constexpr Duration end_answer_limit = gather_ends_longest + std::chrono::seconds(6);
constexpr std::size_t most_bytes =
    std::size_t{48} * 1024;             // of a transaction, well below the service's 64 KiB
constexpr std::size_t most_sent = 256;  // operations in one message
constexpr std::size_t most_frozen_of_a_page = 2;
constexpr std::size_t most_ops = 20'000;      // waiting at a home; more are refused
constexpr std::size_t most_records = 60'000;  // bytes of records in a message
}  // namespace

TaskCommitter::TaskCommitter(Env& env, const Settings& settings, StoreClient& store, StateCache& model,
                             ClusterCoordinator& cluster, PeerChannel& peers)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(model),
      cluster_(cluster),
      peers_(peers),
      locks_(env, store, model, cluster, settings.node) {
    locks_.on_held = [this](const TeamName& team) {
        if (const LaneKey key{team, {}}; lanes_.contains(key)) schedule(key, Duration(0));
    };
}

void TaskCommitter::start() { take_back(); }

void TaskCommitter::commit_start(const TaskRef& t, const MachineId& m, const std::string& zone, Done done) {
    Op op;
    op.event = TaskEvent::place;
    op.machine = m;
    op.zone = zone;
    op.done = std::move(done);
    enqueue(t, std::move(op));
}
void TaskCommitter::commit_completion(const TaskRef& t, Attempt a, const MachineId& m) {
    Op op;
    op.event = TaskEvent::finish;
    op.attempt = a;
    op.machine = m;
    op.why = "done";
    enqueue(t, std::move(op));
}
void TaskCommitter::commit_release(const TaskRef& t, Attempt a, const MachineId& m, const char* why) {
    Op op;
    op.event = TaskEvent::release;
    op.attempt = a;
    op.machine = m;
    op.why = why;
    enqueue(t, std::move(op));
}

double TaskCommitter::sample_write_demand() {
    std::size_t waiting = 0;
    for (const auto& [name, lane] : lanes_) waiting += lane.ops.size();
    const std::uint64_t written = counts_.pages - std::exchange(pages_told_, counts_.pages);
    demand_ = 0.6 * demand_ + 0.4 * static_cast<double>(waiting + written);
    return demand_;
}

// Ends need no room of the team and have lanes of their own: they don't wait for its lock.
TaskCommitter::LaneKey TaskCommitter::lane_of(const PageKey& page, TaskEvent event) const {
    const Job* j = state_cache_.job(page.job);
    if (j == nullptr || event != TaskEvent::place) return {{}, page};
    const Team* t = state_cache_.team_limits(j->spec.team);
    if (t == nullptr || !t->limited()) return {{}, page};
    return {t->name, {}};
}

void TaskCommitter::enqueue(const TaskRef& t, Op op) {
    const auto term = cluster_.leader_term(op.machine);
    // Reports repeat what they say until it is cleared: one commit for it is enough.
    if (!term || !waiting_.insert({t, {op.event, op.attempt}}).second) {
        if (op.done) env_.after(Duration(0), [done = std::move(op.done)] { done(false); });
        return;
    }
    op.task = t.task;
    op.term = *term;
    op.since = env_.now();
    const Job* j = state_cache_.job(t.job);
    const NodeName home = j != nullptr ? cluster_.committer_of(*j) : settings_.node;
    if (home == settings_.node || !peers_.is_reachable(home)) return queue(t.job, std::move(op));
    // What a late copy of this message says is judged again at its home, under the same term and attempt.
    const std::uint64_t request_id = ++next_request_id_;
    remote_.emplace(request_id, Remote{t.job, std::move(op), home, session_of(home), env_.now()});
    ++counts_.forwarded;
    outbox_[{home, t.job}].push_back(request_id);
    if (!std::exchange(outbox_armed_, true)) env_.after(gather_sent, [this] { send_outbox(); });
}

void TaskCommitter::send_outbox() {
    outbox_armed_ = false;
    for (auto& [to, tickets] : std::exchange(outbox_, {})) {
        wire::CommitRequest m{to.second, {}};
        for (std::uint64_t request_id : tickets) {
            auto it = remote_.find(request_id);
            if (it == remote_.end()) continue;
            const Op& op = it->second.op;
            m.operations.push_back({static_cast<std::uint8_t>(op.event), op.task, op.attempt, op.machine,
                                    op.zone, op.term.value(), request_id});
            if (m.operations.size() == most_sent) peers_.send(to.first, std::exchange(m, {to.second, {}}));
        }
        if (!m.operations.empty()) peers_.send(to.first, std::move(m));
    }
}

Revision TaskCommitter::session_of(const NodeName& node) const {
    const auto session = state_cache_.live_nodes().find(node);
    return session != state_cache_.live_nodes().end() ? session->second : Revision{};
}

bool TaskCommitter::given_up(const Remote& r) const {
    if (!peers_.is_reachable(r.home) || session_of(r.home) != r.home_session) return true;
    const Duration limit = r.op.event == TaskEvent::place ? start_answer_limit : end_answer_limit;
    return env_.now() - r.asked > limit;
}

// A home that is gone or began anew, or is cut off from us or from the state service, is not waited for: the
// owner commits itself. Should the home do so too, one of the two commits finds the other's versions and
// fails. One that is only busy is waited for: ends that were taken back while it gathered them were written
// twice.
void TaskCommitter::take_back() {
    env_.after(millis(250), [this] { take_back(); });
    for (auto it = remote_.begin(); it != remote_.end();) {
        Remote& r = it->second;
        if (!given_up(r)) {
            ++it;
            continue;
        }
        ++counts_.reclaimed;
        queue(r.job, std::move(r.op));
        it = remote_.erase(it);
    }
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
Duration TaskCommitter::gather_time(const Op& op, const PageKey& page, std::size_t waiting) const {
    if (op.event == TaskEvent::place) return gather_places;
    const Job* j = state_cache_.job(page.job);
    if (op.event == TaskEvent::release || j == nullptr) return gather_releases;
    const auto known = j->pages.find(page.page);
    const std::size_t done = known != j->pages.end() ? known->second.done : 0;
    if (done + waiting + 1 >= state_cache_.tasks_in(*j, page.page)) return gather_releases;
    const double scarcity =
        std::clamp((store_.write_load() - low_write_load) / (high_write_load - low_write_load), 0.0, 1.0);
    const Duration longest = near_team_limit(*j) ? gather_ends_at_limit : gather_ends_longest;
    return gather_ends + seconds(to_seconds(longest - gather_ends) * scarcity);
}

void TaskCommitter::queue(const JobId& job, Op op) {
    ++ops_;
    const PageKey page = page_key_of(job, op.task);
    const LaneKey lane = lane_of(page, op.event);
    auto& ops = lanes_[lane].ops[page];
    const Duration wait = gather_time(op, page, ops.size());
    ops.push_back(std::move(op));
    schedule(lane, wait);
}

// A job that is not known has no pages: its operations wait together until they are found to be over.
TaskCommitter::PageKey TaskCommitter::page_key_of(const JobId& job, TaskIndex task) const {
    const Job* j = state_cache_.job(job);
    return {job, j != nullptr ? state_cache_.page_of(*j, task) : 0};
}

// Back among those that wait: in the page that holds the task now, which may be another than before.
void TaskCommitter::put_back(const JobId& job, Op op, Duration pause) {
    const PageKey page = page_key_of(job, op.task);
    const LaneKey lane = lane_of(page, op.event);
    lanes_[lane].ops[page].push_back(std::move(op));
    schedule(lane, pause);
}

void TaskCommitter::on_pages_resized(const JobId& id) {
    std::vector<Op> waiting;
    for (auto& [key, lane] : lanes_)
        std::erase_if(lane.ops, [&](auto& entry) {
            if (entry.first.job != id) return false;
            std::move(entry.second.begin(), entry.second.end(), std::back_inserter(waiting));
            return true;
        });
    std::erase_if(lanes_, [](const auto& e) { return e.second.ops.empty() && !e.second.in_flight; });
    for (auto& op : waiting) put_back(id, std::move(op), gather_places);
}

void TaskCommitter::on_commit_request(const NodeName& from, const wire::CommitRequest& m) {
    const bool known = state_cache_.job(m.job) != nullptr;
    for (const auto& o : m.operations) {
        Op op;
        op.from = from;
        op.request_id = o.request_id;
        if (!known || ops_ >= most_ops || o.event > static_cast<std::uint8_t>(TaskEvent::release)) {
            answer(m.job, op, false);
            continue;
        }
        op.event = static_cast<TaskEvent>(o.event);
        op.task = o.task;
        op.attempt = o.attempt;
        op.machine = o.machine;
        op.zone = o.zone;
        op.term = Term{o.term};
        op.since = env_.now();
        op.why = "by_owner";
        queue(m.job, std::move(op));
    }
}

// Tells whoever asked. An owner's answer waits for the records that go with it.
void TaskCommitter::answer(const JobId& job, Op& op, bool done) {
    if (!op.from.empty()) {
        results_[op.from].push_back({op.request_id, done});
        if (!std::exchange(results_armed_, true))
            env_.after(Duration(0), [this] { send_results(nullptr, {}); });
        return;
    }
    waiting_.erase({TaskRef{job, op.task}, {op.event, op.attempt}});
    if (op.done) env_.after(Duration(0), [tell = std::move(op.done), done] { tell(done); });
}

void TaskCommitter::send_results(const Transaction* txn, Revision r) {
    results_armed_ = false;
    std::vector<wire::StoredRecord> records;
    std::size_t bytes = 0;
    if (txn != nullptr)
        for (const auto& w : txn->writes) {
            if (w.key.rfind(keys::live, 0) != 0) continue;
            wire::StoredRecord rec{w.key, w.value ? w.value->dump() : "", r.value()};
            bytes += rec.value.size();
            if (bytes <= most_records) records.push_back(std::move(rec));
        }
    for (auto& [to, ops] : std::exchange(results_, {}))
        peers_.send(to, wire::CommitResponse{std::move(ops), records});
}

void TaskCommitter::on_commit_response(const wire::CommitResponse& m) {
    // A job's end before its pages', as in adopt(). Nothing of a job that the watch has not brought yet.
    for (const bool jobs : {true, false})
        for (const auto& rec : m.records) {
            const bool is_job = rec.key.rfind("z/j/", 0) == 0, is_page = !keys::job_of_page(rec.key).empty();
            if (is_job != jobs || (is_page && state_cache_.job(keys::job_of_page(rec.key)) == nullptr))
                continue;
            KeyUpdate item{rec.key, std::nullopt, Revision{rec.version}};
            if (!rec.value.empty()) {
                Json v = Json::parse(rec.value, nullptr, false);
                if (v.is_discarded()) continue;
                item.value = std::move(v);
            }
            state_cache_.apply(item);
        }
    for (const auto& o : m.results) {
        auto it = remote_.find(o.request_id);
        if (it == remote_.end()) continue;
        Remote r = std::move(it->second);
        remote_.erase(it);
        answer(r.job, r.op, o.is_committed);
    }
}

void TaskCommitter::schedule(const LaneKey& key, Duration d) {
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
        const LaneKey* best = nullptr;
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
        flush(LaneKey(*best), writes);
    }
}

// True when the operation changed `tasks`. Otherwise it is settled already, or may not be done.
bool TaskCommitter::apply(const Job& j, Op& op, std::vector<TaskState>& tasks, std::uint32_t page,
                          QuotaUsage& use) {
    const std::size_t at = op.task - std::size_t{page} * state_cache_.page_size(j);
    if (at >= tasks.size()) return false;
    TaskState& t = tasks[at];
    if (op.event != TaskEvent::place) {
        // Replicas are never done. What an owner of an earlier version takes for that is no proof of their
        // end.
        if (op.event == TaskEvent::finish && j.spec.is_service()) return false;
        if (t.status != TaskState::Status::placed || t.attempt != op.attempt || t.machine != op.machine)
            return false;
        t.status = op.event == TaskEvent::finish ? TaskState::Status::done : TaskState::Status::pending;
        t.machine = {};
        t.zone.clear();
        use.cpu -= j.spec.need.cpu;
        use.gpu -= j.spec.need.gpu;
        return true;
    }
    if (t.status != TaskState::Status::pending || j.cancelled || env_.now() - op.since > place_limit)
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
std::optional<Term> TaskCommitter::valid_term(const Op& op, std::uint32_t part) const {
    if (op.from.empty() ? cluster_.term(part) != op.term : state_cache_.shards()[part].term > op.term)
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
std::map<TaskCommitter::PageKey, std::vector<TaskCommitter::Op>>::iterator TaskCommitter::next_page(
    Lane& lane) const {
    const auto order = [&](const auto& entry) {
        const Job* j = state_cache_.job(entry.first.job);
        return std::make_pair(j != nullptr ? j->spec.rank : wire::Rank::critical, entry.second.front().since);
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
std::vector<TaskCommitter::Op> TaskCommitter::with_waiting_ends(const PageKey& page, std::vector<Op> ops) {
    const auto lane = lanes_.find(LaneKey{{}, page});
    if (lane == lanes_.end() || lane->second.in_flight) return ops;
    const auto waiting = lane->second.ops.find(page);
    if (waiting == lane->second.ops.end()) return ops;
    std::vector<Op> all = std::move(waiting->second);
    all.insert(all.end(), std::make_move_iterator(ops.begin()), std::make_move_iterator(ops.end()));
    lanes_.erase(lane);
    return all;
}

// Applies what may be done of `ops` and answers the others.
TaskCommitter::Applied TaskCommitter::apply_all(Draft& d, const PageKey& page, const Job* j,
                                                std::vector<Op> ops) {
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
        const bool is_start = op.event == TaskEvent::place;
        if (j != nullptr && term && (named == d.parts.end() || named->second == *term) &&
            (!is_start || zone_allowed(*j, op.zone, d)) && apply(*j, op, result.tasks, page.page, d.use)) {
            d.parts.emplace(part, *term);
            if (is_start && j->spec.one_zone) d.zones[page.job] = op.zone;
            if (!is_start) d.urgent = true;
            result.used.push_back(std::move(op));
            continue;
        }
        --ops_;
        // A commit whose answer was lost may have placed it after all.
        const TaskState now = state_cache_.task({page.job, op.task});
        answer(page.job, op, now.status == TaskState::Status::placed && now.machine == op.machine);
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
void TaskCommitter::add_page(Draft& d, const PageKey& page, std::vector<Op> ops, std::vector<Op>& later) {
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
        resize_pages(*j);
        std::move(applied.used.begin(), applied.used.end(), std::back_inserter(later));
        return;
    }
    // Ends make a page shorter; starts wait for them elsewhere.
    for (auto& op : applied.used) {
        if (op.event != TaskEvent::place) {
            later.push_back(std::move(op));
            continue;
        }
        log::warn("event=page_full job={} page={}", page.job.value(), page.page);
        --ops_;
        answer(page.job, op, false);
    }
}

// The job's record names smaller pages from here on. Every commit of a task's start or end names that
// record's version: none that was drafted for the larger pages is carried out after this one.
void TaskCommitter::resize_pages(const Job& j) {
    const JobId id = j.spec.id;
    if (!resizing_.insert(id).second) return;
    Job resized = j;
    resized.small_page_size = state_cache_.safe_page_size();
    Transaction txn;
    txn.conditions.push_back({keys::job(id), j.version});
    txn.writes.push_back({keys::job(id), state_cache_.encode_job(resized), std::nullopt});
    store_.commit(txn, RequestPriority::report, [this, id, txn](const CommitResult& r) {
        // If not done, what waits is drafted again in a while, from the record as it then is.
        env_.after(r.outcome == Outcome::ok ? Duration(0) : resize_pause,
                   [this, id] { resizing_.erase(id); });
        if (r.outcome != Outcome::ok) return;
        log::info("event=pages_resized job={} size={} revision={}", id.value(), state_cache_.safe_page_size(),
                  r.revision.value());
        adopt(txn, r.revision);
    });
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
    d.txn.writes.push_back(
        {keys::final_state(page.job), Json{{"s", "done"}, {"n", j.spec.tasks}}, std::nullopt});
}

TaskCommitter::Draft TaskCommitter::draft(const LaneKey& key, std::size_t most_writes) {
    Draft d;
    Lane& lane = lanes_[key];
    if (!key.team.empty()) {
        d.use = state_cache_.quota_usage(key.team);
        d.txn.conditions.push_back({keys::team_lock(key.team), *locks_.token(key.team)});
    }
    std::map<PageKey, std::vector<Op>> later;
    while (!lane.ops.empty()) {
        const auto next = next_page(lane);
        const PageKey page = next->first;
        const bool busy = pages_in_flight_.contains(page);
        if (!busy && !d.taken.empty() && !has_room(d, state_cache_.job(page.job), most_writes)) break;
        std::vector<Op> ops = std::move(next->second);
        lane.ops.erase(next);
        if (busy) {
            later[page] = std::move(ops);
            continue;
        }
        if (!key.team.empty()) ops = with_waiting_ends(page, std::move(ops));
        std::vector<Op> rest;
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

void TaskCommitter::adopt(const Transaction& txn, Revision r) {
    // The job's end comes before its pages', which then are seen as its own and not as strays.
    for (const auto& w : txn.writes)
        if (w.key.rfind("z/j/", 0) == 0) state_cache_.apply({w.key, w.value, r});
    for (const auto& w : txn.writes)
        if (w.key.rfind("z/", 0) == 0) state_cache_.apply({w.key, w.value, r});
}

// Starts of a limited team go only under its lock. Without it they wait, for as long as a start may.
bool TaskCommitter::may_start(const LaneKey& key) {
    if (key.team.empty() || locks_.token(key.team)) return true;
    Lane& lane = lanes_[key];
    const SteadyTime now = env_.now();
    for (auto& [page, ops] : lane.ops)
        std::erase_if(ops, [&, job = page.job](Op& op) {
            if (op.event != TaskEvent::place || now - op.since <= place_limit) return false;
            --ops_;
            answer(job, op, false);
            return true;
        });
    std::erase_if(lane.ops, [](const auto& entry) { return entry.second.empty(); });
    if (lane.ops.empty()) {
        lanes_.erase(key);
        return false;
    }
    locks_.take(key.team);
    schedule(key, lock_poll);
    return false;
}

void TaskCommitter::flush(const LaneKey& key, std::size_t most_writes) {
    lanes_[key].due.reset();
    if (!may_start(key)) return;
    auto d = std::make_shared<Draft>(draft(key, most_writes));
    Lane& lane = lanes_[key];
    if (d->taken.empty()) {
        if (lane.ops.empty())
            lanes_.erase(key);
        else
            schedule(key, gather_places);
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

void TaskCommitter::on_committed(const LaneKey& key, Draft& d, const CommitResult& r) {
    adopt(d.txn, r.revision);
    if (!key.team.empty()) locks_.committed(key.team, r.revision);
    counts_.pages += d.taken.size();
    for (auto& [page, ops] : d.taken)
        for (auto& op : ops) {
            --ops_;
            ++(op.event == TaskEvent::place ? counts_.starts : counts_.ends);
            const char* what = op.event == TaskEvent::place    ? "start_committed"
                               : op.event == TaskEvent::finish ? "task_done"
                                                               : "task_released";
            log::info("event={} task={} machine={} term={} reason={} revision={}", what,
                      TaskRef{page.job, op.task}.str(), op.machine.value(), op.term.value(), op.why,
                      r.revision.value());
            answer(page.job, op, true);
        }
    send_results(&d.txn, r.revision);
    Lane& lane = lanes_[key];
    if (lane.ops.empty())
        lanes_.erase(key);
    else
        schedule(key, lane.due ? std::max(Duration(0), *lane.due - env_.now()) : gather_places);
}

// Not known to be done: the operations go back and are drafted anew. The new commit names the same versions
// as the old or newer ones, so that at most one of the two can ever be carried out; and a team's starts go on
// under a new token, so that none of the old one's is carried out after the team's tasks were counted.
void TaskCommitter::on_not_committed(const LaneKey& key, Draft& d, const CommitResult& r) {
    if (r.outcome == Outcome::conflict) ++counts_.conflicts;
    if (r.outcome == Outcome::unknown && !key.team.empty()) locks_.invalidate(key.team);
    // After a 400 it was refused for good as it is: what can make it smaller takes its time.
    const Duration pause = r.outcome == Outcome::invalid ? invalid_pause : retry_pause;
    const std::set<std::string> failed(r.failed.begin(), r.failed.end());
    for (auto& [page, ops] : d.taken)
        for (auto& op : ops) {
            // A peer's term that is over: its successor will see for itself.
            if (!op.from.empty() && failed.contains(keys::shard(state_cache_.shard_of(op.machine)))) {
                --ops_;
                answer(page.job, op, false);
                continue;
            }
            // Ends that came along with starts go back to where they need no lock.
            put_back(page.job, std::move(op), pause);
        }
    if (r.outcome == Outcome::refused) return schedule(key, pause);
    if (r.outcome == Outcome::invalid) {
        log::error("event=commit_refused team={} job={} writes={}", key.team.value(), key.page.job.value(),
                   d.txn.writes.size());
        return schedule(key, pause);
    }
    refresh(key, r.outcome == Outcome::conflict && !r.failed.empty() ? r.failed : keys_of(d.txn));
}

void TaskCommitter::refresh(const LaneKey& lane, const std::vector<std::string>& wanted) {
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

void TaskCommitter::close_job(const JobId& id) {
    const Job* j = state_cache_.job(id);
    // A start committed just before the cancellation must have been read before its page may go.
    if (j == nullptr || closing_.contains(id) || state_cache_.applied_revision < j->version) return;
    Transaction txn;
    txn.conditions.push_back({keys::job(id), j->version});
    txn.writes.push_back({keys::job(id), std::nullopt, std::nullopt});
    Json state = j->cancelled ? Json{{"s", "withdrawn"}} : Json{{"s", "done"}, {"n", j->spec.tasks}};
    txn.writes.push_back({keys::final_state(id), std::move(state), std::nullopt});
    for (const auto& key : state_cache_.written_pages(*j)) {
        if (txn.writes.size() == settings_.strictest_limits.txn_ops) break;  // the rest are deleted later
        txn.writes.push_back({key, std::nullopt, std::nullopt});
    }
    closing_.insert(id);
    store_.commit(txn, RequestPriority::report, [this, id, txn](CommitResult r) {
        if (r.outcome == Outcome::ok) {
            adopt(txn, r.revision);
            log::info("event=job_closed job={} revision={}", id.value(), r.revision.value());
        }
        env_.after(millis(300), [this, id] { closing_.erase(id); });
    });
}

}  // namespace zincdyke
