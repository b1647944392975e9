#include "jobs/jobs_api.h"

#include <algorithm>

#include "base/log.h"
#include "sched/placement_rules.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr std::size_t max_open_requests = 1000;  // further requests are rejected with status 503
constexpr Duration request_timeout = std::chrono::milliseconds(3500);
constexpr Duration commit_retry_delay = std::chrono::milliseconds(150);
constexpr Duration conflict_retry_delay = std::chrono::milliseconds(5);
constexpr double min_cached_final_states = 1000, cached_final_states_per_mb = 100;

HttpResponse try_later_response() {
    return HttpResponse::service_unavailable(1, wire::error_response_body("try again later"));
}
HttpResponse no_such_job_response() {
    return HttpResponse::not_found(wire::error_response_body("no such job"));
}
}  // namespace

JobsApi::JobsApi(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                 ClusterCoordinator& cluster, PeerChannel& peers)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(state_cache),
      cluster_(cluster),
      peers_(peers),
      final_states_(static_cast<std::size_t>(
          std::max(min_cached_final_states, settings.memory_mb * cached_final_states_per_mb))) {}

bool JobsApi::ready() const { return cluster_.is_synced() && !state_cache_.machine_types().empty(); }

bool JobsApi::may_retry(SteadyTime deadline) const { return env_.now() < deadline && store_.reachable(); }

bool JobsApi::handle(const HttpRequest& request, const Reply& reply) {
    const auto target = parse_job_target(request.method, request.path);
    if (target) {
        dispatch(*target, request, reply);
        return true;
    }
    switch (target.error()) {
        case RoutingError::method_not_allowed:
            reply(HttpResponse::method_not_allowed(wire::error_response_body("method not allowed")));
            return true;
        case RoutingError::no_such_job:
            reply(no_such_job_response());
            return true;
        case RoutingError::no_such_path:
            break;
    }
    return false;
}

void JobsApi::dispatch(const JobTarget& target, const HttpRequest& request, const Reply& reply) {
    if (target.action == JobAction::get)
        if (const FinalState* state = final_states_.find(target.id); state != nullptr)
            return reply(job_response(target.id, *state));
    // Requests that can't be served now are rejected immediately with status 503 and not held open.
    if (!cluster_.is_synced() || !store_.reachable() || open_requests_ >= max_open_requests)
        return reply(try_later_response());
    ++open_requests_;
    const Reply counted_reply = [this, reply](HttpResponse response) {
        --open_requests_;
        reply(std::move(response));
    };
    switch (target.action) {
        case JobAction::submit:
            return submit(request, counted_reply);
        case JobAction::cancel:
            return cancel({target.id, env_.now() + request_timeout, counted_reply});
        case JobAction::get:
            return get(target.id, counted_reply);
    }
}

void JobsApi::look_up(const JobId& id, const LookupCallback& callback) {
    if (const FinalState* state = final_states_.find(id); state != nullptr) return callback(*state);
    // One commit deletes a finished job's record and writes its final record. Reading the job record first
    // and the final record second therefore never misses a job.
    store_.get(keys::job(id), RequestPriority::user, [this, id, callback](const GetResult& record) {
        if (record.outcome == Outcome::not_found) return look_up_final_state(id, callback);
        if (record.outcome != Outcome::ok) return callback(LookupFailed{});
        state_cache_.apply({keys::job(id), record.value, record.version});
        auto job = records::decode_job(record.value);
        if (!job) return callback(LookupFailed{});
        job->version = record.version;
        callback(UnfinishedJob{std::move(*job)});
    });
}

void JobsApi::look_up_final_state(const JobId& id, const LookupCallback& callback) {
    store_.get(keys::final_state(id), RequestPriority::user, [this, id, callback](const GetResult& record) {
        if (record.outcome == Outcome::not_found) return callback(NoSuchJob{});
        if (record.outcome != Outcome::ok) return callback(LookupFailed{});
        const auto [is_done, task_count] = records::decode_final_state(record.value);
        const FinalState state{is_done ? wire::Phase::done : wire::Phase::cancelled, task_count};
        final_states_.put(id, state);
        callback(state);
    });
}

