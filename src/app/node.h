/// One controller, whole: its parts and how they are wired. The world is behind Env.
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

/// Owns all parts of a controller and passes on what they tell each other. Everything is called from the one
/// event loop. `env`, `settings` and `policy` must outlive it.
class Node : private StateObserver, private ClusterObserver {
  public:
    Node(Env& env, const Settings& settings, const Policy& policy);
    /// Begins to work; to be called once.
    void start();
    /// An HTTP request to this node; it is answered now or later.
    void on_request(const HttpRequest& request, const Reply& reply) { router_.route(request, reply); }
    /// A message from another controller.
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
    void on_state_read(SteadyTime sent) override { cancellation_watermark_.on_state_read(sent); }

    // In the order in which they depend on each other.
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
