#include "jobs/ledger.h"

#include <algorithm>

#include "base/log.h"
#include "sched/logic.h"

namespace zd {
namespace {
constexpr Duration place_limit = std::chrono::seconds(6);  // a start not committed by then is given up
constexpr Duration gather_places = std::chrono::milliseconds(20);
constexpr Duration gather_releases = std::chrono::milliseconds(40);
constexpr Duration gather_ends = std::chrono::milliseconds(250);  // a machine's room is free before that
constexpr Duration gather_ends_scarce =
    std::chrono::seconds(4);  // where writes are short: fewer for the same ends
constexpr Duration gather_sent = std::chrono::milliseconds(5);
constexpr Duration home_limit = std::chrono::seconds(3);  // then the owner commits it itself
constexpr std::size_t most_bytes = 48 * 1024;             // of a transaction, well below the service's 64 KiB
constexpr std::size_t most_sent = 256;                    // operations in one message
constexpr std::size_t most_ops = 20'000;                  // waiting at a home; more are refused
constexpr std::size_t most_records = 60'000;              // bytes of records in a message
}  // namespace

Ledger::Ledger(Env& env, const Settings& settings, StoreClient& store, Model& model, Cluster& cluster,
               SendPeer send, std::function<bool(const NodeName&)> near)
    : env_(env),
      settings_(settings),
      store_(store),
      model_(model),
      cluster_(cluster),
      send_(std::move(send)),
      near_(std::move(near)) {}

void Ledger::start() { take_back(); }

void Ledger::place(const TaskRef& t, const MachineId& m, const std::string& zone, Done done) {
    Op op;
    op.event = TaskEvent::place;
    op.machine = m;
    op.zone = zone;
    op.done = std::move(done);
    enqueue(t, std::move(op));
}
void Ledger::finish(const TaskRef& t, Attempt a, const MachineId& m) {
    Op op;
    op.event = TaskEvent::finish;
    op.attempt = a;
    op.machine = m;
    op.why = "done";
    enqueue(t, std::move(op));
}
void Ledger::release(const TaskRef& t, Attempt a, const MachineId& m, const char* why) {
    Op op;
    op.event = TaskEvent::release;
    op.attempt = a;
    op.machine = m;
    op.why = why;
    enqueue(t, std::move(op));
}

double Ledger::demand() {
    std::size_t waiting = 0;
    for (const auto& [name, lane] : lanes_) waiting += lane.ops.size();
    const std::uint64_t written = counts_.pages - std::exchange(pages_told_, counts_.pages);
    demand_ = 0.6 * demand_ + 0.4 * static_cast<double>(waiting + written);
    return demand_;
}

// Ends don't touch the team's record and have lanes of their own: flushed with each start of their team, they
// were written one by one.
std::string Ledger::lane_of(const JobId& job, std::uint32_t page, TaskEvent event) const {
    const Job* j = model_.job(job);
    if (j != nullptr && event == TaskEvent::place) {
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
    op.task = t.task;
    op.term = *term;
    op.since = env_.now();
    const Job* j = model_.job(t.job);
    const NodeName home = j != nullptr ? cluster_.home_of(*j) : settings_.node;
    if (home == settings_.node || !near_(home)) return queue(t.job, std::move(op));
    // What a late copy of this message says is judged again at its home, under the same term and attempt.
    const std::uint64_t ticket = ++next_ticket_;
    remote_.emplace(ticket, Remote{t.job, std::move(op), home, env_.now()});
    ++counts_.sent_home;
    outbox_[{home, t.job}].push_back(ticket);
    if (!std::exchange(outbox_armed_, true)) env_.after(gather_sent, [this] { send_outbox(); });
}

void Ledger::send_outbox() {
    outbox_armed_ = false;
    for (auto& [to, tickets] : std::exchange(outbox_, {})) {
        wire::Settle m{to.second, {}};
        for (std::uint64_t ticket : tickets) {
            auto it = remote_.find(ticket);
            if (it == remote_.end()) continue;
            const Op& op = it->second.op;
            m.ops.push_back({static_cast<std::uint8_t>(op.event), op.task, op.attempt, op.machine, op.zone,
                             op.term.v, ticket});
            if (m.ops.size() == most_sent) send_(to.first, std::exchange(m, {to.second, {}}));
        }
        if (!m.ops.empty()) send_(to.first, std::move(m));
    }
}

// A home that is gone, or cut off from us or from the state service, is not waited for: the owner commits
// itself. Should the home do so too, one of the two commits finds the other's versions and fails.
void Ledger::take_back() {
    env_.after(millis(250), [this] { take_back(); });
    const Mono now = env_.now();
    for (auto it = remote_.begin(); it != remote_.end();) {
        Remote& r = it->second;
        if (now - r.asked < home_limit && near_(r.home)) {
            ++it;
            continue;
        }
        ++counts_.taken_back;
        queue(r.job, std::move(r.op));
        it = remote_.erase(it);
    }
}

void Ledger::queue(const JobId& job, Op op) {
    ++ops_;
    const std::uint32_t page = model_.page_of(op.task);
    std::string lane = lane_of(job, page, op.event);
    const Job* j = model_.job(job);
    auto& ops = lanes_[lane].ops[{job, page}];
    Duration wait = op.event == TaskEvent::place ? gather_places : gather_releases;
    if (op.event == TaskEvent::finish && j != nullptr) {
        // The last of a job's tasks are told at once.
        auto p = j->pages.find(page);
        const std::size_t done = p != j->pages.end() ? p->second.done : 0;
        if (done + ops.size() + 1 < model_.tasks_in(j->spec, page))
            wait = store_.writes_free() > 0 ? gather_ends : gather_ends_scarce;
    }
    ops.push_back(std::move(op));
    schedule(lane, wait);
}

void Ledger::on_settle(const NodeName& from, const wire::Settle& m) {
    const bool known = model_.job(m.job) != nullptr;
    for (const auto& o : m.ops) {
        Op op;
        op.from = from;
        op.ticket = o.ticket;
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
void Ledger::answer(const JobId& job, Op& op, bool done) {
    if (!op.from.empty()) {
        results_[op.from].push_back({op.ticket, done});
        if (!std::exchange(results_armed_, true))
            env_.after(Duration(0), [this] { send_results(nullptr, {}); });
        return;
    }
    waiting_.erase({TaskRef{job, op.task}, {op.event, op.attempt}});
    if (op.done) env_.after(Duration(0), [tell = std::move(op.done), done] { tell(done); });
}

void Ledger::send_results(const Txn* txn, Revision r) {
    results_armed_ = false;
    std::vector<wire::Record> records;
    std::size_t bytes = 0;
    if (txn != nullptr)
        for (const auto& w : txn->writes) {
            if (w.key.rfind(keys::live, 0) != 0) continue;
            wire::Record rec{w.key, w.value ? w.value->dump() : "", r.v};
            bytes += rec.value.size();
            if (bytes <= most_records) records.push_back(std::move(rec));
        }
    for (auto& [to, ops] : std::exchange(results_, {})) send_(to, wire::Settled{std::move(ops), records});
}

void Ledger::on_settled(const wire::Settled& m) {
    // A job's end before its pages', as in adopt(). Nothing of a job that the watch has not brought yet.
    for (const bool jobs : {true, false})
        for (const auto& rec : m.records) {
            const bool is_job = rec.key.rfind("z/j/", 0) == 0, is_page = rec.key.rfind("z/t/", 0) == 0;
            if (is_job != jobs ||
                (is_page && model_.job(JobId(rec.key.substr(4, rec.key.rfind('/') - 4))) == nullptr))
                continue;
            Item item{rec.key, std::nullopt, Revision{rec.version}};
            if (!rec.value.empty()) {
                Json v = Json::parse(rec.value, nullptr, false);
                if (v.is_discarded()) continue;
                item.value = std::move(v);
            }
            model_.apply(item);
        }
    for (const auto& o : m.ops) {
        auto it = remote_.find(o.ticket);
        if (it == remote_.end()) continue;
        Remote r = std::move(it->second);
        remote_.erase(it);
        answer(r.job, r.op, o.done);
    }
}

void Ledger::schedule(const std::string& name, Duration d) {
    Lane& lane = lanes_[name];
    const Mono at = env_.now() + d;
    if (!lane.due || at < *lane.due) lane.due = at;
    if (!lane.in_flight) arm(*lane.due);
}

void Ledger::arm(Mono at) {
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
void Ledger::pump() {
    for (;;) {
        const Mono now = env_.now();
        const std::string* best = nullptr;
        std::optional<Mono> due;
        for (const auto& [name, lane] : lanes_)
            if (!lane.in_flight && lane.due && (!due || *lane.due < *due)) {
                due = lane.due;
                best = &name;
            }
        if (best == nullptr) return;
        if (*due > now) return arm(*due);
        if (!store_.reachable()) return arm(now + millis(300));
        const std::size_t writes = store_.writes_free();
        if (writes == 0) return arm(now + std::clamp(store_.writes_free_in(2), millis(5), millis(200)));
        flush(std::string(*best), writes);
    }
}

// True when the operation changed `tasks`. Otherwise it is settled already, or may not be done.
bool Ledger::apply(const Job& j, Op& op, std::vector<TaskState>& tasks, std::uint32_t page, TeamUse& use) {
    std::size_t at = op.task - std::size_t{page} * model_.page_size();
    if (at >= tasks.size()) return false;
    TaskState& t = tasks[at];
    if (op.event != TaskEvent::place) {
        if (t.at != TaskState::At::placed || t.attempt != op.attempt || t.machine != op.machine) return false;
        t.at = op.event == TaskEvent::finish ? TaskState::At::done : TaskState::At::pending;
        t.machine = {};
        t.zone.clear();
        use.cpu -= j.spec.need.cpu;
        use.gpu -= j.spec.need.gpu;
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
    return true;
}

// The term that the commit of this operation must name; nothing when it was judged under one that is over. A
// peer's may be newer than what the watch has brought: the commit's condition decides.
std::optional<Term> Ledger::valid_term(const Op& op, std::uint32_t part) const {
    if (op.from.empty() ? cluster_.term(part) != op.term : model_.parts()[part].term > op.term)
        return std::nullopt;
    return op.term;
}

// `chosen`: zones of starts that are in this draft already.
bool Ledger::zone_allowed(const Job& j, const std::string& zone,
                          const std::map<JobId, std::string>& chosen) const {
    if (!j.spec.one_zone) return true;
    if (auto c = chosen.find(j.spec.id); c != chosen.end()) return c->second == zone;
    const auto bound = model_.bound_zone(j);
    return !bound || *bound == zone;
}

Ledger::Draft Ledger::draft(Lane& lane, std::size_t most_writes) {
    Draft d;
    std::map<std::uint32_t, Term> parts;
    std::optional<TeamName> team;
    bool starts = false;
    TeamUse use;
    std::size_t bytes = 0;
    const std::size_t most_conditions = 4 * std::size_t{settings_.txn_ops};
    std::map<PageKey, std::vector<Op>> later;
    std::map<JobId, std::string> chosen;
    std::set<JobId> moved;  // jobs whose record names their new zone
    while (!lane.ops.empty()) {
        auto it = lane.ops.begin();
        const PageKey key = it->first;
        const Job* j = model_.job(key.job);
        const Team* settings = j != nullptr ? model_.team_settings(j->spec.team) : nullptr;
        const bool limited = settings != nullptr && settings->limited();
        const std::size_t other_pages = j != nullptr && j->spec.one_zone ? Model::most_free_pages : 0;
        // Room for this page, its job's end and the team's record.
        if (!d.taken.empty() &&
            (d.txn.writes.size() + 4 > settings_.txn_ops || d.txn.writes.size() + 2 > most_writes ||
             d.txn.conditions.size() + parts.size() + other_pages + 6 > most_conditions ||
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
            const std::uint32_t part = model_.part_of(op.machine);
            const auto term = valid_term(op, part);
            auto named = parts.find(part);
            // Many owners at once: those whose terms don't fit among the conditions come with the next
            // commit.
            if (term && named == parts.end() &&
                d.txn.conditions.size() + parts.size() + other_pages + 4 > most_conditions) {
                later[key].push_back(std::move(op));
                continue;
            }
            if (j != nullptr && term && (named == parts.end() || named->second == *term) &&
                (op.event != TaskEvent::place || zone_allowed(*j, op.zone, chosen)) &&
                apply(*j, op, tasks, key.page, use)) {
                parts.emplace(part, *term);
                if (op.event == TaskEvent::place && j->spec.one_zone) chosen[key.job] = op.zone;
                if (op.event != TaskEvent::place)
                    d.urgent = true;
                else
                    starts = true;
                used.push_back(std::move(op));
                continue;
            }
            --ops_;
            // A commit whose answer was lost may have placed it after all.
            TaskState now = model_.task({key.job, op.task});
            answer(key.job, op, now.at == TaskState::At::placed && now.machine == op.machine);
        }
        if (used.empty()) {
            use = before;
            continue;
        }
        d.txn.conditions.push_back({keys::job(key.job), j->version});
        const std::string page_key = keys::page(key.job, key.page);
        d.txn.conditions.push_back({page_key, model_.version(page_key)});
        if (auto zone = chosen.find(key.job);
            zone != chosen.end() && zone->second != j->pinned_zone && moved.insert(key.job).second) {
            // No task of it is on a machine, as these versions of all its pages prove; from this commit on it
            // is bound here.
            for (std::uint32_t n = 0; n < model_.pages_of(j->spec); ++n)
                if (n != key.page)
                    d.txn.conditions.push_back(
                        {keys::page(key.job, n), model_.version(keys::page(key.job, n))});
            Job there = *j;
            there.pinned_zone = zone->second;
            d.txn.writes.push_back({keys::job(key.job), Model::encode_job(there), std::nullopt});
        }
        const bool over = model_.pages_of(j->spec) == 1 &&
                          std::all_of(tasks.begin(), tasks.end(),
                                      [](const auto& t) { return t.at == TaskState::At::done; });
        if (over && !j->cancelled) {
            // The last task's end and the job's in one commit.
            if (model_.version(page_key) != Revision{})
                d.txn.writes.push_back({page_key, std::nullopt, std::nullopt});
            d.txn.writes.push_back({keys::job(key.job), std::nullopt, std::nullopt});
            d.txn.writes.push_back(
                {keys::final_state(key.job), Json{{"s", "done"}, {"n", j->spec.tasks}}, std::nullopt});
        } else {
            Json v = model_.encode_page(tasks, key.page);
            bytes += v.dump().size();
            d.txn.writes.push_back({page_key, std::move(v), std::nullopt});
        }
        d.taken.emplace_back(key, std::move(used));
    }
    for (auto& [key, ops] : later) lane.ops[key] = std::move(ops);
    if (d.taken.empty()) return d;
    for (const auto& [k, term] : parts) d.txn.conditions.push_back({keys::part(k), term});
    // Ends leave the record alone (Model::team): written with each of them, it took half of all writes.
    if (team && starts) {
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
    for (const auto& w : txn.writes)
        if (w.key.rfind(team_prefix, 0) == 0)
            model_.own_start(TeamName(w.key.substr(std::string(team_prefix).size())), r);
}

void Ledger::flush(const std::string& name, std::size_t most_writes) {
    Lane& lane = lanes_[name];
    lane.due.reset();
    auto d = std::make_shared<Draft>(draft(lane, most_writes));
    if (d->taken.empty()) {
        if (lane.ops.empty())
            lanes_.erase(name);
        else
            schedule(name, gather_places);
        return;
    }
    lane.in_flight = true;
    ++counts_.commits;
    store_.commit(d->txn, d->urgent ? Urgency::report : Urgency::decision, [this, name, d](CommitResult r) {
        Lane& l = lanes_[name];
        l.in_flight = false;
        if (r.outcome == Outcome::ok) {
            adopt(d->txn, r.revision);
            counts_.pages += d->taken.size();
            for (auto& [key, ops] : d->taken)
                for (auto& op : ops) {
                    --ops_;
                    ++(op.event == TaskEvent::place ? counts_.starts : counts_.ends);
                    const char* what = op.event == TaskEvent::place    ? "start_committed"
                                       : op.event == TaskEvent::finish ? "task_done"
                                                                       : "task_released";
                    log::info("event={} task={} machine={} term={} reason={} revision={}", what,
                              TaskRef{key.job, op.task}.str(), op.machine.v, op.term.v, op.why, r.revision.v);
                    answer(key.job, op, true);
                }
            send_results(&d->txn, r.revision);
            if (!l.ops.empty())
                schedule(name, l.due ? std::max(Duration(0), *l.due - env_.now()) : gather_places);
            else
                lanes_.erase(name);
            return;
        }
        if (r.outcome == Outcome::conflict) ++counts_.conflicts;
        // Not known to be done: the operations go back and are drafted anew. The new commit names the same
        // versions as the old or newer ones, so that at most one of the two can ever be carried out.
        std::set<std::string> failed(r.failed.begin(), r.failed.end());
        for (auto& [key, ops] : d->taken) {
            auto& back = l.ops[key];
            for (auto& op : ops) {
                // A peer's term that is over: its successor will see for itself.
                if (!op.from.empty() && failed.contains(keys::part(model_.part_of(op.machine)))) {
                    --ops_;
                    answer(key.job, op, false);
                } else {
                    back.push_back(std::move(op));
                }
            }
            if (back.empty()) l.ops.erase(key);
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
