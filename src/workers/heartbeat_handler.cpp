#include "workers/heartbeat_handler.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "workers/http_messages.h"

namespace zincdyke {

HeartbeatHandler::HeartbeatHandler(Env& env, const Settings& settings, const StateCache& state_cache,
                                   const ClusterCoordinator& cluster,
                                   const CancellationWatermark& cancellation_watermark,
                                   MachineRegistry& registry, const MachineAvailability& availability,
                                   CapacityNotifier& notifier, CommandSender& sender,
                                   TaskReconciler& reconciler, LeaseMonitor& lease_monitor)
    : env_(env),
      settings_(settings),
      state_cache_(state_cache),
      cluster_(cluster),
      cancellation_watermark_(cancellation_watermark),
      registry_(registry),
      availability_(availability),
      notifier_(notifier),
      sender_(sender),
      reconciler_(reconciler),
      lease_monitor_(lease_monitor) {}

void HeartbeatHandler::handle_heartbeat(const wire::Heartbeat& heartbeat, const Reply& reply) {
    const MachineId& id = heartbeat.machine;
    const auto term = cluster_.is_synced() ? cluster_.leader_term(id) : std::nullopt;
    if (!term || heartbeat.token.term > *term) {
        // A 200 response from a controller without the newest term would not renew the lease, and the worker
        // would keep sending heartbeats here until its lease expires.
        const auto leader = cluster_.is_synced() ? cluster_.leader_of(id) : std::nullopt;
        return reply(http_messages::not_leader_response(leader));
    }
    if (!registry_.can_register(id)) return reply(http_messages::unavailable_response());
    ++counts_.heartbeats;
    if (is_stale(heartbeat, *term)) {
        ++counts_.stale_heartbeats;
        return renew_lease(heartbeat, *term, reconciler_.stops_for_cancelled_jobs(heartbeat), reply);
    }
    Machine& machine = registry_.find_or_add(id);
    accept_heartbeat(machine, heartbeat, *term);
    const auto commands = reconciler_.reconcile(id, machine, heartbeat, *term);
    machine.link.record_heartbeat_answered(heartbeat.sequence.number);
    if (!machine.ended_attempts.empty() || heartbeat.tasks.empty()) notifier_.on_capacity_freed(id, machine);
    if (!commands.empty() || !should_delay_response(machine, heartbeat))
        return renew_lease(heartbeat, *term, commands, reply);
    pending_responses_[id] = {heartbeat, reply,
                              env_.after(max_response_delay, [this, id] { send_pending_response(id); })};
}

// Whether the heartbeat is outdated: older than the newest one, from an agent epoch whose lease expired, or
// from a terminated machine. Copies of heartbeats may arrive more than a lease duration late, and must
// neither change the machine's state nor start tasks.
bool HeartbeatHandler::is_stale(const wire::Heartbeat& heartbeat, Term term) const {
    if (registry_.is_terminated(heartbeat.machine)) return true;
    const Machine* machine = registry_.find(heartbeat.machine);
    return machine != nullptr && machine->link.is_stale(heartbeat.sequence, term);
}

void HeartbeatHandler::accept_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat, Term term) {
    const SteadyTime now = env_.now();
    AgentLink& link = machine.link;
    // A heartbeat that arrives more than a lease duration after the previous one may have been delayed in the
    // network, or its agent may have learned the term from something other than a response. Such a heartbeat
    // does not prove that the agent receives this node's responses; the agent's next heartbeat does.
    const bool is_overdue =
        link.is_lease_overdue(heartbeat.sequence.agent_epoch, term, now, settings_.lease_s);
    link.record_message_received(now);
    lease_monitor_.on_heartbeat(heartbeat.machine);
    log::debug(
        "event=heartbeat machine={} agent_epoch={} number={} shown_term={} term={} receives_responses={} "
        "answered={} at={:.3f}",
        heartbeat.machine.value(), heartbeat.sequence.agent_epoch, heartbeat.sequence.number,
        heartbeat.token.term.value(), term.value(), link.receives_responses(),
        link.last_answered_heartbeat_number(), to_seconds(now.time_since_epoch()));
    send_superseded_response(heartbeat.machine, term);
    if (is_overdue) link.clear_last_answered_heartbeat_number();
    machine.apply_heartbeat(heartbeat, term, HeartbeatSource::agent, now);
    if (is_overdue) link.mark_responses_unacknowledged();
}

