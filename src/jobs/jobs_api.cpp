#include "jobs/jobs_api.h"

#include <algorithm>

#include "base/log.h"
#include "sched/placement_rules.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr std::size_t max_open_requests = 1000;  // more are told to come back
constexpr Duration request_timeout = std::chrono::milliseconds(3500);
constexpr Duration retry_delay = std::chrono::milliseconds(150);
constexpr Duration conflict_retry_delay = std::chrono::milliseconds(5);
constexpr double min_final_states = 1000, final_states_per_mb = 100;

HttpResponse try_later() {
    return HttpResponse::service_unavailable(1, wire::error_answer("try again later"));
}
HttpResponse no_such_job() { return HttpResponse::not_found(wire::error_answer("no such job")); }
}  // namespace

JobsApi::JobsApi(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                 ClusterCoordinator& cluster, PeerChannel& peers)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(state_cache),
      cluster_(cluster),
      peers_(peers),
      final_states_(
          static_cast<std::size_t>(std::max(min_final_states, settings.memory_mb * final_states_per_mb))) {}

bool JobsApi::ready() const { return cluster_.is_synced() && !state_cache_.machine_types().empty(); }

bool JobsApi::may_retry(SteadyTime give_up_at) const { return env_.now() < give_up_at && store_.reachable(); }

bool JobsApi::handle(const HttpRequest& request, const Reply& reply) {
    const auto target = parse_job_target(request.method, request.path);
    if (target) {
        dispatch(*target, request, reply);
        return true;
    }
    switch (target.error()) {
        case RoutingError::method_not_allowed:
            reply(HttpResponse::method_not_allowed(wire::error_answer("method not allowed")));
            return true;
        case RoutingError::no_such_job:
            reply(no_such_job());
            return true;
        case RoutingError::no_such_path:
            break;
    }
    return false;
}

void JobsApi::dispatch(const JobTarget& target, const HttpRequest& request, const Reply& reply) {
    if (target.action == JobAction::get)
        if (const FinalState* state = final_states_.find(target.id); state != nullptr)
            return reply(answer(target.id, *state));
    // Told at once when to come back: no answer is held to keep a user from asking again.
    if (!cluster_.is_synced() || !store_.reachable() || open_requests_ >= max_open_requests)
        return reply(try_later());
    ++open_requests_;
    const Reply counted = [this, reply](HttpResponse response) {
        --open_requests_;
        reply(std::move(response));
    };
    switch (target.action) {
        case JobAction::submit:
            return submit(request, counted);
        case JobAction::cancel:
            return cancel({target.id, env_.now() + request_timeout, counted});
        case JobAction::get:
            return get(target.id, counted);
    }
}

void JobsApi::look_up(const JobId& id, const OnLookup& done) {
    if (const FinalState* state = final_states_.find(id); state != nullptr) return done(*state);
    // A job moves from its live record to its final one in one commit: read in this order it is never missed.
    store_.get(keys::job(id), RequestPriority::user, [this, id, done](const GetResult& record) {
        if (record.outcome == Outcome::not_found) return look_up_final(id, done);
        if (record.outcome != Outcome::ok) return done(LookupFailed{});
        state_cache_.apply({keys::job(id), record.value, record.version});
        auto job = records::decode_job(record.value);
        if (!job) return done(LookupFailed{});
        job->version = record.version;
        done(LiveJob{std::move(*job)});
    });
}

void JobsApi::look_up_final(const JobId& id, const OnLookup& done) {
    store_.get(keys::final_state(id), RequestPriority::user, [this, id, done](const GetResult& record) {
        if (record.outcome == Outcome::not_found) return done(NoSuchJob{});
        if (record.outcome != Outcome::ok) return done(LookupFailed{});
        const auto [is_done, tasks] = records::decode_final_state(record.value);
        const FinalState state{is_done ? wire::Phase::done : wire::Phase::cancelled, tasks};
        final_states_.put(id, state);
        done(state);
    });
}

