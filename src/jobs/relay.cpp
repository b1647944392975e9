#include "jobs/relay.h"

#include <algorithm>
#include <tuple>

#include "base/log.h"
#include "cluster/rendezvous_hash.h"

namespace zincdyke {
namespace {
constexpr Duration gather_wait = std::chrono::milliseconds(300);  // from the first reply
constexpr Duration asked_limit = std::chrono::seconds(4);  // a round unheard of for so long is asked again
constexpr Duration stuck_limit = std::chrono::seconds(4);  // without room before another relay is tried
constexpr Duration round_memory = std::chrono::seconds(6);
constexpr std::size_t batch = 64;  // tasks of a job in one message
constexpr int rounds_a_tick = 8;   // what one tick may begin
constexpr Duration kind_pause = std::chrono::milliseconds(30);
constexpr Duration plan_apart = std::chrono::milliseconds(20);
constexpr std::size_t jobs_a_ms = 10;  // with thousands of jobs plans are further apart: each walks them all
constexpr Duration tick_every = std::chrono::milliseconds(100);
}  // namespace

Relay::Relay(Env& env, const Settings& settings, StoreClient& store, StateCache& model,
             ClusterCoordinator& cluster, TaskCommitter& ledger, PeerChannel& peers)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(model),
      cluster_(cluster),
      committer_(ledger),
      peers_(peers) {}

Relay::JobKind Relay::kind_of(const Job& j) {
    return {j.spec.job_class, sched::PlacementConstraints::of(j.spec)};
}

void Relay::start() { tick(); }

void Relay::on_job_changed(const JobId& id) {
    const Job* j = state_cache_.job(id);
    if (j == nullptr) {
        waiting_.erase(id);
        return;
    }
    if (auto w = waiting_.find(id); w != waiting_.end()) note_placed(*j, w->second);
    wake();
}

void Relay::note_placed(const Job& j, Waiting& w) const {
    const bool is_service = j.spec.is_service();
    const auto placed = std::erase_if(w.asked, [&](const auto& asked) {
        if (state_cache_.task({j.spec.id, asked.first}).status == TaskState::Status::pending) return false;
        if (is_service) w.restarts.placed(asked.first, env_.now());
        return true;
    });
    if (placed > 0) w.stuck_since = {};
}

void Relay::wake() {
    if (std::exchange(woken_, true)) return;
    // Every change of a job wakes it: each plan walks all jobs, so that they keep a distance.
    const Duration since = env_.now() - planned_;
    const Duration apart =
        std::max(Duration(plan_apart), millis(static_cast<std::int64_t>(std::min<std::size_t>(
                                           state_cache_.jobs().size() / jobs_a_ms, 250))));
    env_.after(std::max(Duration(millis(5)), apart - since), [this] {
        woken_ = false;
        plan();
    });
}

// Only those may ask again whose tasks would fit: when every end woke every waiting job, the rounds of a
// burst took most of the controllers' processors.
void Relay::on_capacity_freed(const wire::CapacityFreedNotification& m) {
    std::set<JobKind> kinds;
    std::erase_if(no_room_, [&](const auto& e) {
        const Full& f = e.second;
        if (!m.free.covers(f.need) ||
            (f.types && std::find(f.types->begin(), f.types->end(), m.type) == f.types->end()))
            return false;
        kinds.insert(e.first);
        return true;
    });
    if (kinds.empty()) return;
    for (auto& [id, w] : waiting_)
        if (const Job* j = state_cache_.job(id); j != nullptr && kinds.contains(kind_of(*j)))
            w.not_before = {};
    wake();
}

// One pass for all jobs: judged one by one, each against all others, they took a quarter of a controller's
// share.
std::unordered_set<const Job*> Relay::within_guarantee(const StateCache& model) {
    std::map<TeamName, std::vector<const Job*>> by_team;
    for (const auto& [id, j] : model.jobs())
        if (const Team* t = model.team_limits(j.spec.team); t != nullptr && (t->cpu > 0 || t->gpu > 0))
            by_team[t->name].push_back(&j);
    std::unordered_set<const Job*> out;
    for (auto& [name, jobs] : by_team) {
        const Team& t = *model.team_limits(name);
        std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
            return std::tie(a->submitted, a->spec.id) < std::tie(b->submitted, b->spec.id);
        });
        std::int64_t cpu = 0, gpu = 0;
        for (const Job* j : jobs) {
            const auto left = static_cast<std::int64_t>(j->spec.tasks - j->done);
            cpu += j->spec.need.cpu * left;
            gpu += j->spec.need.gpu * left;
            if ((t.cpu > 0 && cpu > t.cpu) || (t.gpu > 0 && gpu > t.gpu)) break;
            out.insert(j);
        }
    }
    return out;
}