// Waits until a read that was sent to the store after the user's request arrived has updated the state cache;
// many requests share one read. After that read, the cache is at least as new as any response that any
// controller has sent about the job. A job that is not in the cache has ended, if it has a final record, or
// was never accepted.
void JobsApi::get(const JobId& id, const Reply& reply) {
    cluster_.await_fresh_state([this, id, reply](bool is_fresh) {
        if (!is_fresh) return reply(try_later_response());
        if (const Job* job = state_cache_.job(id); job != nullptr)
            return reply(unfinished_job_response(id, job->cancelled));
        const bool is_undecodable = state_cache_.version(keys::job(id)) != Revision{};
        if (is_undecodable) return reply(try_later_response());
        look_up_final_state(id,
                            [this, id, reply](const JobLookup& lookup) { reply(job_response(id, lookup)); });
    });
}

HttpResponse JobsApi::job_response(const JobId& id, const JobLookup& lookup) const {
    if (std::holds_alternative<LookupFailed>(lookup)) return try_later_response();
    if (std::holds_alternative<NoSuchJob>(lookup)) return no_such_job_response();
    if (const auto* state = std::get_if<FinalState>(&lookup); state != nullptr)
        return HttpResponse::ok(wire::job_response_body(id, state->phase, state->task_count, 0));
    return unfinished_job_response(id, std::get<UnfinishedJob>(lookup).job.cancelled);
}

HttpResponse JobsApi::unfinished_job_response(const JobId& id, bool is_cancelled) const {
    if (is_cancelled) return HttpResponse::ok(wire::job_response_body(id, wire::Phase::cancelled));
    const Job* job = state_cache_.job(id);
    const std::int64_t running = job != nullptr ? job->placed_tasks : 0,
                       done = job != nullptr ? job->done_tasks : 0;
    const wire::Phase phase = running > 0 ? wire::Phase::running : wire::Phase::queued;
    return HttpResponse::ok(wire::job_response_body(id, phase, done, running));
}

// Returns why a job could never run with the current settings and machine types, or nothing if it could run.
std::optional<std::string> JobsApi::rejection_reason(const wire::JobSpec& spec) const {
    const auto found_team = settings_.teams.find(spec.team);
    if (found_team == settings_.teams.end()) return "unknown team";
    const auto& types = state_cache_.machine_types();
    if (std::none_of(types.begin(), types.end(),
                     [&](const auto& type) { return sched::type_allowed(spec, type); }))
        return "no allowed machine type fits a task";
    // The members of a gang, and the replicas of a service, all run at the same time.
    const auto concurrent_tasks =
        spec.shape == wire::Shape::array ? 1 : static_cast<std::int64_t>(spec.tasks);
    const Team& team = found_team->second;
    if ((team.cpu_max > 0 && spec.need.cpu * concurrent_tasks > team.cpu_max) ||
        (team.gpu_max > 0 && spec.need.gpu * concurrent_tasks > team.gpu_max))
        return "more than the team's limit";
    return std::nullopt;
}

// Returns the initially assigned zone of a one-zone job, or nothing for other jobs. The job's first task
// start may choose a different zone (StateCache::required_zone).
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
    if (!spec) return reply(HttpResponse::bad_request(wire::error_response_body(spec.error().message)));
    if (!ready()) return reply(try_later_response());
    if (const auto reason = rejection_reason(*spec))
        return reject_unless_exists(spec->id, HttpResponse::unprocessable(wire::error_response_body(*reason)),
                                    reply);
    if (const JobId id = spec->id; state_cache_.job(id) != nullptr)
        return look_up(id, [this, id, reply](const JobLookup& lookup) { reply(job_response(id, lookup)); });
    auto submission = std::make_shared<Submission>();
    Job& job = submission->job;
    job.spec = std::move(*spec);
    job.relay = settings_.node;
    job.submitted = env_.wall();
    job.assigned_zone = expected_zone(job.spec);
    submission->deadline = env_.now() + request_timeout;
    submission->reply = reply;
    commit_submission(submission);
}

