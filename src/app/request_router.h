/// Which part of a controller answers an HTTP request.
#pragma once
#include "app/health_check.h"
#include "app/status_report.h"
#include "base/env.h"
#include "jobs/jobs_api.h"
#include "workers/worker_manager.h"

namespace zincdyke {

/// Routes the requests of users, workers, operators and the load balancer. Each gets exactly one answer, now
/// or later.
class RequestRouter {
  public:
    RequestRouter(JobsApi& jobs_api, WorkerManager& workers, const HealthCheck& health_check,
                  const StatusSources& status_sources)
        : jobs_api_(jobs_api),
          workers_(workers),
          health_check_(health_check),
          status_sources_(status_sources) {}

    void route(const HttpRequest& request, const Reply& reply);

  private:
    void handle_heartbeat(const HttpRequest& request, const Reply& reply);

    JobsApi& jobs_api_;
    WorkerManager& workers_;
    const HealthCheck& health_check_;
    StatusSources status_sources_;
};

}  // namespace zincdyke
