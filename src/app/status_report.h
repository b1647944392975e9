/// What /internal/status tells the operators (docs/operations.md).
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

/// The parts of a controller that the report tells of.
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

/// The report as JSON text. Counters count from the start of the process.
[[nodiscard]] std::string status_report(const StatusSources& sources);

}  // namespace zincdyke