void Relay::tick() {
    env_.after(tick_every, [this] { tick(); });
    tidy();
    plan();
}

void Relay::tidy() {
    SteadyTime now = env_.now();
    std::erase_if(rounds_, [&](const auto& r) { return now - r.second.since > round_memory; });
    std::erase_if(no_room_, [&](const auto& r) { return r.second.until <= now; });
    std::erase_if(kind_next_, [&](const auto& k) { return k.second <= now; });
    // What is known of a job's rounds is this node's while it relays the job. Kept beyond that, a job that
    // came back from another relay was taken for one that had been stuck here all the time, and was handed
    // back at once, without end.
    std::erase_if(waiting_, [&](const auto& w) {
        const Job* j = state_cache_.job(w.first);
        return j == nullptr || cluster_.relay_of(*j) != settings_.node;
    });
}

void Relay::plan() {
    // A node without the state service starts nothing.
    if (!cluster_.is_up_to_date()) return;
    const SteadyTime now = env_.now();
    planned_ = now;
    std::vector<const Job*> mine;
    for (const auto& [id, j] : state_cache_.jobs()) {
        const bool over = (j.cancelled && j.placed == 0) || j.done == j.spec.tasks;
        const bool waits = !j.cancelled && j.pending() > 0;
        if ((!over && !waits) || cluster_.relay_of(j) != settings_.node) continue;
        if (over)
            committer_.close_job(id);
        else
            mine.push_back(&j);
    }
    if (mine.empty()) return;
    const auto guaranteed = within_guarantee(state_cache_);
    std::sort(mine.begin(), mine.end(), [&](const Job* a, const Job* b) {
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        const bool first = guaranteed.contains(a);
        if (first != guaranteed.contains(b)) return first;
        if (a->submitted != b->submitted) return a->submitted < b->submitted;
        return a->spec.id < b->spec.id;
    });
    int begun = 0;
    for (const Job* j : mine) {
        if (begun >= rounds_a_tick) break;
        Waiting& w = waiting_[j->spec.id];
        std::erase_if(w.asked, [&](const auto& a) { return now - a.second > asked_limit; });
        if (hand_over(*j, w)) continue;
        if (w.not_before > now) continue;
        const JobKind kind = kind_of(*j);
        if (auto next = kind_next_.find(kind); next != kind_next_.end() && next->second > now) continue;
        auto closed = no_room_.find(kind);
        if (closed != no_room_.end() && closed->second.until > now &&
            j->spec.need.covers(closed->second.need))
            continue;
        if (!ask(*j, w)) continue;
        ++begun;
        kind_next_[kind] = now + kind_pause;
    }
}

// A relay that reaches the state service but not its peers can use only its own machines: what finds no room
// there goes to a controller that may reach more.
bool Relay::hand_over(const Job& j, Waiting& w) {
    const SteadyTime now = env_.now();
    if (w.stuck_since == SteadyTime{} || now - w.stuck_since < stuck_limit ||
        now - w.handed_over < stuck_limit)
        return false;
    auto near = peers_.reachable_nodes();
    std::vector<NodeName> others;
    for (const auto& n : cluster_.live_nodes())
        if (std::find(near.begin(), near.end(), n) == near.end()) others.push_back(n);
    if (others.empty()) return false;
    w.handed_over = now;
    Job moved = j;
    moved.relay = pick_by_hash(j.spec.id.value(), others);
    const std::string key = keys::job(j.spec.id);
    const Json value = state_cache_.encode_job(moved);
    store_.commit({{{key, j.version}}, {{key, value, std::nullopt}}}, RequestPriority::decision,
                  [this, key, value, moved](CommitResult r) {
                      if (r.outcome != Outcome::ok) return;  // the watch tells what became of it
                      log::info("event=job_handed_over job={} to={} revision={}", moved.spec.id.value(),
                                moved.relay.value(), r.revision.value());
                      state_cache_.apply({key, value, r.revision});
                  });
    return true;
}

