#include "workers/placement_scorer.h"

#include <algorithm>
#include <utility>

namespace zincdyke {

PlacementScorer::PlacementScorer(Env& env, const Settings& settings, const StateCache& state_cache,
                                 const ClusterCoordinator& cluster,
                                 const PlacementScorerComponents& components)
    : env_(env), settings_(settings), state_cache_(state_cache), cluster_(cluster), components_(components) {}

void PlacementScorer::on_placement_request(const wire::PlacementRequest& request) {
    ++counts_.placement_requests;
    const Job* job = state_cache_.job(request.job);
    wire::PlacementResponse response{request.round, request.job, settings_.node, request.scorers, false,
                                     request.tasks, {}};
    if (job != nullptr && cluster_.is_synced() && !job->cancelled) {
        response.is_gang = job->spec.shape == wire::Shape::gang;
        const Placement placement{request, *job, state_cache_.required_zone(*job)};
        auto candidates = find_candidates(placement);
        response.offers =
            sched::make_offers(candidates, request.need, request.tasks.size(),
                               {.is_limit_per_zone = job->spec.one_zone && !placement.required_zone,
                                .spread_replicas = job->spec.is_service()});
        counts_.offers += response.offers.size();
        components_.capacity.reserve_offers(request.round, request.need, response.offers);
    }
    components_.peers.send(request.gatherer, std::move(response));
}

std::vector<sched::Candidate> PlacementScorer::find_candidates(const Placement& placement) {
    // The jobs with precedence are computed only if a machine has capacity: the computation reads all jobs,
    // and under load most machines are full.
    std::optional<std::vector<const Job*>> preceding_jobs;
    std::vector<sched::Candidate> candidates;
    for (auto& [id, machine] : components_.registry) {
        const Resources free = components_.capacity.free_capacity(id, machine);
        if (!free.covers(placement.request.need) || !is_eligible(placement, id, machine)) continue;
        if (!preceding_jobs) preceding_jobs = jobs_with_precedence(placement.job);
        const bool is_wanted_by_other_job =
            std::any_of(preceding_jobs->begin(), preceding_jobs->end(),
                        [&, &candidate = machine](const Job* job) { return can_use(*job, candidate, free); });
        if (is_wanted_by_other_job && should_defer(id)) continue;
        candidates.push_back(make_candidate(placement, id, machine, free));
    }
    return candidates;
}

bool PlacementScorer::is_eligible(const Placement& placement, const MachineId& id,
                                  const Machine& machine) const {
    const wire::JobSpec& spec = placement.job.spec;
    if (!components_.availability.is_schedulable(id, machine) ||
        !sched::machine_allowed(spec, placement.required_zone, machine.type, machine.zone, machine.spot))
        return false;
    const auto* type = state_cache_.machine_type(machine.type);
    return type != nullptr && sched::should_use_type(spec, *type, state_cache_.machine_types()) &&
           !components_.reserved_machines.is_blocked_for(id, spec);
}

sched::Candidate PlacementScorer::make_candidate(const Placement& placement, const MachineId& id,
                                                 const Machine& machine, const Resources& free) const {
    const Job& job = placement.job;
    sched::Candidate candidate{id,
                               machine.zone,
                               free,
                               state_cache_.machine_type(machine.type)->capacity,
                               has_image(id, machine, placement.request.image),
                               std::min(components_.cordons.error_count(id), max_error_penalty),
                               0};
    const auto* machines_with_failures = components_.cordons.machines_with_failed_tasks(job.spec.id);
    if (machines_with_failures != nullptr && machines_with_failures->contains(id))
        candidate.failure_penalty += failed_on_machine_penalty;
    if (job.spec.is_service()) candidate.replica_count = replicas_on(id, job.spec.id);
    return candidate;
}

// Whether to withhold the machine from a job in favor of jobs with precedence. Returns true until
// `max_deferral` has passed since the machine was first withheld.
bool PlacementScorer::should_defer(const MachineId& id) {
    const SteadyTime now = env_.now();
    return now - deferred_since_.try_emplace(id, now).first->second < max_deferral;
}

bool PlacementScorer::can_use(const Job& job, const Machine& machine, const Resources& free) const {
    const auto* type = state_cache_.machine_type(machine.type);
    return type != nullptr &&
           sched::machine_allowed(job.spec, state_cache_.required_zone(job), machine.type, machine.zone,
                                  machine.spot) &&
           free.covers(job.spec.need) &&
           sched::should_use_type(job.spec, *type, state_cache_.machine_types());
}

// Returns the jobs that should get capacity before `job`. Relays place their jobs independently; without this
// order, a job could wait for minutes while newer jobs of another relay take each machine that becomes free.
std::vector<const Job*> PlacementScorer::jobs_with_precedence(const Job& job) const {
    std::vector<const Job*> preceding_jobs;
    for (const auto& [id, other] : state_cache_.jobs()) {
        if (other.spec.shape == wire::Shape::gang || other.cancelled || other.pending_tasks() == 0 ||
            id == job.spec.id)
            continue;
        if (has_precedence(other, job) && state_cache_.fits_team_quota(other.spec.team, other.spec.need, 1))
            preceding_jobs.push_back(&other);
    }
    return preceding_jobs;
}

// Whether `other` should get capacity before `job`: because it can use fewer machine types or, after a
// minimum waiting time, because of its rank or age. If jobs with fewer types had no precedence, tasks that
// need a large machine would wait while smaller tasks fill the few large machines.
bool PlacementScorer::has_precedence(const Job& other, const Job& job) const {
    const auto& types = state_cache_.machine_types();
    const bool has_fewer_types =
        other.spec.rank <= job.spec.rank && sched::has_fewer_types(other.spec, job.spec, types);
    if (has_fewer_types) return true;
    const auto waited_ms = static_cast<double>(env_.wall().value() - other.submitted.value());
    const bool is_older =
        waited_ms > precedence_wait_s * 1000 &&
        sched::has_precedence(other, job, precedence_min_age_gap_s + settings_.max_clock_skew_ms / 500);
    return is_older && !sched::has_fewer_types(job.spec, other.spec, types);
}

// Whether the machine has the image or is already fetching it for another task. Concurrent fetches share the
// machine's bandwidth, so fetching a second image would delay both.
bool PlacementScorer::has_image(const MachineId& id, const Machine& machine, const std::string& image) const {
    const auto* type = state_cache_.machine_type(machine.type);
    if (type != nullptr && state_cache_.holds_image(id, image, type->cache_gb)) return true;
    const auto& placed = state_cache_.tasks_on(id);
    return std::any_of(placed.begin(), placed.end(), [&](const TaskRef& ref) {
        const Job* job = state_cache_.job(ref.job);
        return job != nullptr && job->spec.image == image;
    });
}

TaskIndex PlacementScorer::replicas_on(const MachineId& id, const JobId& job) const {
    const auto& placed = state_cache_.tasks_on(id);
    return static_cast<TaskIndex>(
        std::count_if(placed.begin(), placed.end(), [&](const TaskRef& ref) { return ref.job == job; }));
}

void PlacementScorer::on_placement_decision(const wire::PlacementDecision& decision) {
    components_.capacity.release_offers(decision.round);
    std::vector<TaskIndex> rejected;
    for (const auto& assignment : decision.accepted)
        if (!try_start(decision.round, {decision.job, assignment.task}, assignment.machine))
            rejected.push_back(assignment.task);
    if (!rejected.empty())
        components_.peers.send(decision.round.relay,
                               wire::PlacementFailure{decision.round, decision.job, std::move(rejected)});
}

// Begins to commit a task start. Returns false if the machine can no longer take the task; if the result is
// true, the commit may still fail.
bool PlacementScorer::try_start(const wire::RoundId& round, const TaskRef& ref, const MachineId& id) {
    const Job* job = state_cache_.job(ref.job);
    Machine* machine = components_.registry.find(id);
    if (job == nullptr || machine == nullptr || !components_.availability.is_schedulable(id, *machine) ||
        components_.capacity.is_start_pending(ref) ||
        !components_.capacity.free_capacity(id, *machine).covers(job->spec.need))
        return false;
    deferred_since_.erase(id);
    components_.capacity.reserve_start(ref, id, job->spec.need);
    StartProgress progress;
    progress.queue_duration = millis(env_.wall().value() - job->submitted.value());
    progress.assigned_at = env_.now();
    components_.committer.commit_start(ref, id, machine->zone,
                                       [this, round, ref, id, progress](bool is_committed) {
                                           on_start_result(round, ref, id, progress, is_committed);
                                       });
    return true;
}

void PlacementScorer::on_start_result(const wire::RoundId& round, const TaskRef& ref, const MachineId& id,
                                      const StartProgress& progress, bool is_committed) {
    components_.capacity.release_start(ref);
    if (!is_committed) {
        components_.peers.send(round.relay, wire::PlacementFailure{round, ref.job, {ref.task}});
        return;
    }
    if (components_.registry.contains(id))
        components_.start_tracker.on_start_committed(id, {ref, state_cache_.task(ref).attempt}, progress);
    components_.heartbeat_handler.deliver_start(id);
}

}  // namespace zincdyke
