#include "workers/command_sender.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "workers/http_messages.h"

namespace zincdyke {

CommandSender::CommandSender(Env& env, const Settings& settings, const StateCache& state_cache,
                             const ClusterCoordinator& cluster, MachineRegistry& registry,
                             const StartTracker& start_tracker)
    : env_(env),
      settings_(settings),
      state_cache_(state_cache),
      cluster_(cluster),
      registry_(registry),
      start_tracker_(start_tracker) {}

void CommandSender::send_commands(const MachineId& id, const Machine& machine, Term term,
                                  const std::vector<wire::Command>& commands, Reply done) {
    env_.http(machine.address,
              http_messages::command_request(registry_.fencing_token_for(id, term), commands,
                                             machine.link.agent_epoch()),
              http_messages::command_timeout, std::move(done));
}

void CommandSender::stop_job(const JobId& id) {
    const Job* job = state_cache_.job(id);
    if (job == nullptr) return;
    for (const auto& [number, page] : job->pages)
        for (std::size_t i = 0; i < page.tasks.size(); ++i) {
            const TaskState& task = page.tasks[i];
            if (task.status != TaskState::Status::placed || !registry_.contains(task.machine) ||
                !cluster_.leader_term(task.machine))
                continue;
            const TaskRef ref{id, static_cast<TaskIndex>(i) + number * state_cache_.page_size(*job)};
            pending_stops_[task.machine].push_back({wire::CommandKind::stop, ref, task.attempt, 0});
        }
    send_stops();
}

// Sends stop commands without checking whether they are still needed: cancellations are final, so a late stop
// command is harmless.
void CommandSender::send_stops() {
    while (!pending_stops_.empty() && concurrent_stops_ < max_concurrent_stops) {
        const auto next = pending_stops_.extract(pending_stops_.begin());
        const MachineId& id = next.key();
        const Machine* machine = registry_.find(id);
        const auto term = cluster_.leader_term(id);
        if (!term || machine == nullptr || machine->address.empty()) continue;
        ++concurrent_stops_;
        send_commands(id, *machine, *term, next.mapped(), [this](const HttpResponse&) {
            --concurrent_stops_;
            send_stops();
        });
    }
}

void CommandSender::on_preemption_request(const wire::PreemptionRequest& request) {
    const TaskRef ref{request.job, request.task};
    const TaskState task = state_cache_.task(ref);
    const Job* job = state_cache_.job(request.job);
    if (job == nullptr || task.status != TaskState::Status::placed || task.attempt != request.attempt) return;
    const auto term = cluster_.leader_term(task.machine);
    const Machine* machine = registry_.find(task.machine);
    if (!term || machine == nullptr || !preempted_attempts_.insert({ref, task.attempt}).second) return;
    log::info("event=task_preempted task={} attempt={} machine={} term={}", ref.str(), task.attempt,
              task.machine.value(), term->value());
    const wire::Command stop{wire::CommandKind::stop, ref, task.attempt, job->spec.save_s + save_margin_s};
    send_commands(task.machine, *machine, *term, {stop}, [](const HttpResponse&) {});
}

void CommandSender::request_heartbeat(const MachineId& id) {
    Machine* machine = registry_.find(id);
    const auto term = cluster_.leader_term(id);
    if (machine == nullptr || !term || !should_request_heartbeat(id, *machine, *term)) return;
    machine->link.record_heartbeat_requested(env_.now());
    ++concurrent_heartbeat_requests_;
    ++heartbeat_request_count_;
    send_commands(id, *machine, *term, {}, [this](const HttpResponse&) { --concurrent_heartbeat_requests_; });
}

bool CommandSender::should_request_heartbeat(const MachineId& id, const Machine& machine, Term term) const {
    const AgentLink& link = machine.link;
    const SteadyTime now = env_.now();
    const Duration time_to_next_heartbeat =
        link.last_message_at() + seconds(settings_.heartbeat_interval_s) - now;
    const Duration min_wait =
        has_unsent_service_start(id) ? min_heartbeat_wait_for_service : min_heartbeat_wait;
    const Duration interval = seconds(settings_.lease_s * heartbeat_request_interval_lease_fraction);
    return link.receives_responses(term) && !machine.address.empty() && time_to_next_heartbeat >= min_wait &&
           !link.was_heartbeat_requested(now, interval) &&
           concurrent_heartbeat_requests_ < max_concurrent_heartbeat_requests && !link.is_token_exhausted();
}

// Whether a service replica is placed on the machine and its start command has not been sent yet.
bool CommandSender::has_unsent_service_start(const MachineId& id) const {
    const auto& placed = state_cache_.tasks_on(id);
    return std::any_of(placed.begin(), placed.end(), [&](const TaskRef& ref) {
        const Job* job = state_cache_.job(ref.job);
        return job != nullptr && job->spec.is_service() &&
               start_tracker_.start_delivery(id, {ref, state_cache_.task(ref).attempt}) == nullptr;
    });
}

void CommandSender::discard_ended_preemptions() {
    std::erase_if(preempted_attempts_, [&](const TaskAttempt& preempted) {
        const TaskState task = state_cache_.task(preempted.task);
        return task.status != TaskState::Status::placed || task.attempt != preempted.attempt;
    });
}

}  // namespace zincdyke
