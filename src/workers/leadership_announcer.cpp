#include "workers/leadership_announcer.h"

#include <algorithm>

#include "workers/http_messages.h"

namespace zincdyke {

LeadershipAnnouncer::LeadershipAnnouncer(Env& env, const StateCache& state_cache,
                                         const ClusterCoordinator& cluster, MachineRegistry& registry)
    : env_(env), state_cache_(state_cache), cluster_(cluster), registry_(registry) {}

bool LeadershipAnnouncer::can_store_address(const MachineId& id) const {
    return !registry_.is_terminated(id) &&
           (targets_.size() < MachineRegistry::max_machines || targets_.contains(id));
}

void LeadershipAnnouncer::on_peer_heartbeat(const wire::PeerHeartbeat& heartbeat) {
    const SteadyTime now = env_.now();
    for (const auto& status : heartbeat.machines) {
        if (status.address.empty() || !can_store_address(status.id)) continue;
        AnnouncementTarget& target = targets_[status.id];
        target.address = status.address;
        target.agent_epoch = std::max(target.agent_epoch, status.agent_epoch);
        target.address_confirmed_at = now;
    }
}

void LeadershipAnnouncer::on_machines_discovered(const wire::MachinesDiscoveredNotification& notification) {
    for (const auto& machine : notification.machines) {
        if (!can_store_address(machine.id)) continue;
        AnnouncementTarget& target = targets_[machine.id];
        target.address = machine.address;
        target.address_confirmed_at = env_.now();
    }
}

void LeadershipAnnouncer::on_machine_terminated(const MachineId& id) {
    const auto found = targets_.find(id);
    if (found != targets_.end() && !found->second.is_in_flight) targets_.erase(found);
}

void LeadershipAnnouncer::reset_retries(std::uint32_t shard) {
    for (auto& [id, target] : targets_)
        if (state_cache_.shard_of(id) == shard) {
            target.next_attempt_at = {};
            target.attempt_count = 0;
        }
}

void LeadershipAnnouncer::send_due_announcements() {
    const SteadyTime now = env_.now();
    std::erase_if(targets_, [&](const auto& entry) {
        return !entry.second.is_in_flight && now - entry.second.address_confirmed_at > address_timeout;
    });
    for (auto& [id, target] : targets_) {
        if (in_flight_count_ >= max_concurrent_announcements) return;
        if (target.is_in_flight || target.next_attempt_at > now) continue;
        const auto term = cluster_.leader_term(id);
        const Machine* machine = registry_.find(id);
        const bool has_received_term = term && machine != nullptr && machine->link.has_received_term(*term);
        if (term && !has_received_term) announce_term(id, target, *term);
    }
}

void LeadershipAnnouncer::announce_term(const MachineId& id, AnnouncementTarget& target, Term term) {
    target.is_in_flight = true;
    ++in_flight_count_;
    env_.http(target.address,
              http_messages::command_request(registry_.fencing_token_for(id, term), {}, target.agent_epoch),
              http_messages::command_timeout,
              [this, id, term](const HttpResponse& response) { on_response(id, term, response); });
}

// Updates the machine's state from the agent's response to an announcement of this leader's term. The
// response's body has the format of a heartbeat, even if the agent rejects the announcement with status 409.
void LeadershipAnnouncer::on_response(const MachineId& id, Term term, const HttpResponse& response) {
    --in_flight_count_;
    const auto found = targets_.find(id);
    if (found == targets_.end()) return;
    AnnouncementTarget& target = found->second;
    target.is_in_flight = false;
    auto heartbeat = response.status == 200 || response.status == 409 ? wire::parse_heartbeat(response.body)
                                                                      : std::nullopt;
    if (heartbeat && heartbeat->machine != id) heartbeat.reset();
    const bool is_wrong_epoch = heartbeat && heartbeat->sequence.agent_epoch != target.agent_epoch;
    if (is_wrong_epoch) target.agent_epoch = heartbeat->sequence.agent_epoch;
    // An announcement that the agent rejected because of the agent epoch is retried once without delay, with
    // the epoch from the response.
    if (is_wrong_epoch && target.attempt_count == 0)
        target.next_attempt_at = {};
    else
        schedule_retry(target);
    ++target.attempt_count;
    if (!heartbeat || heartbeat->token.term != term || cluster_.leader_term(id) != term ||
        registry_.is_terminated(id)) {
        if (is_wrong_epoch) send_due_announcements();
        return;
    }
    target.attempt_count = 0;
    Machine& machine = registry_.find_or_add(id);
    if (machine.link.is_stale(heartbeat->sequence, term)) return;
    machine.apply_heartbeat(*heartbeat, term, HeartbeatSource::command_response, env_.now());
    // The agent sent its last answered heartbeat before this response, so its lease cannot end later than one
    // lease duration from now.
    machine.link.record_message_received(env_.now());
}

void LeadershipAnnouncer::schedule_retry(AnnouncementTarget& target) const {
    target.next_attempt_at =
        env_.now() + std::min(max_retry_delay,
                              first_retry_delay * (1 << std::min(target.attempt_count, max_retry_doublings)));
}

std::map<std::uint32_t, std::size_t> LeadershipAnnouncer::machine_counts_by_shard() const {
    std::map<std::uint32_t, std::size_t> counts;
    for (const auto& [id, target] : targets_) ++counts[state_cache_.shard_of(id)];
    return counts;
}

}  // namespace zincdyke
