/// Health check for the load balancer.
#pragma once
#include "app/peer_registry.h"
#include "cluster/cluster_coordinator.h"
#include "jobs/jobs_api.h"
#include "store/store_client.h"

namespace zincdyke {

/// Determines the result of GET /healthz, by which the load balancer decides whether to send requests to this
/// controller.
class HealthCheck {
  public:
    HealthCheck(const ClusterCoordinator& cluster, const JobsApi& jobs_api, StoreClient& store,
                const PeerRegistry& peers)
        : cluster_(cluster), jobs_api_(jobs_api), store_(store), peers_(peers) {}

    /// Returns whether the load balancer should send requests to this controller. A controller that cannot
    /// reach the key-value store stays healthy if it cannot reach any other controller either.
    [[nodiscard]] bool is_healthy() const;

  private:
    const ClusterCoordinator& cluster_;
    const JobsApi& jobs_api_;
    StoreClient& store_;
    const PeerRegistry& peers_;
};

}  // namespace zincdyke
