#include "jobs/ledger.h"

#include <algorithm>

#include "base/log.h"
#include "sched/logic.h"

namespace zd {
namespace {
constexpr Duration place_limit = std::chrono::seconds(6);  // a start not committed by then is given up
constexpr Duration gather_places = std::chrono::milliseconds(10);
constexpr Duration gather_ends = std::chrono::milliseconds(80);
constexpr std::size_t most_bytes = 48 * 1024;  // of a transaction, well below the service's 64 KiB
}  // namespace

Ledger::Ledger(Env& env, const Settings& settings, StoreClient& store, Model& model, Cluster& cluster)
    : env_(env), settings_(settings), store_(store), model_(model), cluster_(cluster) {}

void Ledger::place(const TaskRef& t, const MachineId& m, const std::string& zone, Done done) {
    enqueue(t, {TaskEvent::place, t.task, 0, m, zone, "", {}, env_.now(), std::move(done)});
}
void Ledger::finish(const TaskRef& t, Attempt a, const MachineId& m) {
    enqueue(t, {TaskEvent::finish, t.task, a, m, "", "done", {}, env_.now(), {}});
}
void Ledger::release(const TaskRef& t, Attempt a, const MachineId& m, const char* why) {
    enqueue(t, {TaskEvent::release, t.task, a, m, "", why, {}, env_.now(), {}});
}

std::string Ledger::lane_of(const JobId& job, std::uint32_t page) const {
    const Job* j = model_.job(job);
    if (j != nullptr) {
        const Team* t = model_.team_settings(j->spec.team);
        if (t != nullptr && t->limited()) return "team " + t->name.v;
    }
    return keys::page(job, page);
}

void Ledger::enqueue(const TaskRef& t, Op op) {
    const auto term = cluster_.term_of(op.machine);
    // Reports repeat what they say until it is cleared: one commit for it is enough.
    if (!term || !waiting_.insert({t, {op.event, op.attempt}}).second) {
        if (op.done) env_.after(Duration(0), [done = std::move(op.done)] { done(false); });
        return;
    }
    op.term = *term;
    ++ops_;
    std::uint32_t page = model_.page_of(t.task);
    std::string lane = lane_of(t.job, page);
    Duration wait = op.event == TaskEvent::place ? gather_places : gather_ends;
    lanes_[lane].ops[{t.job, page}].push_back(std::move(op));
    schedule(lane, wait);
}

void Ledger::schedule(const std::string& name, Duration d) {
    Lane& lane = lanes_[name];
    if (lane.in_flight || lane.timer != 0) return;
    lane.timer = env_.after(d, [this, name] {
        lanes_[name].timer = 0;
        flush(name);
    });
}

// True when the operation changed `tasks`. Otherwise it is settled already, or may not be done.
bool Ledger::apply(const Job& j, Op& op, std::vector<TaskState>& tasks, std::uint32_t page, TeamUse& use,
                   std::set<std::uint32_t>& parts) {
    std::size_t at = op.task - std::size_t{page} * model_.page_size();
    if (at >= tasks.size()) return false;
    TaskState& t = tasks[at];
    const std::uint32_t part = model_.part_of(op.machine);
    if (cluster_.term(part) != op.term) return false;  // the new owner, or we anew, will see for itself
    if (op.event != TaskEvent::place) {
        if (t.at != TaskState::At::placed || t.attempt != op.attempt || t.machine != op.machine) return false;
        t.at = op.event == TaskEvent::finish ? TaskState::At::done : TaskState::At::pending;
        t.machine = {};
        t.zone.clear();
        use.cpu -= j.spec.need.cpu;
        use.gpu -= j.spec.need.gpu;
        parts.insert(part);
        return true;
    }
    if (t.at != TaskState::At::pending || j.cancelled || env_.now() - op.since > place_limit) return false;
    auto attempt = sched::next_attempt(j, t);
    const Team* team = model_.team_settings(j.spec.team);
    if (!attempt || team == nullptr) return false;
    if ((team->cpu_max > 0 && use.cpu + j.spec.need.cpu > team->cpu_max) ||
        (team->gpu_max > 0 && use.gpu + j.spec.need.gpu > team->gpu_max))
        return false;
    if (j.spec.spread) {
        // Each page keeps to half of its own tasks, the first rounding up: together they keep to half of all.
        auto n = static_cast<TaskIndex>(tasks.size());
        TaskIndex most = page == 0 ? sched::spread_limit(n) : n / 2;
        auto there = std::count_if(tasks.begin(), tasks.end(), [&](const auto& o) {
            return o.at == TaskState::At::placed && o.zone == op.zone;
        });
        if (there >= static_cast<std::int64_t>(most)) return false;
        t.zone = op.zone;
    }
    t.at = TaskState::At::placed;
    t.attempt = *attempt;
    t.machine = op.machine;
    use.cpu += j.spec.need.cpu;
    use.gpu += j.spec.need.gpu;
    parts.insert(part);
    return true;
}

Ledger::Draft Ledger::draft(Lane& lane) {
    Draft d;
    std::set<std::uint32_t> parts;
    std::optional<TeamName> team;
    TeamUse use;
    std::size_t bytes = 0;
    while (!lane.ops.empty()) {
        auto it = lane.ops.begin();
        const PageKey key = it->first;
        const Job* j = model_.job(key.job);
        const Team* settings = j != nullptr ? model_.team_settings(j->spec.team) : nullptr;
        const bool limited = settings != nullptr && settings->limited();
        // Room for this page, its job's end and the team's record.
        if (!d.taken.empty() &&
            (d.txn.writes.size() + 4 > settings_.txn_ops || d.txn.conditions.size() + 8 > 4 * settings_.txn_ops ||
             bytes > most_bytes))
            break;
        std::vector<Op> ops = std::move(it->second);
        lane.ops.erase(it);
        std::vector<Op> used;
        std::vector<TaskState> tasks;
        if (j != nullptr) tasks = model_.page_tasks(*j, key.page);
        if (limited && !team) {
            team = j->spec.team;
            use = model_.team(*team);
        }
        TeamUse before = use;
        for (auto& op : ops) {
            if (j != nullptr && apply(*j, op, tasks, key.page, use, parts)) {
                if (op.event != TaskEvent::place) d.urgent = true;
                used.push_back(std::move(op));
                continue;
            }
            --ops_;
            TaskRef ref{key.job, op.task};
            waiting_.erase({ref, {op.event, op.attempt}});
            if (op.done) {
                // A commit whose answer was lost may have placed it after all.
                TaskState now = model_.task(ref);
                bool placed = now.at == TaskState::At::placed && now.machine == op.machine;
                env_.after(Duration(0), [done = std::move(op.done), placed] { done(placed); });
            }
        }
        if (used.empty()) {
            use = before;
            continue;
        }
        d.txn.conditions.push_back({keys::job(key.job), j->version});
        const std::string page_key = keys::page(key.job, key.page);
        d.txn.conditions.push_back({page_key, model_.version(page_key)});
        const bool over = model_.pages_of(j->spec) == 1 && std::all_of(tasks.begin(), tasks.end(), [](const auto& t) {
            return t.at == TaskState::At::done;
        });
        if (over && !j->cancelled) {
            // The last task's end and the job's in one commit.
            if (model_.version(page_key) != Revision{}) d.txn.writes.push_back({page_key, std::nullopt, std::nullopt});
            d.txn.writes.push_back({keys::job(key.job), std::nullopt, std::nullopt});
            d.txn.writes.push_back({keys::final_state(key.job), Json{{"s", "done"}, {"n", j->spec.tasks}}, std::nullopt});
        } else {
            Json v = model_.encode_page(tasks, key.page);
            bytes += v.dump().size();
            d.txn.writes.push_back({page_key, std::move(v), std::nullopt});
        }
        d.taken.emplace_back(key, std::move(used));
    }
    if (d.taken.empty()) return d;
    for (std::uint32_t k : parts) d.txn.conditions.push_back({keys::part(k), *cluster_.term(k)});
    if (team) {
        d.txn.conditions.push_back({keys::team(*team), use.version});
        d.txn.writes.push_back({keys::team(*team), Json{{"c", use.cpu}, {"g", use.gpu}}, std::nullopt});
    }
    return d;
}

std::vector<std::string> Ledger::keys_of(const Txn& txn) {
    std::vector<std::string> out;
    for (const auto& c : txn.conditions) out.push_back(c.key);
    return out;
}

void Ledger::adopt(const Txn& txn, Revision r) {
    // The job's end comes before its pages', which then are seen as its own and not as strays.
    for (const auto& w : txn.writes)
        if (w.key.rfind("z/j/", 0) == 0) model_.apply({w.key, w.value, r});
    for (const auto& w : txn.writes)
        if (w.key.rfind("z/", 0) == 0) model_.apply({w.key, w.value, r});
}

void Ledger::flush(const std::string& name) {
    Lane& lane = lanes_[name];
    if (lane.in_flight) return;
    if (!store_.reachable()) return schedule(name, millis(300));
    auto d = std::make_shared<Draft>(draft(lane));
    if (d->taken.empty()) {
        lanes_.erase(name);
        return;
    }
    lane.in_flight = true;
    store_.commit(d->txn, d->urgent ? Urgency::report : Urgency::decision, [this, name, d](CommitResult r) {
        Lane& l = lanes_[name];
        l.in_flight = false;
        if (r.outcome == Outcome::ok) {
            adopt(d->txn, r.revision);
            for (auto& [key, ops] : d->taken)
                for (auto& op : ops) {
                    --ops_;
                    TaskRef ref{key.job, op.task};
                    waiting_.erase({ref, {op.event, op.attempt}});
                    const char* what = op.event == TaskEvent::place    ? "start_committed"
                                       : op.event == TaskEvent::finish ? "task_done"
                                                                       : "task_released";
                    log::info("event={} task={} machine={} reason={} revision={}", what, ref.str(), op.machine.v,
                              op.why, r.revision.v);
                    if (op.done) op.done(true);
                }
            if (!l.ops.empty()) schedule(name, gather_places);
            else if (l.timer == 0) lanes_.erase(name);
            return;
        }
        // Not known to be done: the operations go back and are drafted anew. The new commit names the same
        // versions as the old or newer ones, so that at most one of the two can ever be carried out.
        for (auto& [key, ops] : d->taken) {
            auto& back = l.ops[key];
            back.insert(back.begin(), std::make_move_iterator(ops.begin()), std::make_move_iterator(ops.end()));
        }
        if (r.outcome == Outcome::refused) return schedule(name, millis(150));
        if (r.outcome == Outcome::invalid)
            log::error("event=commit_refused lane={} writes={}", name, d->txn.writes.size());
        refresh(name, r.outcome == Outcome::conflict && !r.failed.empty() ? r.failed : keys_of(d->txn));
    });
}

void Ledger::refresh(const std::string& name, std::vector<std::string> wanted) {
    lanes_[name].in_flight = true;
    auto left = std::make_shared<std::size_t>(wanted.size());
    for (const auto& key : wanted)
        store_.get(key, Urgency::report, [this, name, key, left](GetResult g) {
            // Parts are read by the watch alone: a term counts only once all before it is known.
            const bool part = key.rfind("z/p/", 0) == 0;
            if (!part && g.outcome == Outcome::ok) model_.apply({key, g.value, g.version});
            if (!part && g.outcome == Outcome::not_found && model_.version(key) != Revision{})
                model_.apply({key, std::nullopt, g.version});
            if (--*left > 0) return;
            lanes_[name].in_flight = false;
            schedule(name, millis(30));
        });
}

void Ledger::close_job(const JobId& id) {
    const Job* j = model_.job(id);
    // A start committed just before the cancellation must have been read before its page may go.
    if (j == nullptr || closing_.contains(id) || model_.seen < j->version) return;
    Txn txn;
    txn.conditions.push_back({keys::job(id), j->version});
    txn.writes.push_back({keys::job(id), std::nullopt, std::nullopt});
    Json state = j->cancelled ? Json{{"s", "withdrawn"}} : Json{{"s", "done"}, {"n", j->spec.tasks}};
    txn.writes.push_back({keys::final_state(id), std::move(state), std::nullopt});
    for (const auto& [n, p] : j->pages) {
        if (txn.writes.size() == settings_.txn_ops) break;  // the rest are strays, deleted later
        if (model_.version(keys::page(id, n)) != Revision{})
            txn.writes.push_back({keys::page(id, n), std::nullopt, std::nullopt});
    }
    closing_.insert(id);
    store_.commit(txn, Urgency::report, [this, id, txn](CommitResult r) {
        if (r.outcome == Outcome::ok) {
            adopt(txn, r.revision);
            log::info("event=job_closed job={} revision={}", id.v, r.revision.v);
        }
        env_.after(millis(300), [this, id] { closing_.erase(id); });
    });
}

}  // namespace zd
