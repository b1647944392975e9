#include "workers/worker_manager.h"

#include <algorithm>

#include "base/log.h"

namespace zincdyke {
namespace {
constexpr Duration hold_limit = std::chrono::milliseconds(2500);
constexpr Duration hold_answer = std::chrono::milliseconds(700);  // well below the 4 s that a worker waits
constexpr std::size_t most_machines = 20'000;
constexpr std::size_t most_gone = 16'384;
constexpr std::size_t most_announcements = 24;                  // under way at once
constexpr double elder_wait_s = 5;                              // what has waited so long
constexpr double elder_apart_s = 3;                             // and is older by so much goes first,
constexpr Duration kept_for = std::chrono::milliseconds(1500);  // for so long on each machine
constexpr std::size_t few_machines = 5;                         // whose silence together is no chance
constexpr std::size_t most_prompts = 64;                        // under way at once
constexpr double prompt_every_leases = 0.51;                    // a worker heeds one in half of a lease
// A check-in expected sooner is waited for; a replica of a service, wanted at once, hardly waits.
constexpr Duration worth_prompting = std::chrono::seconds(2);
constexpr Duration worth_prompting_for_service = std::chrono::milliseconds(200);
constexpr double save_margin_s = 3;  // beyond what a task needs to save
constexpr int most_orders = 2;       // answers with the same run before it is given up
// Two clocks may each be off by 0.05%; the rest covers the timer's own step.
Duration surely_lapsed(double lease_s) { return seconds(lease_s * 1.002) + millis(100); }
}  // namespace

WorkerManager::WorkerManager(Env& env, const Settings& settings, StateCache& model,
                             ClusterCoordinator& cluster, const CancellationWatermark& horizon,
                             TaskCommitter& ledger, PeerChannel& peers)
    : env_(env),
      settings_(settings),
      state_cache_(model),
      cluster_(cluster),
      cancellation_watermark_(horizon),
      committer_(ledger),
      peers_(peers) {}

void WorkerManager::start() { sweep(); }

void WorkerManager::handle_heartbeat(const wire::Heartbeat& r, const Reply& reply) {
    auto mine = cluster_.is_synced() ? cluster_.leader_term(r.machine) : std::nullopt;
    if (!mine || r.token.term > *mine) {
        // Not entitled: a 200 here would hold the worker while its lease runs out.
        std::optional<NodeName> owner = cluster_.is_synced() ? cluster_.leader_of(r.machine) : std::nullopt;
        return reply({421, wire::encode_redirect(owner), -1});
    }
    if (!machines_.contains(r.machine) && machines_.size() >= most_machines) return reply({503, "{}", 1});
    // Copies of reports come late, up to well over a lease: what is older than we know, of a session that
    // surely lapsed or of a returned machine renews nothing, proves nothing and revives nothing, and gets no
    // orders.
    auto known = machines_.find(r.machine);
    const bool stale_heartbeats =
        gone_.contains(r.machine) ||
        (known != machines_.end() &&
         (r.sequence <= known->second.sequence || known->second.over(r.sequence.agent_epoch, *mine)));
    ++counts_.heartbeats;
    if (stale_heartbeats) {
        ++counts_.stale_heartbeats;
        return renew(r, *mine, halts_of_cancelled(r), reply);
    }
    Machine& m = machines_[r.machine];
    if (m.first_known == SteadyTime{}) m.first_known = env_.now();
    // Nothing of this session came for longer than a lease: what comes now was held on its way, or its sender
    // was told our term by others' means. Either way this one report does not prove that it hears us; the
    // next does.
    const bool overdue = m.term_of_proof == *mine && m.reported &&
                         r.sequence.agent_epoch == m.sequence.agent_epoch &&
                         env_.now() - m.last_heard > surely_lapsed(settings_.lease_s);
    m.last_heard = env_.now();
    hearing_[state_cache_.shard_of(r.machine)].heard = env_.now();
    log::debug("event=check_in machine={} session={} seq={} shown={} term={} hears={} answered={} at={:.3f}",
               r.machine.value(), r.sequence.agent_epoch, r.sequence.number, r.token.term.value(),
               mine->value(), m.hears, m.answered_seq, to_seconds(env_.now().time_since_epoch()));
    // An older check-in still held: its worker has moved on, and no order in its answer would be executed.
    if (auto old = held_.find(r.machine); old != held_.end()) {
        env_.cancel(old->second.timer);
        const Held abandoned = std::move(old->second);
        held_.erase(old);
        renew(abandoned.report, *mine, halts_of_cancelled(abandoned.report), abandoned.reply);
    }
    if (overdue) m.answered_seq = 0;
    take_report(m, r, *mine, true);
    if (overdue) m.hears = false;
    auto orders = orders_for(r.machine, m, r, *mine);
    m.answered_seq = r.sequence.number;
    if (!m.ended.empty() || r.tasks.empty()) tell_freed(r.machine, m);
    if (!orders.empty() || !worth_waiting(r.machine, m, r)) return renew(r, *mine, orders, reply);
    // What it reports (an end, or room) will bring orders in a moment, and its next check-in is a report
    // interval away: short tasks lost a tenth of their machine to that wait.
    held_[r.machine] = {r, reply, env_.after(hold_answer, [this, id = r.machine] { answer(id); })};
}

bool WorkerManager::worth_waiting(const MachineId& id, const Machine& m, const wire::Heartbeat& r) const {
    if (r.notice_s || !usable(id, m) || !state_cache_.has_pending_tasks()) return false;
    if (std::any_of(r.tasks.begin(), r.tasks.end(),
                    [](const auto& t) { return t.phase == wire::TaskPhase::ended; }))
        return true;
    return r.tasks.empty();
}

// Gives a held check-in its answer, with the orders as they stand now.
void WorkerManager::answer(const MachineId& id) {
    auto it = held_.find(id);
    if (it == held_.end()) return;
    Held h = std::move(it->second);
    held_.erase(it);
    env_.cancel(h.timer);
    auto mine = cluster_.leader_term(id);
    auto m = machines_.find(id);
    if (!mine || m == machines_.end() || h.report.token.term > *mine) return h.reply({421, "{}", -1});
    std::vector<wire::Command> orders;
    // A newer message, by direct command, may have come meanwhile: then this report's news is old.
    if (h.report.sequence == m->second.sequence)
        orders = orders_for(id, m->second, h.report, *mine);
    else
        orders = halts_of_cancelled(h.report);
    renew(h.report, *mine, orders, h.reply);
}

// The one place that answers 200, and so renews a lease. Each such answer halts whatever is known to be
// cancelled; and where a cancellation may have been told for so long that a lease renewed now would outlast
// `cancel_s`, there is none: the worker tries the others, and its lease runs out. Refused by the state
// service alone, an owner went on renewing the leases of tasks whose cancellation it never heard of.
void WorkerManager::renew(const wire::Heartbeat& r, Term mine, const std::vector<wire::Command>& orders,
                          const Reply& reply) {
    if (!cancellation_watermark_.may_renew_leases()) {
        ++counts_.leases_not_renewed;
        log::debug("event=lease_not_renewed machine={}", r.machine.value());
        return reply({503, "{}", 1});
    }
    reply({200, wire::encode_commands(token_for(r.machine, mine), orders), -1});
}

std::vector<wire::Command> WorkerManager::halts_of_cancelled(const wire::Heartbeat& r) const {
    std::vector<wire::Command> orders;
    for (const auto& t : r.tasks)
        if (const Job* j = state_cache_.job(t.task.job);
            j != nullptr && j->cancelled && t.phase != wire::TaskPhase::ended)
            orders.push_back({wire::CommandKind::stop, t.task, t.attempt, 0});
    return orders;
}

void WorkerManager::on_job_cancelled(const JobId& id) {
    const Job* j = state_cache_.job(id);
    if (j == nullptr) return;
    for (const auto& [n, page] : j->pages)
        for (std::size_t i = 0; i < page.tasks.size(); ++i) {
            const TaskState& t = page.tasks[i];
            if (t.status != TaskState::Status::placed || !machines_.contains(t.machine) ||
                !cluster_.leader_term(t.machine))
                continue;
            const TaskRef ref{id, static_cast<TaskIndex>(i) + n * state_cache_.page_size(*j)};
            halts_[t.machine].push_back({wire::CommandKind::stop, ref, t.attempt, 0});
        }
    send_halts();
}

// A halt of a cancelled task is right whenever it arrives; the answers to check-ins repeat it until it is
// heeded.
void WorkerManager::send_halts() {
    while (!halts_.empty() && halting_ < most_announcements) {
        const auto [id, orders] = std::move(*halts_.begin());
        halts_.erase(halts_.begin());
        auto m = machines_.find(id);
        const auto mine = cluster_.leader_term(id);
        if (!mine || m == machines_.end() || m->second.address.empty()) continue;
        ++halting_;
        env_.http(m->second.address,
                  {"POST", "/commands",
                   wire::encode_commands(token_for(id, *mine), orders, m->second.sequence.agent_epoch)},
                  seconds(2), [this](const HttpResponse&) {
                      --halting_;
                      send_halts();
                  });
    }
}

void WorkerManager::take_report(Machine& m, const wire::Heartbeat& r, Term mine, bool checkin) {
    SteadyTime now = env_.now();
    if (m.term_of_proof != mine) {
        m.term_of_proof = mine;
        m.term_shown = m.reported = m.hears = false;
        m.token_count = 0;
        m.prompted = {};
    }
    if (r.token.term == mine) m.token_count = std::max(m.token_count, r.token.count);
    // A new session begins when no answer arrived for a lease, however many we wrote.
    if (r.sequence.agent_epoch > m.sequence.agent_epoch) {
        m.hears = false;
        m.answered_seq = 0;
    }
    if (r.token.term == mine && !m.term_shown) m.hears = true;
    if (checkin && m.answered_seq > 0 && r.sequence.number == m.answered_seq + 1) m.hears = true;
    if (checkin && m.hears) m.last_good = now;
    m.sequence = r.sequence;
    m.type = r.type;
    m.zone = r.zone;
    m.spot = r.spot;
    m.address = r.address;
    if (r.token.term == mine) m.term_shown = true;
    if (checkin) m.reported = true;
    if (r.notice_s && !m.notice_s)
        log::info("event=spot_notice machine={} seconds={:.1f} tasks={}", r.machine.value(), *r.notice_s,
                  r.tasks.size());
    m.notice_s = r.notice_s;
    m.notice_at = now;
    m.free.reset();
    std::map<TaskRef, Seen> old = std::move(m.tasks);
    m.tasks.clear();
    m.ended.clear();
    for (const auto& t : r.tasks) {
        if (t.phase == wire::TaskPhase::ended) {
            m.ended.insert({t.task, t.attempt});
            continue;
        }
        Seen s{t.phase, t.attempt, now};
        auto it = old.find(t.task);
        if (it != old.end() && it->second.attempt == t.attempt && it->second.phase == t.phase)
            s.since = it->second.since;
        m.tasks[t.task] = s;
    }
}

std::vector<wire::Command> WorkerManager::orders_for(const MachineId& id, Machine& m,
                                                     const wire::Heartbeat& r, Term mine) {
    std::vector<wire::Command> orders;
    std::set<TaskRef> mentioned;
    for (const auto& t : r.tasks) {
        // No start of a task here while another attempt of it is still around.
        if (t.phase != wire::TaskPhase::ended || placed_on(id, t)) mentioned.insert(t.task);
        if (const auto order = order_for_reported(id, m, r, t, mine)) orders.push_back(*order);
    }
    for (const auto& ref : std::set<TaskRef>(state_cache_.tasks_on(id))) {
        if (mentioned.contains(ref)) continue;
        if (const auto order = order_for_absent(id, m, r, ref, mine)) orders.push_back(*order);
    }
    forget_past_attempts(id, m);
    return orders;
}

bool WorkerManager::placed_on(const MachineId& id, const wire::TaskStatus& t) const {
    const TaskState s = state_cache_.task(t.task);
    return state_cache_.job(t.task.job) != nullptr && s.status == TaskState::Status::placed &&
           s.machine == id && s.attempt == t.attempt;
}

std::optional<wire::Command> WorkerManager::order_for_reported(const MachineId& id, Machine& m,
                                                               const wire::Heartbeat& r,
                                                               const wire::TaskStatus& t, Term mine) {
    const Job* job = state_cache_.job(t.task.job);
    const bool placed_here = placed_on(id, t);
    if (placed_here) {
        Told& told = m.told[{t.task, t.attempt}];
        told.session = r.sequence.agent_epoch;
        told.seen = true;
        note_phase(id, m, t, *job);
    }
    if (t.phase == wire::TaskPhase::ended) {
        // Its end is committed already, or it was never ours to count.
        if (!placed_here) return wire::Command{wire::CommandKind::forget, t.task, t.attempt, 0};
        take_end(id, m, r, t, mine);
        return std::nullopt;
    }
    const wire::Command halt_at_once{wire::CommandKind::stop, t.task, t.attempt, 0};
    if (!placed_here) {
        log::info("event=stray_halted task={} attempt={} machine={}", t.task.str(), t.attempt, id.value());
        return halt_at_once;
    }
    if (job->cancelled || (job->spec.shape == wire::Shape::gang && sched::gang_state(*job).failed))
        return halt_at_once;
    const wire::Command halt_with_grace{wire::CommandKind::stop, t.task, t.attempt,
                                        job->spec.save_s + save_margin_s};
    if (stops_.contains({t.task, t.attempt})) {
        if (t.phase == wire::TaskPhase::saving) return std::nullopt;
        return halt_with_grace;
    }
    // A task that can save does so as late as the notice allows, and a replica moves then; an array's task
    // that can't save runs on: it may finish.
    const bool leaves = job->spec.checkpoint_s > 0 || job->spec.is_service();
    if (r.notice_s && leaves && t.phase == wire::TaskPhase::running &&
        *r.notice_s < job->spec.save_s + 2.5 * settings_.report_s)
        return halt_with_grace;
    return std::nullopt;
}

// The end of an attempt that is placed here.
void WorkerManager::take_end(const MachineId& id, Machine& m, const wire::Heartbeat& r,
                             const wire::TaskStatus& t, Term mine) {
    const Job& job = *state_cache_.job(t.task.job);
    const bool is_service = job.spec.is_service();
    if (t.cause == wire::ExitCause::done && !is_service) {
        m.errors = 0;
        committer_.commit_completion(t.task, t.attempt, id);
        return;
    }
    // A failed end is believed only of a report that shows our term. A copy of an older one may be late, and
    // since then the same attempt may have been ordered again in a new session.
    if (r.token.term != mine) return;
    if (t.cause == wire::ExitCause::error) note_error(id, m, job);
    if (t.cause == wire::ExitCause::no_room || t.cause == wire::ExitCause::unknown)
        m.blocked_until = std::max(m.blocked_until, env_.now() + seconds(3));
    committer_.commit_release(t.task, t.attempt, id, release_reason(t.cause));
}

// What is placed here and not in the report: to be ordered to run, or, by proof, over.
std::optional<wire::Command> WorkerManager::order_for_absent(const MachineId& id, Machine& m,
                                                             const wire::Heartbeat& r, const TaskRef& ref,
                                                             Term mine) {
    const TaskState s = state_cache_.task(ref);
    const Job* job = state_cache_.job(ref.job);
    // Judged to be over, only not committed yet (the state service may be away): a worker back in a new
    // session must not be told to start it again, or it would run while its successor is started elsewhere.
    if (job == nullptr || committer_.has_pending_end(ref, s.attempt)) return std::nullopt;
    const auto told = m.told.find({ref, s.attempt});
    const bool ordered = told != m.told.end();
    const bool was_here = ordered && told->second.seen;
    // The lease it was ordered or seen under is over, or answer after answer with it was lost.
    const bool never_took =
        ordered && !was_here &&
        (told->second.session < r.sequence.agent_epoch || told->second.answers >= most_orders);
    const bool unwanted = job->cancelled || was_here || never_took || r.notice_s ||
                          (job->spec.shape == wire::Shape::gang && sched::gang_state(*job).failed);
    if (unwanted) {
        // Absent from a check-in that shows our term: no order of an earlier owner counts any more, and those
        // in answers of ours to earlier check-ins were executed or dropped before this one was sent.
        const ReleaseReason reason = was_here     ? ReleaseReason::missing_from_heartbeat
                                     : never_took ? ReleaseReason::start_not_acknowledged
                                                  : ReleaseReason::never_started;
        if (r.token.term == mine) committer_.commit_release(ref, s.attempt, id, reason);
        return std::nullopt;
    }
    if (ordered && m.hears) {
        log::info("event=run_unheeded task={} attempt={} machine={} answers={}", ref.str(), s.attempt,
                  id.value(), told->second.answers);
        m.hears = false;
    }
    // Without the state service nothing is started: the job may be cancelled and the part another's by now.
    if (!cluster_.is_up_to_date()) return std::nullopt;
    Told& order = m.told[{ref, s.attempt}];
    order.session = r.sequence.agent_epoch;
    ++order.answers;
    const auto start = m.starts.find({ref, s.attempt});
    if (start != m.starts.end() && start->second.ordered == SteadyTime{}) start->second.ordered = env_.now();
    return wire::Command{wire::CommandKind::start, ref, s.attempt, 0};
}

void WorkerManager::forget_past_attempts(const MachineId& id, Machine& m) {
    const auto is_over = [&](const auto& entry) {
        const TaskState s = state_cache_.task(entry.first.first);
        return s.status != TaskState::Status::placed || s.machine != id || s.attempt != entry.first.second;
    };
    const std::size_t many = 2 * state_cache_.tasks_on(id).size() + 32;
    if (m.told.size() > many) std::erase_if(m.told, is_over);
    if (m.starts.size() > many) std::erase_if(m.starts, is_over);
}

void WorkerManager::note_committed(const TaskRef& ref, const MachineId& id, const StartProgress& assigned) {
    const auto machine = machines_.find(id);
    if (machine == machines_.end()) return;
    StartProgress& start = machine->second.starts[{ref, state_cache_.task(ref).attempt}];
    start = assigned;
    start.committed = env_.now();
}

// Follows a start of this owner's until the task runs.
void WorkerManager::note_phase(const MachineId& id, Machine& m, const wire::TaskStatus& task,
                               const Job& job) {
    const auto entry = m.starts.find({task.task, task.attempt});
    if (entry == m.starts.end() || task.phase == wire::TaskPhase::fetching) return;
    const SteadyTime now = env_.now();
    StartProgress& start = entry->second;
    if (start.image_ready == SteadyTime{}) start.image_ready = now;
    if (task.phase == wire::TaskPhase::waiting) return;
    if (start.ordered != SteadyTime{}) {
        const auto ms = [&](StartStep step) { return step_time(start, step, now).count() / 1000; };
        log::info(
            "event=task_running task={} attempt={} machine={} class={} queue_ms={} commit_ms={} "
            "delivery_ms={} image_ms={} "
            "gang_ms={}",
            task.task.str(), task.attempt, id.value(), job.spec.job_class, ms(StartStep::queue),
            ms(StartStep::commit), ms(StartStep::delivery), ms(StartStep::image), ms(StartStep::gang));
        start_times_.add(job.spec.job_class, start, now);
    }
    m.starts.erase(entry);
}

// Holds the image, or fetches it for another task by now: fetches at the same time share the machine's rate,
// so that a second image beside the first delays both.
bool WorkerManager::has_image(const MachineId& id, const Machine& m, const std::string& image) const {
    const auto* type = state_cache_.machine_type(m.type);
    if (type != nullptr && state_cache_.holds_image(id, image, type->cache_gb)) return true;
    const auto& placed = state_cache_.tasks_on(id);
    return std::any_of(placed.begin(), placed.end(), [&](const auto& ref) {
        const Job* j = state_cache_.job(ref.job);
        return j != nullptr && j->spec.image == image;
    });
}

void WorkerManager::note_error(const MachineId& id, Machine& m, const Job& failed) {
    const JobId& job = failed.spec.id;
    auto& where = job_errors_[job];
    where.insert(id);
    if (job_errors_.size() > 1000) job_errors_.erase(job_errors_.begin());
    // A job that fails on machine after machine is itself at fault; a machine that fails several jobs is.
    if (where.size() >= 3) return;
    // A replica that fails again and again where it is put back says no more of the machine than the first
    // time.
    if (failed.spec.is_service() && m.error_jobs.contains(job)) return;
    if (m.error_jobs.size() < 16) m.error_jobs.insert(job);
    ++m.errors;
    m.blocked_until = std::max(m.blocked_until, env_.now() + seconds(std::min(60.0, 10.0 * m.errors)));
    log::info("event=machine_blocked machine={} job={} errors={}", id.value(), job.value(), m.errors);
}

// Every ask looks at every machine: worked out each time, this was a quarter of all processor time in a
// burst.
Resources WorkerManager::free_room(const MachineId& id, Machine& m) {
    if (!m.free || m.free_epoch != room_epoch_) {
        ++counts_.capacity_computations;
        m.free = work_out_room(id, m);
        m.free_epoch = room_epoch_;
    }
    return *m.free;
}

void WorkerManager::on_placement_changed(const MachineId& id) {
    if (auto m = machines_.find(id); m != machines_.end()) m->second.free.reset();
}

Resources WorkerManager::work_out_room(const MachineId& id, const Machine& m) const {
    const auto* type = state_cache_.machine_type(m.type);
    if (type == nullptr) return {};
    Resources free = type->capacity;
    const auto& placed = state_cache_.tasks_on(id);
    // An end takes a while to be committed; the machine's own word that the task is over frees its room
    // before.
    for (const auto& ref : placed)
        if (const Job* j = state_cache_.job(ref.job);
            j != nullptr && !m.ended.contains({ref, state_cache_.task(ref).attempt}))
            free -= j->spec.need;
    // What the worker still reports of others occupies it too.
    for (const auto& [ref, s] : m.tasks)
        if (!placed.contains(ref)) {
            const Job* j = state_cache_.job(ref.job);
            if (j == nullptr) {
                room_unknown_ = true;
                return {};
            }
            free -= j->spec.need;
        }
    if (auto p = promised_.find(id); p != promised_.end()) {
        free -= p->second.held;
        for (const auto& [ref, room] : p->second.starting)
            if (!placed.contains(ref)) free -= room;
    }
    return free;
}

void WorkerManager::hold(const wire::RoundId& round, const Resources& each,
                         const std::vector<wire::PlacementOffer>& offers) {
    if (offers.empty()) return;
    let_go(round);
    Round& r = holds_[round];
    r.each = each;
    r.until = env_.now() + hold_limit;
    for (const auto& o : offers) {
        r.machines.push_back(o.machine);
        promised_[o.machine].held += each;
        on_placement_changed(o.machine);
    }
}

void WorkerManager::let_go(const wire::RoundId& round) {
    auto it = holds_.find(round);
    if (it == holds_.end()) return;
    for (const auto& id : it->second.machines) {
        Promised& p = promised_[id];
        p.held -= it->second.each;
        on_placement_changed(id);
        if (p.held == Resources{} && p.starting.empty()) promised_.erase(id);
    }
    holds_.erase(it);
}

void WorkerManager::start(const TaskRef& ref, const MachineId& id, const Resources& room) {
    starting_[ref] = id;
    promised_[id].starting[ref] = room;
    on_placement_changed(id);
}

void WorkerManager::started(const TaskRef& ref) {
    auto it = starting_.find(ref);
    if (it == starting_.end()) return;
    Promised& p = promised_[it->second];
    p.starting.erase(ref);
    on_placement_changed(it->second);
    if (p.held == Resources{} && p.starting.empty()) promised_.erase(it->second);
    starting_.erase(it);
}

void WorkerManager::tell_freed(const MachineId& id, Machine& m) {
    if (!usable(id, m) || !state_cache_.has_pending_tasks()) return;
    const Resources free = free_room(id, m);
    auto [it, first] = freed_.try_emplace(m.type, free);
    it->second.cpu = std::max(it->second.cpu, free.cpu);
    it->second.gpu = std::max(it->second.gpu, free.gpu);
    it->second.ram = std::max(it->second.ram, free.ram);
    if (freed_.size() > 1 || !first) return;
    env_.after(millis(25), [this] {
        for (const auto& [type, room] : std::exchange(freed_, {}))
            for (const auto& n : settings_.all_nodes())
                peers_.send(n, wire::CapacityFreedNotification{type, room});
    });
}

bool WorkerManager::usable(const MachineId& id, const Machine& m) const {
    SteadyTime now = env_.now();
    auto mine = cluster_.leader_term(id);
    return mine && m.reported && m.hears && m.term_of_proof == *mine && !m.notice_s && !m.draining &&
           m.blocked_until <= now && now - m.last_heard < seconds(settings_.report_s * 2.5);
}

// Arrays that come before this job: those that have waited a while, and those with fewer machines to go to.
// The relays ask each for its own jobs; without an order among them, what one relay held could wait for
// minutes while another's newer work took each place that came free.
std::vector<const Job*> WorkerManager::elders(const Job& j) const {
    std::vector<const Job*> out;
    const WallTime wall = env_.wall();
    for (const auto& [id, o] : state_cache_.jobs()) {
        if (o.spec.shape == wire::Shape::gang || o.cancelled || o.pending() == 0 || id == j.spec.id) continue;
        const bool older = static_cast<double>(wall.value() - o.submitted.value()) > elder_wait_s * 1000 &&
                           sched::has_precedence(o, j, elder_apart_s + settings_.skew_ms / 500);
        // Tasks a little too large for the common type waited for the few large machines, which smaller ones
        // filled.
        const bool needier = o.spec.rank <= j.spec.rank &&
                             sched::has_fewer_types(o.spec, j.spec, state_cache_.machine_types());
        if ((older && !sched::has_fewer_types(j.spec, o.spec, state_cache_.machine_types())) || needier)
            if (state_cache_.fits_team_quota(o.spec.team, o.spec.need, 1)) out.push_back(&o);
    }
    return out;
}

void WorkerManager::on_placement_request(const wire::PlacementRequest& ask) {
    ++counts_.placement_requests;
    const Job* job = state_cache_.job(ask.job);
    wire::PlacementResponse out{ask.round, ask.job, settings_.node, ask.scorers, false, ask.tasks, {}};
    if (job != nullptr && cluster_.is_synced() && !job->cancelled) {
        out.is_gang = job->spec.shape == wire::Shape::gang;
        const auto bound = state_cache_.required_zone(*job);
        auto candidates = candidates_for(ask, *job, bound);
        const bool is_service = job->spec.is_service();
        out.offers = sched::rank(candidates, ask.need, ask.tasks.size(),
                                 {.each_zone = job->spec.one_zone && !bound, .spread_replicas = is_service});
        counts_.offers += out.offers.size();
        hold(ask.round, ask.need, out.offers);
    }
    peers_.send(ask.gatherer, std::move(out));
}

// Kept by the supplier for others. A supplier that is gone leaves no reservations behind.
bool WorkerManager::kept_from(const MachineId& id, const Job& job) const {
    const auto kept = reserved_.find(id);
    return kept != reserved_.end() && !sched::may_use_reserved(job.spec, kept->second) &&
           env_.now() - reserved_at_ < seconds(6);
}

TaskIndex WorkerManager::replicas_on(const MachineId& id, const JobId& job) const {
    const auto& placed = state_cache_.tasks_on(id);
    return static_cast<TaskIndex>(
        std::count_if(placed.begin(), placed.end(), [&](const TaskRef& ref) { return ref.job == job; }));
}

std::vector<sched::Candidate> WorkerManager::candidates_for(const wire::PlacementRequest& ask, const Job& job,
                                                            const std::optional<std::string>& bound) {
    const SteadyTime now = env_.now();
    const auto failed = job_errors_.find(ask.job);
    std::optional<std::vector<const Job*>>
        before;  // looked up only where there is room: in a burst there is none
    std::vector<sched::Candidate> candidates;
    for (auto& entry : machines_) {
        const MachineId& id = entry.first;
        Machine& m = entry.second;
        const Resources free = free_room(id, m);
        if (!free.covers(ask.need) || !usable(id, m) ||
            !sched::machine_allowed(job.spec, bound, m.type, m.zone, m.spot))
            continue;
        const auto* type = state_cache_.machine_type(m.type);
        if (type == nullptr || !sched::should_use_type(job.spec, *type, state_cache_.machine_types()) ||
            kept_from(id, job))
            continue;
        if (!before) before = elders(job);
        const bool wanted = std::any_of(before->begin(), before->end(), [&](const Job* o) {
            return sched::machine_allowed(o->spec, state_cache_.required_zone(*o), m.type, m.zone, m.spot) &&
                   free.covers(o->spec.need) &&
                   sched::should_use_type(o->spec, *type, state_cache_.machine_types());
        });
        if (wanted) {
            // Only for a moment: an elder whose relay is away, or that fails everywhere, must not keep it
            // idle.
            if (m.kept_since == SteadyTime{}) m.kept_since = now;
            if (now - m.kept_since < kept_for) continue;
        }
        sched::Candidate c{
            id, m.zone, free, type->capacity, has_image(id, m, ask.image), std::min(m.errors, 5), 0};
        if (failed != job_errors_.end() && failed->second.contains(id)) c.penalty += 2;
        if (job.spec.is_service()) c.replicas = replicas_on(id, ask.job);
        candidates.push_back(std::move(c));
    }
    return candidates;
}

void WorkerManager::on_placement_decision(const wire::PlacementDecision& v) {
    let_go(v.round);
    const Job* job = state_cache_.job(v.job);
    std::vector<TaskIndex> again;
    for (const auto& a : v.accepted) {
        TaskRef ref{v.job, a.task};
        auto it = machines_.find(a.machine);
        // The room may be gone since it was offered: rechecked, and checked again by the commit.
        if (job == nullptr || it == machines_.end() || !usable(a.machine, it->second) ||
            starting_.contains(ref) || !free_room(a.machine, it->second).covers(job->spec.need)) {
            again.push_back(a.task);
            continue;
        }
        it->second.kept_since = {};
        start(ref, a.machine, job->spec.need);
        StartProgress progress;
        progress.queued = millis(env_.wall().value() - job->submitted.value());
        progress.assigned = env_.now();
        committer_.commit_start(
            ref, a.machine, it->second.zone,
            [this, ref, round = v.round, m = a.machine, progress](bool placed) {
                started(ref);
                if (placed) {
                    note_committed(ref, m, progress);
                    return deliver_soon(m);
                }
                peers_.send(round.relay, wire::PlacementFailure{round, ref.job, {ref.task}});
            });
    }
    if (!again.empty()) peers_.send(v.round.relay, wire::PlacementFailure{v.round, v.job, std::move(again)});
}

// A start was committed: the machine is told by the answer that waits for it, or asked to check in for it.
void WorkerManager::deliver_soon(const MachineId& id) {
    // One commit often brings several starts: they share the answer.
    if (held_.contains(id)) {
        env_.after(millis(5), [this, id] { answer(id); });
        return;
    }
    if (auto m = machines_.find(id); m != machines_.end()) prompt_check_in(id, m->second);
}

// A direct command that raises the token and orders nothing makes the worker check in at once, and `run` goes
// in the answer as always. Lost, repeated or late it does no harm: a token is no order. Workers heed it once
// in half of a lease.
void WorkerManager::prompt_check_in(const MachineId& id, Machine& m) {
    const SteadyTime now = env_.now();
    const auto mine = cluster_.leader_term(id);
    const Duration expected = m.last_heard + seconds(settings_.report_s) - now;
    const Duration worth = starts_service(id, m) ? worth_prompting_for_service : worth_prompting;
    const bool too_soon =
        m.prompted != SteadyTime{} && now - m.prompted < seconds(settings_.lease_s * prompt_every_leases);
    if (!mine || !m.hears || m.term_of_proof != *mine || m.address.empty() || expected < worth || too_soon ||
        prompting_ >= most_prompts || m.token_count == wire::FencingToken::max_count)
        return;
    m.prompted = now;
    ++m.token_count;
    ++prompting_;
    ++counts_.heartbeat_requests;
    env_.http(m.address,
              {"POST", "/commands", wire::encode_commands(token_for(id, *mine), {}, m.sequence.agent_epoch)},
              seconds(2), [this](const HttpResponse&) { --prompting_; });
}

// A replica was committed to the machine and not yet ordered to run there.
bool WorkerManager::starts_service(const MachineId& id, const Machine& m) const {
    const auto& placed = state_cache_.tasks_on(id);
    return std::any_of(placed.begin(), placed.end(), [&](const TaskRef& ref) {
        const Job* job = state_cache_.job(ref.job);
        return job != nullptr && job->spec.is_service() &&
               !m.told.contains({ref, state_cache_.task(ref).attempt});
    });
}

wire::FencingToken WorkerManager::token_for(const MachineId& id, Term mine) const {
    const auto m = machines_.find(id);
    const bool counted = m != machines_.end() && m->second.term_of_proof == mine;
    return {mine, counted ? m->second.token_count : 0};
}

bool WorkerManager::empty(const MachineId& id, const Machine& m) const {
    if (!state_cache_.tasks_on(id).empty() || !m.tasks.empty()) return false;
    return !promised_.contains(id);
}

void WorkerManager::on_drain_request(const NodeName& from, const wire::DrainRequest& d) {
    auto it = machines_.find(d.machine);
    if (!cluster_.leader_term(d.machine) || it == machines_.end()) return;
    Machine& m = it->second;
    // Only an empty machine is given up; a busy one says nothing and the supplier asks again another time.
    if (!empty(d.machine, m)) return;
    m.draining = true;
    m.drain_since = env_.now();
    peers_.send(from, wire::DrainResponse{d.machine});
}

void WorkerManager::on_machines_terminated(const wire::MachinesTerminatedNotification& g) {
    for (const auto& id : g.machines) {
        if (auto a = addresses_.find(id); a != addresses_.end() && !a->second.asking) addresses_.erase(a);
        if (gone_.insert(id).second) gone_order_.push_back(id);
        if (gone_order_.size() > most_gone) {
            gone_.erase(gone_order_.front());
            gone_order_.pop_front();
        }
        for (const auto& ref : std::set<TaskRef>(state_cache_.tasks_on(id)))
            committer_.commit_release(ref, state_cache_.task(ref).attempt, id,
                                      ReleaseReason::machine_terminated);
        if (state_cache_.tasks_on(id).empty()) machines_.erase(id);
        state_cache_.forget_machine(id);
    }
}

void WorkerManager::on_reservation_update(const wire::ReservationUpdate& m) {
    if (m.is_first) reserved_.clear();
    for (const auto& r : m.machines) reserved_[r.machine] = {r.job_class, r.rank, r.save_ms / 1000.0, r.job};
    reserved_at_ = env_.now();
}

void WorkerManager::on_peer_heartbeat(const wire::PeerHeartbeat& b) {
    const SteadyTime now = env_.now();
    for (const auto& m : b.machines) {
        if (m.address.empty() || gone_.contains(m.id)) continue;
        if (addresses_.size() >= most_machines && !addresses_.contains(m.id)) continue;
        Address& a = addresses_[m.id];
        a.where = m.address;
        a.session = std::max(a.session, m.agent_epoch);
        a.fresh = now;
    }
}

void WorkerManager::on_machines_discovered(const wire::MachinesDiscoveredNotification& m) {
    for (const auto& s : m.machines) {
        if (gone_.contains(s.id) || (addresses_.size() >= most_machines && !addresses_.contains(s.id)))
            continue;
        Address& a = addresses_[s.id];
        a.where = s.address;
        a.fresh = env_.now();
    }
}

void WorkerManager::on_leadership_acquired(std::uint32_t part) {
    log::info("event=part_gained part={} term={}", part, cluster_.term(part)->value());
    hearing_[part] = {env_.now(), {}};
    // For how long machines were silent is counted from now: what was heard in an earlier term says nothing
    // of the time since, when others heard them.
    for (const auto& [id, placed] : state_cache_.tasks_by_machine())
        if (state_cache_.shard_of(id) == part) machines_[id];
    for (auto& [id, m] : machines_)
        if (state_cache_.shard_of(id) == part) m.first_known = env_.now();
    for (auto& [id, a] : addresses_)
        if (state_cache_.shard_of(id) == part) {
            a.next_try = {};
            a.tries = 0;
        }
    announce_due();
}

bool WorkerManager::knows_us(const MachineId& id, Term mine) const {
    auto m = machines_.find(id);
    return m != machines_.end() && m->second.term_shown && m->second.term_of_proof == mine;
}

// Workers of an owner that can still reach them must learn the new term, or they would stay with it. A
// controller cut off from all but its workers would else keep them, their cancelled tasks included, for as
// long as the cut lasts.
void WorkerManager::announce_due() {
    const SteadyTime now = env_.now();
    std::erase_if(addresses_,
                  [&](const auto& a) { return !a.second.asking && now - a.second.fresh > seconds(120); });
    for (auto& [id, a] : addresses_) {
        if (asking_ >= most_announcements) return;
        if (a.asking || a.next_try > now) continue;
        auto mine = cluster_.leader_term(id);
        if (mine && !knows_us(id, *mine)) announce(id);
    }
}

void WorkerManager::announce(const MachineId& id) {
    Address& a = addresses_[id];
    const Term term = *cluster_.leader_term(id);
    a.asking = true;
    ++asking_;
    env_.http(a.where, {"POST", "/commands", wire::encode_commands(token_for(id, term), {}, a.session)},
              seconds(2), [this, id, term](const HttpResponse& h) {
                  --asking_;
                  auto at = addresses_.find(id);
                  if (at == addresses_.end()) return;
                  Address& to = at->second;
                  to.asking = false;
                  auto r = h.status == 200 || h.status == 409 ? wire::parse_heartbeat(h.body) : std::nullopt;
                  const bool wrong_session = r && r->machine == id && r->sequence.agent_epoch != to.session;
                  if (wrong_session && to.tries == 0) {
                      // Told again at once, by the session that the answer shows.
                      ++to.tries;
                      to.session = r->sequence.agent_epoch;
                      to.next_try = {};
                  } else {
                      if (wrong_session) to.session = r->sequence.agent_epoch;
                      to.next_try =
                          env_.now() + std::min(seconds(4), millis(500) * (1 << std::min(to.tries, 3)));
                      ++to.tries;
                  }
                  if (!r || r->machine != id || r->token.term != term || cluster_.leader_term(id) != term ||
                      gone_.contains(id)) {
                      if (wrong_session) announce_due();
                      return;
                  }
                  to.tries = 0;
                  Machine& m = machines_[id];
                  if (m.first_known == SteadyTime{}) m.first_known = env_.now();
                  if (r->sequence > m.sequence && !m.over(r->sequence.agent_epoch, term)) {
                      take_report(m, *r, term, false);
                      // Its last answered report was sent before this answer: a lease runs from here at most.
                      m.last_heard = std::max(m.last_heard, env_.now());
                  }
              });
}

std::vector<wire::MachineStatus> WorkerManager::machine_statuses() {
    std::vector<wire::MachineStatus> out;
    if (!cluster_.is_up_to_date()) return out;  // what is thought to be ours may be another's by now
    SteadyTime now = env_.now();
    for (auto& [id, m] : machines_) {
        if (!cluster_.leader_term(id)) continue;
        const bool is_empty = empty(id, m);
        if (!is_empty || m.idle_since == SteadyTime{}) m.idle_since = now;
        // One that is heard but does not hear us is out of touch all the same.
        SteadyTime heard = std::max(m.last_good, m.first_known);
        wire::MachineStatus b;
        b.id = id;
        b.type = m.type;
        b.zone = m.zone;
        b.address = m.address;
        b.spot = m.spot;
        b.usable = usable(id, m);
        b.silent = now - heard > seconds(settings_.lease_s);
        b.agent_epoch = m.sequence.agent_epoch;
        b.busy_tasks =
            is_empty ? 0
                     : static_cast<std::uint32_t>(std::max<std::size_t>(1, state_cache_.tasks_on(id).size()));
        auto ms = [](Duration d) {
            return static_cast<std::uint32_t>(std::clamp<std::int64_t>(d.count() / 1000, 0, 1'000'000'000));
        };
        b.idle_ms = ms(now - m.idle_since);
        b.silent_ms = ms(now - heard);
        out.push_back(std::move(b));
    }
    return out;
}

void WorkerManager::on_preemption_request(const wire::PreemptionRequest& p) {
    TaskRef ref{p.job, p.task};
    TaskState t = state_cache_.task(ref);
    const Job* job = state_cache_.job(p.job);
    if (job == nullptr || t.status != TaskState::Status::placed || t.attempt != p.attempt) return;
    auto mine = cluster_.leader_term(t.machine);
    auto it = machines_.find(t.machine);
    if (!mine || it == machines_.end() || !stops_.emplace(std::make_pair(ref, t.attempt), env_.now()).second)
        return;
    log::info("event=task_preempted task={} attempt={} machine={} term={}", ref.str(), t.attempt,
              t.machine.value(), mine->value());
    // Straight to the worker, for speed; every answer to its check-ins repeats it until it is heeded.
    wire::Command halt{wire::CommandKind::stop, ref, t.attempt, job->spec.save_s + save_margin_s};
    env_.http(it->second.address,
              {"POST", "/commands",
               wire::encode_commands(token_for(t.machine, *mine), {halt}, it->second.sequence.agent_epoch)},
              seconds(2), [](const HttpResponse&) {});
}

// Cut off from the workers alone, an owner that is in touch with the state service kept its part while every
// lease in it ran out, though others heard the workers. Where none of several is heard for longer than any
// would keep silent by chance, the part goes to another; and on after two leases, should that one hear none
// either.
void WorkerManager::give_up_unheard() {
    if (!cluster_.is_up_to_date()) return;
    const SteadyTime now = env_.now();
    const Duration lease = seconds(settings_.lease_s);
    const Duration quiet = seconds(std::max(settings_.report_s * 1.75, settings_.lease_s * 0.3));
    std::map<std::uint32_t, std::size_t> heard, known;
    for (const auto& [id, m] : machines_)
        if (now - m.last_heard < lease) ++heard[state_cache_.shard_of(id)];
    for (const auto& [id, a] : addresses_) ++known[state_cache_.shard_of(id)];
    for (const auto& [part, h] : hearing_) {
        if (!cluster_.term(part)) continue;
        const bool fell_silent = h.heard > h.gained && now - h.heard > quiet && heard[part] >= few_machines;
        const bool never_heard =
            h.heard <= h.gained && now - h.gained > 2 * lease && known[part] >= few_machines;
        if (fell_silent || never_heard) cluster_.transfer_leadership(part);
    }
}

void WorkerManager::sweep() {
    env_.after(millis(500), [this] { sweep(); });
    // Worked out anew for every sweep and every job that came or went, rooms took a tenth of a large fleet's
    // processor time.
    if (const Revision types = state_cache_.version(keys::machine_types);
        std::exchange(types_seen_, types) != types)
        ++room_epoch_;
    SteadyTime now = env_.now();
    std::vector<wire::RoundId> unanswered;
    for (const auto& [round, r] : holds_)
        if (r.until < now) unanswered.push_back(round);
    for (const auto& round : unanswered) let_go(round);
    std::erase_if(stops_, [&](const auto& s) {
        TaskState t = state_cache_.task(s.first.first);
        return t.status != TaskState::Status::placed || t.attempt != s.first.second;
    });
    if (!cluster_.is_synced()) return;
    announce_due();
    give_up_unheard();
    // A machine that only its committed tasks tell of is watched too: its silence must come to an end.
    for (const auto& [id, placed] : state_cache_.tasks_by_machine())
        if (cluster_.leader_term(id)) {
            Machine& m = machines_[id];
            if (m.first_known == SteadyTime{}) m.first_known = now;
        }
    for (auto it = machines_.begin(); it != machines_.end();) {
        auto& [id, m] = *it;
        auto mine = cluster_.leader_term(id);
        if (mine && m.term_shown && m.term_of_proof == *mine &&
            now - m.last_heard > surely_lapsed(settings_.lease_s)) {
            // It has shown our term, so nobody else renewed its lease; and that has run out, drift counted.
            log::debug("event=lease_lapsed machine={} heard={:.3f} at={:.3f}", id.value(),
                       to_seconds(m.last_heard.time_since_epoch()), to_seconds(now.time_since_epoch()));
            m.lapsed_session = m.sequence.agent_epoch;
            m.lapsed_term = *mine;
            m.hears = false;
            for (const auto& ref : std::set<TaskRef>(state_cache_.tasks_on(id)))
                committer_.commit_release(ref, state_cache_.task(ref).attempt, id,
                                          ReleaseReason::lease_expired);
        }
        if (m.draining && now - m.drain_since > seconds(20)) m.draining = false;
        const SteadyTime heard = std::max(m.last_heard, m.first_known);
        const bool forgotten =
            state_cache_.tasks_on(id).empty() && now - heard > seconds(settings_.lease_s * 12);
        if ((!mine && state_cache_.tasks_on(id).empty()) || forgotten)
            it = machines_.erase(it);
        else
            ++it;
    }
}

}  // namespace zincdyke