// Read through, together with others: what the cache holds after a read that was sent later than the question
// came is no older than what any node has told of the job. One that is not there then is over, or was never
// accepted: its final record tells.
void JobsApi::get(const JobId& id, const Reply& reply) {
    cluster_.await_fresh_state([this, id, reply](bool is_fresh) {
        if (!is_fresh) return reply(try_later());
        if (const Job* job = state_cache_.job(id); job != nullptr)
            return reply(live_answer(id, job->cancelled));
        const bool is_unreadable = state_cache_.version(keys::job(id)) != Revision{};
        if (is_unreadable) return reply(try_later());
        look_up_final(id, [this, id, reply](const JobLookup& lookup) { reply(answer(id, lookup)); });
    });
}

HttpResponse JobsApi::answer(const JobId& id, const JobLookup& lookup) const {
    if (std::holds_alternative<LookupFailed>(lookup)) return try_later();
    if (std::holds_alternative<NoSuchJob>(lookup)) return no_such_job();
    if (const auto* state = std::get_if<FinalState>(&lookup); state != nullptr)
        return HttpResponse::ok(wire::job_answer(id, state->phase, state->tasks, 0));
    return live_answer(id, std::get<LiveJob>(lookup).job.cancelled);
}

HttpResponse JobsApi::live_answer(const JobId& id, bool is_cancelled) const {
    if (is_cancelled) return HttpResponse::ok(wire::job_answer(id, wire::Phase::cancelled));
    const Job* job = state_cache_.job(id);
    const std::int64_t running = job != nullptr ? job->placed : 0, done = job != nullptr ? job->done : 0;
    const wire::Phase phase = running > 0 ? wire::Phase::running : wire::Phase::queued;
    return HttpResponse::ok(wire::job_answer(id, phase, done, running));
}

// Why the job could never run under the present settings and machine types; nothing: it could.
std::optional<std::string> JobsApi::reason_never_runs(const wire::JobSpec& spec) const {
    const auto found = settings_.teams.find(spec.team);
    if (found == settings_.teams.end()) return "unknown team";
    const auto& types = state_cache_.machine_types();
    if (std::none_of(types.begin(), types.end(),
                     [&](const auto& type) { return sched::type_allowed(spec, type); }))
        return "no allowed machine type fits a task";
    // All members of a gang, and all replicas of a service, run at the same time.
    const auto concurrent = spec.shape == wire::Shape::array ? 1 : static_cast<std::int64_t>(spec.tasks);
    const Team& team = found->second;
    if ((team.cpu_max > 0 && spec.need.cpu * concurrent > team.cpu_max) ||
        (team.gpu_max > 0 && spec.need.gpu * concurrent > team.gpu_max))
        return "more than the team's limit";
    return std::nullopt;
}

// Where a one-zone job is expected to go; its first start decides (StateCache::required_zone).
std::optional<std::string> JobsApi::expected_zone(const wire::JobSpec& spec) const {
    if (!spec.one_zone) return std::nullopt;
    if (spec.zone) return spec.zone;
    for (const auto& type : state_cache_.machine_types())
        if (sched::type_allowed(spec, type) && !type.zones.empty())
            return type.zones[std::hash<JobId>()(spec.id) % type.zones.size()];
    return std::nullopt;
}

void JobsApi::submit(const HttpRequest& request, const Reply& reply) {
    auto spec = wire::parse_job(request.body);
    if (!spec) return reply(HttpResponse::bad_request(wire::error_answer(spec.error().message)));
    if (!ready()) return reply(try_later());
    if (const auto reason = reason_never_runs(*spec))
        return answer_known_or(spec->id, HttpResponse::unprocessable(wire::error_answer(*reason)), reply);
    if (const JobId id = spec->id; state_cache_.job(id) != nullptr)
        return look_up(id, [this, id, reply](const JobLookup& lookup) { reply(answer(id, lookup)); });
    auto submission = std::make_shared<Submission>();
    Job& job = submission->job;
    job.spec = std::move(*spec);
    job.relay = settings_.node;
    job.submitted = env_.wall();
    job.assigned_zone = expected_zone(job.spec);
    submission->give_up_at = env_.now() + request_timeout;
    submission->reply = reply;
    commit_submission(submission);
}

