/// A complete controller, independent of sockets and clocks, which Env provides.
#pragma once
#include "app/health_check.h"
#include "app/peer_heartbeat_sender.h"
#include "app/peer_message_dispatcher.h"
#include "app/peer_registry.h"
#include "app/request_router.h"
#include "autoscaler/autoscaler.h"
#include "base/env.h"
#include "base/settings.h"
#include "cloud/cloud_client.h"
#include "cluster/cancellation_watermark.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/cluster_observer.h"
#include "cluster/format_level.h"
#include "jobs/jobs_api.h"
#include "jobs/placement_gatherer.h"
#include "jobs/relay.h"
#include "jobs/task_committer.h"
#include "policy/policy.h"
#include "store/state_cache.h"
#include "store/state_observer.h"
#include "store/store_client.h"
#include "workers/worker_manager.h"

namespace zincdyke {

/// Owns all components of a controller and forwards events between them. All member functions must be called
/// on the event-loop thread. `env`, `settings` and `policy` must outlive the node.
class Node : private StateObserver, private ClusterObserver {
  public:
    Node(Env& env, const Settings& settings, const Policy& policy);
    /// Starts all components. Must be called exactly once.
    void start();
    /// Handles an HTTP request to this node. Calls `reply` exactly once, immediately or later from the event
    /// loop.
    void on_request(const HttpRequest& request, const Reply& reply) { router_.route(request, reply); }
    /// Handles a message from another controller or from this node itself.
    void on_peer(const NodeName& from, const wire::PeerMessage& message) {
        dispatcher_.dispatch(from, message);
    }

    [[nodiscard]] const StateCache& state_cache() const { return state_cache_; }
    [[nodiscard]] const ClusterCoordinator& cluster() const { return cluster_; }
    [[nodiscard]] const CancellationWatermark& cancellation_watermark() const {
        return cancellation_watermark_;
    }

  private:
    void on_job_changed(const JobId& id) override { relay_.on_job_changed(id); }
    void on_placement_changed(const MachineId& id) override { workers_.on_placement_changed(id); }
    void on_pages_resized(const JobId& id) override { committer_.on_pages_resized(id); }
    void on_job_cancelled(const JobId& id) override { workers_.on_job_cancelled(id); }
    void on_job_set_changed() override { workers_.on_jobs_changed(); }
    void on_membership_changed() override { cluster_.on_membership_changed(); }
    void on_leadership_acquired(std::uint32_t shard) override { workers_.on_leadership_acquired(shard); }
    void on_state_read(SteadyTime sent_at) override { cancellation_watermark_.on_state_read(sent_at); }

    // Members are constructed in this order; each component uses only components declared before it.
    PeerRegistry peers_;
    StateCache state_cache_;
    StoreClient store_;
    CloudClient cloud_;
    ClusterCoordinator cluster_;
    FormatLevel format_level_;
    CancellationWatermark cancellation_watermark_;
    TaskCommitter committer_;
    WorkerManager workers_;
    JobsApi jobs_api_;
    Relay relay_;
    PlacementGatherer gatherer_;
    Autoscaler autoscaler_;
    PeerHeartbeatSender heartbeat_sender_;
    PeerMessageDispatcher dispatcher_;
    HealthCheck health_check_;
    RequestRouter router_;
};

}  // namespace zincdyke