// Sends the response to a machine's previous heartbeat when a newer heartbeat arrives. The worker no longer
// waits for that response and would ignore a start in it, so it carries only stop commands for cancelled
// jobs.
void HeartbeatHandler::send_superseded_response(const MachineId& id, Term term) {
    const auto found = pending_responses_.find(id);
    if (found == pending_responses_.end()) return;
    env_.cancel(found->second.timer);
    const PendingResponse pending = std::move(found->second);
    pending_responses_.erase(found);
    renew_lease(pending.heartbeat, term, reconciler_.stops_for_cancelled_jobs(pending.heartbeat),
                pending.reply);
}

// Whether the response to a heartbeat should be delayed, because commands are likely to follow soon: the
// machine reports an ended task, or no tasks while tasks are pending. A command that misses the response has
// to wait for the machine's next heartbeat, which leaves the machine idle in between: with short tasks, for a
// tenth of its time.
bool HeartbeatHandler::should_delay_response(const Machine& machine, const wire::Heartbeat& heartbeat) const {
    if (heartbeat.spot_notice_s || !availability_.is_schedulable(heartbeat.machine, machine) ||
        !state_cache_.has_pending_tasks())
        return false;
    return heartbeat.tasks.empty() ||
           std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                       [](const auto& status) { return status.phase == wire::TaskPhase::ended; });
}

void HeartbeatHandler::deliver_start(const MachineId& id) {
    if (pending_responses_.contains(id))
        env_.after(start_batch_delay, [this, id] { send_pending_response(id); });
    else
        sender_.request_heartbeat(id);
}

// Sends the delayed response to a machine's heartbeat, with the commands that apply now.
void HeartbeatHandler::send_pending_response(const MachineId& id) {
    const auto found = pending_responses_.find(id);
    if (found == pending_responses_.end()) return;
    const PendingResponse pending = std::move(found->second);
    pending_responses_.erase(found);
    env_.cancel(pending.timer);
    const auto term = cluster_.leader_term(id);
    Machine* machine = registry_.find(id);
    if (!term || machine == nullptr || pending.heartbeat.token.term > *term)
        return pending.reply(http_messages::not_leader_response(std::nullopt));
    // The heartbeat is outdated if a newer message has arrived in the response to a command.
    const bool is_newest = pending.heartbeat.sequence == machine->link.newest_sequence();
    renew_lease(pending.heartbeat, *term,
                is_newest ? reconciler_.reconcile(id, *machine, pending.heartbeat, *term)
                          : reconciler_.stops_for_cancelled_jobs(pending.heartbeat),
                pending.reply);
}

// Renews a lease by answering 200; no other function does so. Each such response stops the tasks of all jobs
// known to be cancelled. If this node may have missed a cancellation for so long that a lease renewed now
// would outlast `cancel_s`, the response is 503: the worker tries other controllers, or its lease expires.
// The 503 response is needed for a leader that has lost only its connection to the key-value store.
void HeartbeatHandler::renew_lease(const wire::Heartbeat& heartbeat, Term term,
                                   const std::vector<wire::Command>& commands, const Reply& reply) {
    if (!cancellation_watermark_.may_renew_leases()) {
        ++counts_.leases_not_renewed;
        log::debug("event=lease_not_renewed machine={}", heartbeat.machine.value());
        return reply(http_messages::unavailable_response());
    }
    reply(http_messages::lease_renewed_response(registry_.fencing_token_for(heartbeat.machine, term),
                                                commands));
}

}  // namespace zincdyke