// A job accepted under other settings, limits or types is still known, whatever would be said of it now.
void JobsApi::answer_known_or(const JobId& id, const HttpResponse& rejection, const Reply& reply) {
    look_up(id, [this, id, rejection, reply](const JobLookup& lookup) {
        reply(std::holds_alternative<NoSuchJob>(lookup) ? rejection : answer(id, lookup));
    });
}

void JobsApi::commit_submission(const std::shared_ptr<const Submission>& submission) {
    const JobId& id = submission->job.spec.id;
    const Json record = state_cache_.encode_job(submission->job);
    Transaction txn;
    txn.conditions = {{keys::job(id), Revision{}}, {keys::final_state(id), Revision{}}};
    txn.writes.push_back({keys::job(id), record, std::nullopt});
    if (!store_.is_within_limits(txn))
        return answer_known_or(id, HttpResponse::bad_request(wire::error_answer("description too large")),
                               submission->reply);
    store_.commit(txn, RequestPriority::user, [this, submission, record](const CommitResult& result) {
        on_submission_committed(submission, record, result);
    });
}

void JobsApi::on_submission_committed(const std::shared_ptr<const Submission>& submission, const Json& record,
                                      const CommitResult& result) {
    const auto& [job, give_up_at, reply] = *submission;
    const JobId& id = job.spec.id;
    switch (result.outcome) {
        case Outcome::ok:
            state_cache_.apply({keys::job(id), record, result.revision});
            log::info("event=job_accepted job={} class={} team={} tasks={} revision={}", id.value(),
                      job.spec.job_class, job.spec.team.value(), job.spec.tasks, result.revision.value());
            return reply(HttpResponse::created(wire::job_answer(id, wire::Phase::queued)));
        case Outcome::conflict:
        case Outcome::unknown:
            // Known already, or perhaps accepted by the commit whose answer was lost: read before anything is
            // said.
            return look_up(id, [this, submission](const JobLookup& lookup) {
                if (!std::holds_alternative<NoSuchJob>(lookup))
                    return submission->reply(answer(submission->job.spec.id, lookup));
                if (may_retry(submission->give_up_at)) return commit_submission(submission);
                submission->reply(try_later());
            });
        case Outcome::not_executed:
            if (!may_retry(give_up_at)) break;
            env_.after(retry_delay, [this, submission] { commit_submission(submission); });
            return;
        case Outcome::not_found:
        case Outcome::invalid_request:
            break;
    }
    reply(try_later());
}

void JobsApi::cancel(const Cancellation& cancellation) {
    look_up(cancellation.id, [this, cancellation](const JobLookup& lookup) {
        const auto* live = std::get_if<LiveJob>(&lookup);
        if (live == nullptr || live->job.cancelled)
            return cancellation.reply(answer(cancellation.id, lookup));
        commit_cancellation(cancellation, live->job);
    });
}

void JobsApi::commit_cancellation(const Cancellation& cancellation, const Job& job) {
    Job cancelled = job;
    cancelled.cancelled = true;
    const Json record = state_cache_.encode_job(cancelled);
    Transaction txn;
    txn.conditions.push_back({keys::job(cancellation.id), job.version});
    txn.writes.push_back({keys::job(cancellation.id), record, std::nullopt});
    store_.commit(txn, RequestPriority::user, [this, cancellation, record](const CommitResult& result) {
        const auto& [id, give_up_at, reply] = cancellation;
        if (result.outcome == Outcome::ok) {
            state_cache_.apply({keys::job(id), record, result.revision});
            log::info("event=job_cancelled job={} revision={}", id.value(), result.revision.value());
            for (const auto& seed : settings_.seeds)
                peers_.send(seed.node, wire::JobCancelledNotification{id});
            return reply(HttpResponse::ok(wire::job_answer(id, wire::Phase::cancelled)));
        }
        // Done meanwhile, or unknown: look again rather than guess.
        if (!may_retry(give_up_at)) return reply(try_later());
        env_.after(result.outcome == Outcome::conflict ? conflict_retry_delay : retry_delay,
                   [this, cancellation] { cancel(cancellation); });
    });
}

}  // namespace zincdyke