bool Relay::ask(const Job& j, Waiting& w) {
    const bool gang = j.spec.shape == wire::Shape::gang;
    if (gang && !w.asked.empty()) return false;
    const Team* team = state_cache_.team_limits(j.spec.team);
    if (team == nullptr) return false;
    std::vector<TaskIndex> tasks;
    std::size_t most = gang ? j.spec.tasks : batch;
    for (std::uint32_t p = 0; p < state_cache_.pages_of(j) && tasks.size() < most; ++p) {
        auto it = j.pages.find(p);
        if (it != j.pages.end() && it->second.placed + it->second.done == it->second.tasks.size()) continue;
        TaskIndex n = state_cache_.tasks_in(j, p);
        for (TaskIndex i = 0; i < n && tasks.size() < most; ++i) {
            TaskIndex t = i + p * state_cache_.page_size(j);
            if (it != j.pages.end() && it->second.tasks[i].status != TaskState::Status::pending) continue;
            if (w.asked.contains(t)) continue;
            if (j.spec.is_service() && w.restarts.earliest_start(t, env_.now()) > env_.now()) continue;
            auto more = static_cast<TaskIndex>(tasks.size() + 1 + (gang ? 0 : w.asked.size()));
            if (!state_cache_.fits_team_quota(j.spec.team, j.spec.need, more)) break;
            if (gang && !sched::next_attempt(j, it != j.pages.end() ? it->second.tasks[i] : TaskState{}))
                return false;
            tasks.push_back(t);
        }
    }
    // All members of a gang are asked for at once, or only those that are missing from one under way.
    if (tasks.empty() || (gang && tasks.size() != j.pending())) return false;
    auto scorers = peers_.reachable_nodes();
    wire::PlacementRequest m;
    m.round = {settings_.node, cluster_.incarnation().value() * 1'000'000 + ++next_round_};
    m.job = j.spec.id;
    m.gatherer = pick_by_hash(j.spec.id.value() + "#" + std::to_string(m.round.number), scorers);
    m.scorers = static_cast<std::uint8_t>(std::min<std::size_t>(scorers.size(), 255));
    m.need = j.spec.need;
    m.image = j.spec.image;
    m.rank = j.spec.rank;
    m.tasks = tasks;
    for (TaskIndex t : tasks) w.asked[t] = env_.now();
    w.not_before = env_.now() + millis(50);
    ++counts_.rounds;
    for (const auto& s : scorers) peers_.send(s, m);
    return true;
}

void Relay::on_placement_response(const wire::PlacementResponse& m) {
    Gathering& g = rounds_[m.round];
    if (g.decided) {
        // Too late for the choice: the room is freed at once.
        peers_.send(m.scorer, wire::PlacementDecision{m.round, m.job, {}});
        return;
    }
    if (g.answered.empty()) {
        g.job = m.job;
        g.tasks = m.tasks;
        g.expected = m.scorers;
        g.since = env_.now();
        g.timer = env_.after(gather_wait, [this, id = m.round] { decide(id); });
    }
    if (!g.answered.insert(m.scorer).second) return;
    g.whole = g.whole || m.is_gang;
    for (const auto& o : m.offers) g.offers.push_back({o, m.scorer});
    if (g.answered.size() >= g.expected) {
        env_.cancel(g.timer);
        decide(m.round);
    }
}

void Relay::decide(const wire::RoundId& id) {
    auto it = rounds_.find(id);
    if (it == rounds_.end() || it->second.decided) return;
    Gathering& g = it->second;
    g.decided = true;
    ++counts_.decided;
    counts_.decide_ms += static_cast<std::uint64_t>((env_.now() - g.since).count() / 1000);
    std::optional<TaskIndex> per_zone;
    const Job* j = state_cache_.job(g.job);
    if (j != nullptr && j->spec.spread) per_zone = sched::spread_limit(j->spec.tasks);
    auto yes = sched::choose(std::move(g.offers), g.tasks, g.whole, per_zone, env_.rng(),
                             j != nullptr && j->spec.one_zone);
    g.offers.clear();
    std::set<TaskIndex> left(g.tasks.begin(), g.tasks.end());
    for (const auto& scorer : g.answered) {
        wire::PlacementDecision v{id, g.job, {}};
        if (auto y = yes.find(scorer); y != yes.end()) v.accepted = std::move(y->second);
        for (const auto& a : v.accepted) left.erase(a.task);
        peers_.send(scorer, std::move(v));
    }
    if (!left.empty()) peers_.send(id.relay, wire::PlacementFailure{id, g.job, {left.begin(), left.end()}});
}

void Relay::on_placement_failure(const wire::PlacementFailure& m) {
    auto it = waiting_.find(m.job);
    if (it == waiting_.end()) return;
    counts_.unplaced += m.tasks.size();
    for (TaskIndex t : m.tasks) it->second.asked.erase(t);
    SteadyTime until = env_.now() + millis(400);
    if (it->second.stuck_since == SteadyTime{}) it->second.stuck_since = env_.now();
    it->second.not_before = until;
    const Job* j = state_cache_.job(m.job);
    if (j == nullptr) return;
    Full& f = no_room_[kind_of(*j)];
    if (f.until <= env_.now() || f.need.covers(j->spec.need)) f.need = j->spec.need;
    f.types = j->spec.types;
    f.until = until;
}

}  // namespace zincdyke
