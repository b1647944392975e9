/// Status report for operators, served at /internal/status and described in docs/operations.md.
#pragma once
#include <string>

#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/format_level.h"
#include "jobs/placement_gatherer.h"
#include "jobs/relay.h"
#include "jobs/task_committer.h"
#include "store/state_cache.h"
#include "store/store_client.h"
#include "workers/worker_manager.h"

namespace zincdyke {

/// Components of a controller whose state the status report contains. All must outlive this struct.
struct StatusSources {
    const Settings& settings;
    const StoreClient& store;
    const StateCache& state_cache;
    const ClusterCoordinator& cluster;
    const FormatLevel& format_level;
    const TaskCommitter& committer;
    const WorkerManager& workers;
    const Relay& relay;
    const PlacementGatherer& gatherer;
};

/// Returns the status report as JSON text. Its counters start at 0 when the process starts.
[[nodiscard]] std::string status_report(const StatusSources& sources);

}  // namespace zincdyke
