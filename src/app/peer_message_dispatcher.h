/// Which part of a controller takes a message from another one.
#pragma once
#include "app/peer_registry.h"
#include "autoscaler/autoscaler.h"
#include "cluster/cancellation_watermark.h"
#include "jobs/placement_gatherer.h"
#include "jobs/relay.h"
#include "jobs/task_committer.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"
#include "workers/worker_manager.h"

namespace zincdyke {

/// Hands each message to the parts that it is for. Called from the event loop, with messages of peers and of
/// this node to itself alike.
class PeerMessageDispatcher {
  public:
    /// The parts that take messages. All must outlive the dispatcher.
    struct Recipients {
        PeerRegistry& peers;
        StateCache& state_cache;
        CancellationWatermark& cancellation_watermark;
        TaskCommitter& committer;
        WorkerManager& workers;
        Relay& relay;
        PlacementGatherer& gatherer;
        Autoscaler& autoscaler;
    };
    explicit PeerMessageDispatcher(const Recipients& recipients) : to_(recipients) {}

    void dispatch(const NodeName& from, const wire::PeerMessage& message);

  private:
    static void on(const NodeName& from, const wire::Hello& hello);
    void on(const NodeName& from, const wire::PeerHeartbeat& heartbeat);
    void on(const NodeName& from, const wire::PlacementRequest& request);
    void on(const NodeName& from, const wire::PlacementResponse& response);
    void on(const NodeName& from, const wire::PlacementDecision& decision);
    void on(const NodeName& from, const wire::PlacementFailure& failure);
    void on(const NodeName& from, const wire::DrainRequest& request);
    void on(const NodeName& from, const wire::DrainResponse& response);
    void on(const NodeName& from, const wire::MachinesTerminatedNotification& notification);
    void on(const NodeName& from, const wire::ReservationUpdate& update);
    void on(const NodeName& from, const wire::PreemptionRequest& request);
    void on(const NodeName& from, const wire::MachinesDiscoveredNotification& notification);
    void on(const NodeName& from, const wire::CommitRequest& request);
    void on(const NodeName& from, const wire::CommitResponse& response);
    void on(const NodeName& from, const wire::CapacityFreedNotification& notification);
    void on(const NodeName& from, const wire::JobCancelledNotification& notification);

    Recipients to_;
};

}  // namespace zincdyke