// Sends `rejection` only if the job does not exist; otherwise responds with the job's state. The job may have
// been accepted earlier, under other settings or machine types.
void JobsApi::reject_unless_exists(const JobId& id, const HttpResponse& rejection, const Reply& reply) {
    look_up(id, [this, id, rejection, reply](const JobLookup& lookup) {
        reply(std::holds_alternative<NoSuchJob>(lookup) ? rejection : job_response(id, lookup));
    });
}

void JobsApi::commit_submission(const std::shared_ptr<const Submission>& submission) {
    const JobId& id = submission->job.spec.id;
    const Json record = state_cache_.encode_job(submission->job);
    Transaction transaction;
    transaction.conditions = {{keys::job(id), Revision{}}, {keys::final_state(id), Revision{}}};
    transaction.writes.push_back({keys::job(id), record, std::nullopt});
    if (!store_.is_within_limits(transaction))
        return reject_unless_exists(
            id, HttpResponse::bad_request(wire::error_response_body("description too large")),
            submission->reply);
    store_.commit(transaction, RequestPriority::user, [this, submission, record](const CommitResult& result) {
        on_submission_committed(submission, record, result);
    });
}

void JobsApi::on_submission_committed(const std::shared_ptr<const Submission>& submission, const Json& record,
                                      const CommitResult& result) {
    const auto& [job, deadline, reply] = *submission;
    const JobId& id = job.spec.id;
    switch (result.outcome) {
        case Outcome::ok:
            state_cache_.apply({keys::job(id), record, result.revision});
            log::info("event=job_accepted job={} class={} team={} tasks={} revision={}", id.value(),
                      job.spec.job_class, job.spec.team.value(), job.spec.tasks, result.revision.value());
            return reply(HttpResponse::created(wire::job_response_body(id, wire::Phase::queued)));
        case Outcome::conflict:
        case Outcome::unknown:
            // The job may exist already, or may have been accepted by a commit whose response was lost, so
            // the store is read before the user gets a response.
            return look_up(id, [this, submission](const JobLookup& lookup) {
                if (!std::holds_alternative<NoSuchJob>(lookup))
                    return submission->reply(job_response(submission->job.spec.id, lookup));
                if (may_retry(submission->deadline)) return commit_submission(submission);
                submission->reply(try_later_response());
            });
        case Outcome::not_executed:
            if (!may_retry(deadline)) break;
            env_.after(commit_retry_delay, [this, submission] { commit_submission(submission); });
            return;
        case Outcome::not_found:
        case Outcome::invalid_request:
            break;
    }
    reply(try_later_response());
}

void JobsApi::cancel(const Cancellation& cancellation) {
    look_up(cancellation.id, [this, cancellation](const JobLookup& lookup) {
        const auto* unfinished = std::get_if<UnfinishedJob>(&lookup);
        if (unfinished == nullptr || unfinished->job.cancelled)
            return cancellation.reply(job_response(cancellation.id, lookup));
        commit_cancellation(cancellation, unfinished->job);
    });
}

void JobsApi::commit_cancellation(const Cancellation& cancellation, const Job& job) {
    Job cancelled_job = job;
    cancelled_job.cancelled = true;
    const Json record = state_cache_.encode_job(cancelled_job);
    Transaction transaction;
    transaction.conditions.push_back({keys::job(cancellation.id), job.version});
    transaction.writes.push_back({keys::job(cancellation.id), record, std::nullopt});
    store_.commit(
        transaction, RequestPriority::user, [this, cancellation, record](const CommitResult& result) {
            const auto& [id, deadline, reply] = cancellation;
            if (result.outcome == Outcome::ok) {
                state_cache_.apply({keys::job(id), record, result.revision});
                log::info("event=job_cancelled job={} revision={}", id.value(), result.revision.value());
                for (const auto& seed : settings_.seeds)
                    peers_.send(seed.node, wire::JobCancelledNotification{id});
                return reply(HttpResponse::ok(wire::job_response_body(id, wire::Phase::cancelled)));
            }
            // The cancellation may have failed because the job finished, or its outcome is unknown. The retry
            // reads the job's state again.
            if (!may_retry(deadline)) return reply(try_later_response());
            env_.after(result.outcome == Outcome::conflict ? conflict_retry_delay : commit_retry_delay,
                       [this, cancellation] { cancel(cancellation); });
        });
}

}  // namespace zincdyke
