/// The periodic heartbeat from this controller to the others.
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

/// Tells all peers, twice a second, whether this node reaches the key-value store, what it has to commit and
/// which cancellations it knows; and the autoscaler's leader, once a second, what each machine does.
class PeerHeartbeatSender {
  public:
    /// The parts of the controller that a heartbeat tells of. All must outlive the sender.
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
    /// Sends the first heartbeat at once.
    void start();

  private:
    void send_heartbeat();
    void send_acknowledgements(wire::PeerHeartbeat heartbeat);
    void send_machine_statuses(wire::PeerHeartbeat heartbeat, bool to_all);

    Env& env_;
    const Settings& settings_;
    PeerRegistry& peers_;
    Sources sources_;
    std::uint64_t sent_ = 0;
};

}  // namespace zincdyke
