#include "app/peer_message_dispatcher.h"

#include <variant>

namespace zincdyke {

void PeerMessageDispatcher::dispatch(const NodeName& from, const wire::PeerMessage& message) {
    std::visit([this, &from](const auto& content) { this->on(from, content); }, message);
}

// Does nothing, because PeerLinks has already handled the Hello message.
void PeerMessageDispatcher::on(const NodeName& /*from*/, const wire::Hello& /*hello*/) {}

void PeerMessageDispatcher::on(const NodeName& from, const wire::PeerHeartbeat& heartbeat) {
    recipients_.peers.on_heartbeat(from, heartbeat);
    if (heartbeat.cancellation_ack.sender_epoch != 0)
        recipients_.cancellation_watermark.on_acknowledgement(from, heartbeat.cancellation_ack);
    recipients_.workers.on_peer_heartbeat(heartbeat);
    recipients_.autoscaler.on_peer_heartbeat(from, heartbeat);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/, const wire::PlacementRequest& request) {
    recipients_.workers.on_placement_request(request);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/, const wire::PlacementResponse& response) {
    recipients_.gatherer.on_placement_response(response);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/, const wire::PlacementDecision& decision) {
    recipients_.workers.on_placement_decision(decision);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/, const wire::PlacementFailure& failure) {
    recipients_.relay.on_placement_failure(failure);
}

void PeerMessageDispatcher::on(const NodeName& from, const wire::DrainRequest& request) {
    recipients_.workers.on_drain_request(from, request);
}

void PeerMessageDispatcher::on(const NodeName& from, const wire::DrainResponse& response) {
    recipients_.autoscaler.on_drain_response(from, response);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/,
                               const wire::MachinesTerminatedNotification& notification) {
    recipients_.autoscaler.on_machines_terminated(notification);
    recipients_.workers.on_machines_terminated(notification);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/, const wire::ReservationUpdate& update) {
    recipients_.workers.on_reservation_update(update);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/, const wire::PreemptionRequest& request) {
    recipients_.workers.on_preemption_request(request);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/,
                               const wire::MachinesDiscoveredNotification& notification) {
    recipients_.workers.on_machines_discovered(notification);
}

void PeerMessageDispatcher::on(const NodeName& from, const wire::CommitRequest& request) {
    recipients_.committer.on_commit_request(from, request);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/, const wire::CommitResponse& response) {
    recipients_.committer.on_commit_response(response);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/,
                               const wire::CapacityFreedNotification& notification) {
    recipients_.relay.on_capacity_freed(notification);
}

void PeerMessageDispatcher::on(const NodeName& /*from*/, const wire::JobCancelledNotification& notification) {
    recipients_.state_cache.mark_cancelled(notification.job);
}

}  // namespace zincdyke
