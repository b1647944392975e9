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

void HeartbeatHandler::handle(const wire::Heartbeat& heartbeat, const Reply& reply) {
    const MachineId& id = heartbeat.machine;
    const auto term = cluster_.is_synced() ? cluster_.leader_term(id) : std::nullopt;
    if (!term || heartbeat.token.term > *term) {
        // Not entitled: a 200 here would hold the worker while its lease expires.
        const auto leader = cluster_.is_synced() ? cluster_.leader_of(id) : std::nullopt;
        return reply(http_messages::not_leader(leader));
    }
    if (!registry_.can_register(id)) return reply(http_messages::unavailable());
    ++counts_.heartbeats;
    if (is_stale(heartbeat, *term)) {
        ++counts_.stale_heartbeats;
        return renew_lease(heartbeat, *term, reconciler_.stops_of_cancelled(heartbeat), reply);
    }
    Machine& machine = registry_.find_or_add(id);
    accept(machine, heartbeat, *term);
    const auto commands = reconciler_.reconcile(id, machine, heartbeat, *term);
    machine.link.record_heartbeat_answered(heartbeat.sequence.number);
    if (!machine.ended_attempts.empty() || heartbeat.tasks.empty()) notifier_.on_capacity_freed(id, machine);
    if (!commands.empty() || !should_hold(machine, heartbeat))
        return renew_lease(heartbeat, *term, commands, reply);
    held_[id] = {heartbeat, reply, env_.after(max_response_delay, [this, id] { answer_held(id); })};
}

// Copies of heartbeats come late, up to well over a lease: what is older than we know, of an epoch whose
// lease surely expired or of a terminated machine proves nothing, revives nothing and starts nothing.
bool HeartbeatHandler::is_stale(const wire::Heartbeat& heartbeat, Term term) const {
    if (registry_.is_terminated(heartbeat.machine)) return true;
    const Machine* machine = registry_.find(heartbeat.machine);
    return machine != nullptr && machine->link.is_stale(heartbeat.sequence, term);
}

void HeartbeatHandler::accept(Machine& machine, const wire::Heartbeat& heartbeat, Term term) {
    const SteadyTime now = env_.now();
    AgentLink& link = machine.link;
    // Nothing of this epoch came for longer than a lease: what comes now was held on its way, or its sender
    // was told our term by others' means. Either way this one heartbeat does not prove that the agent
    // receives our responses; the next does.
    const bool is_overdue =
        link.is_lease_overdue(heartbeat.sequence.agent_epoch, term, now, settings_.lease_s);
    link.record_message_received(now);
    lease_monitor_.on_heartbeat(heartbeat.machine);
    log::debug(
        "event=heartbeat machine={} agent_epoch={} number={} shown_term={} term={} receives_responses={} "
        "answered={} at={:.3f}",
        heartbeat.machine.value(), heartbeat.sequence.agent_epoch, heartbeat.sequence.number,
        heartbeat.token.term.value(), term.value(), link.receives_responses(), link.last_answered_number(),
        to_seconds(now.time_since_epoch()));
    answer_superseded(heartbeat.machine, term);
    if (is_overdue) link.clear_last_answered_number();
    machine.apply(heartbeat, term, HeartbeatSource::agent, now);
    if (is_overdue) link.mark_responses_unacknowledged();
}

// An older heartbeat may still be held: its worker has moved on, and would not execute a start in the
// response.
void HeartbeatHandler::answer_superseded(const MachineId& id, Term term) {
    const auto found = held_.find(id);
    if (found == held_.end()) return;
    env_.cancel(found->second.timer);
    const HeldHeartbeat held = std::move(found->second);
    held_.erase(found);
    renew_lease(held.heartbeat, term, reconciler_.stops_of_cancelled(held.heartbeat), held.reply);
}

// What it reports (an end, or free capacity) will bring commands in a moment, and its next heartbeat is an
// interval away: short tasks would lose a tenth of their machine to that wait.
bool HeartbeatHandler::should_hold(const Machine& machine, const wire::Heartbeat& heartbeat) const {
    if (heartbeat.notice_s || !availability_.is_schedulable(heartbeat.machine, machine) ||
        !state_cache_.has_pending_tasks())
        return false;
    return heartbeat.tasks.empty() ||
           std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                       [](const auto& status) { return status.phase == wire::TaskPhase::ended; });
}

void HeartbeatHandler::deliver_start(const MachineId& id) {
    if (held_.contains(id))
        env_.after(start_gather_delay, [this, id] { answer_held(id); });
    else
        sender_.request_heartbeat(id);
}

// Gives a held heartbeat its response, with the commands as they stand now.
void HeartbeatHandler::answer_held(const MachineId& id) {
    const auto found = held_.find(id);
    if (found == held_.end()) return;
    const HeldHeartbeat held = std::move(found->second);
    held_.erase(found);
    env_.cancel(held.timer);
    const auto term = cluster_.leader_term(id);
    Machine* machine = registry_.find(id);
    if (!term || machine == nullptr || held.heartbeat.token.term > *term)
        return held.reply(http_messages::not_leader(std::nullopt));
    // A newer message, in the response to a command, may have come meanwhile: then this one's news is old.
    const bool is_newest = held.heartbeat.sequence == machine->link.sequence();
    renew_lease(held.heartbeat, *term,
                is_newest ? reconciler_.reconcile(id, *machine, held.heartbeat, *term)
                          : reconciler_.stops_of_cancelled(held.heartbeat),
                held.reply);
}

// The one place that answers 200, and so renews a lease. Each such response stops whatever is known to be
// cancelled. Where a cancellation may have been confirmed for so long that a lease renewed now would outlast
// `cancel_s`, nothing is renewed: the worker tries the other controllers, and its lease expires. It protects
// against a leader that the key-value store alone refuses, and that never learns of a cancellation.
void HeartbeatHandler::renew_lease(const wire::Heartbeat& heartbeat, Term term,
                                   const std::vector<wire::Command>& commands, const Reply& reply) {
    if (!cancellation_watermark_.may_renew_leases()) {
        ++counts_.leases_not_renewed;
        log::debug("event=lease_not_renewed machine={}", heartbeat.machine.value());
        return reply(http_messages::unavailable());
    }
    reply(http_messages::lease_renewed(registry_.token_for(heartbeat.machine, term), commands));
}

}  // namespace zincdyke
