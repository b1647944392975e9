/// Periodic heartbeats from this controller to the other controllers.
#pragma once
#include <cstdint>
#include <vector>

#include "app/peer_registry.h"
#include "autoscaler/autoscaler.h"
#include "base/env.h"
#include "base/settings.h"
#include "cluster/cancellation_watermark.h"
#include "cluster/cluster_coordinator.h"
#include "jobs/task_committer.h"
#include "store/state_cache.h"
#include "store/store_client.h"
#include "workers/worker_manager.h"

namespace zincdyke {

/// Sends heartbeats to all other controllers: twice a second with the reachability of the key-value store,
/// the write demand and the cancellation ack, and every 10 s also with the statuses of this node's machines.
/// The autoscaler's leader receives the machine statuses once a second.
class PeerHeartbeatSender {
  public:
    /// Components of the controller that provide the contents of a heartbeat. All must outlive the sender.
    struct Sources {
        const StoreClient& store;
        const StateCache& state_cache;
        ClusterCoordinator& cluster;
        CancellationWatermark& cancellation_watermark;
        TaskCommitter& committer;
        WorkerManager& workers;
        Autoscaler& autoscaler;
    };
    PeerHeartbeatSender(Env& env, const Settings& settings, PeerRegistry& peers, const Sources& sources);
    /// Sends the first heartbeat immediately and further ones periodically. Must be called exactly once.
    void start();

  private:
    void send_heartbeat();
    void send_acknowledgements(wire::PeerHeartbeat heartbeat);
    void send_machine_statuses(wire::PeerHeartbeat heartbeat, bool to_all);

    Env& env_;
    const Settings& settings_;
    PeerRegistry& peers_;
    Sources heartbeat_sources_;
    std::uint64_t sent_heartbeats_ = 0;
};

}  // namespace zincdyke
