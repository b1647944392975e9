/// Whether this controller should get users' requests.
#pragma once
#include "app/peer_registry.h"
#include "cluster/cluster_coordinator.h"
#include "jobs/jobs_api.h"
#include "store/store_client.h"

namespace zincdyke {

/// The answer to the load balancer's question at /healthz.
class HealthCheck {
  public:
    HealthCheck(const ClusterCoordinator& cluster, const JobsApi& jobs_api, StoreClient& store,
                const PeerRegistry& peers)
        : cluster_(cluster), jobs_api_(jobs_api), store_(store), peers_(peers) {}

    [[nodiscard]] bool is_healthy() const;

  private:
    const ClusterCoordinator& cluster_;
    const JobsApi& jobs_api_;
    StoreClient& store_;
    const PeerRegistry& peers_;
};

}  // namespace zincdyke
