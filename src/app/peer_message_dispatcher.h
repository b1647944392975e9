/// Dispatch of peer messages to the components of a controller.
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

/// Passes each peer message to the components that handle its type. Messages come from other controllers or
/// from this node itself.
class PeerMessageDispatcher {
  public:
    /// Components that handle peer messages. All must outlive the dispatcher.
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
    explicit PeerMessageDispatcher(const Recipients& recipients) : recipients_(recipients) {}

    /// Handles one message from the node `from`. Must be called on the event-loop thread.
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

    Recipients recipients_;
};

}  // namespace zincdyke
