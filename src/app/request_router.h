/// Routing of HTTP requests to the components of a controller.
#pragma once
#include "app/health_check.h"
#include "app/status_report.h"
#include "base/env.h"
#include "jobs/jobs_api.h"
#include "workers/worker_manager.h"

namespace zincdyke {

/// Routes HTTP requests of users, workers, operators and the load balancer by their path. The components
/// passed to the constructor must outlive the router.
class RequestRouter {
  public:
    RequestRouter(JobsApi& jobs_api, WorkerManager& workers, const HealthCheck& health_check,
                  const StatusSources& status_sources)
        : jobs_api_(jobs_api),
          workers_(workers),
          health_check_(health_check),
          status_sources_(status_sources) {}

    /// Handles one request. `reply` is called exactly once, immediately or later from the event loop.
    void route(const HttpRequest& request, const Reply& reply);

  private:
    void handle_heartbeat(const HttpRequest& request, const Reply& reply);

    JobsApi& jobs_api_;
    WorkerManager& workers_;
    const HealthCheck& health_check_;
    StatusSources status_sources_;
};

}  // namespace zincdyke
