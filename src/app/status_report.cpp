#include "app/status_report.h"

#include <utility>

namespace zincdyke {
namespace {

Json shard_list(const StateCache& state_cache) {
    Json list = Json::array();
    for (const Shard& shard : state_cache.shards())
        list.push_back({{"leader", shard.leader.value()}, {"term", shard.term.value()}});
    return list;
}

Json format_state(const StateCache& state_cache, const FormatLevel& format_level) {
    Json waiting_for = Json::array();
    for (const auto& node : format_level.unregistered_nodes()) waiting_for.push_back(node.value());
    return {{"level", state_cache.fleet_format_level()},
            {"known", FormatLevel::highest_supported},
            {"waiting_for", std::move(waiting_for)}};
}

Json commit_counts(const TaskCommitter& committer) {
    const auto& counts = committer.counts();
    return {{"commits", counts.sent_transactions},       {"pages", counts.written_pages},
            {"starts", counts.committed_task_starts},    {"ends", counts.committed_task_ends},
            {"conflicts", counts.transaction_conflicts}, {"forwarded", counts.forwarded_operations},
            {"reclaimed", counts.reclaimed_operations}};
}

Json store_counts(const StoreClient& store) {
    const auto& counts = store.counts();
    // "order" lists the priority classes to which the entries of "requests" and "writes" belong, in order.
    return {{"order", {"lease", "report", "decision", "user"}},
            {"requests", counts.sent_requests},
            {"writes", counts.sent_writes},
            {"watches", counts.watch_requests},
            {"watch_bytes", counts.watch_response_bytes},
            {"rate_limited", counts.rate_limited_requests},
            {"load_shed", counts.unsent_requests}};
}

Json worker_counts(const WorkerManager& workers) {
    const auto& counts = workers.counts();
    return {{"heartbeats", counts.heartbeats},
            {"leases_not_renewed", counts.leases_not_renewed},
            {"stale_heartbeats", counts.stale_heartbeats},
            {"placement_requests", counts.placement_requests},
            {"offers", counts.offers},
            {"capacity_computations", counts.capacity_computations},
            {"heartbeat_requests", counts.heartbeat_requests}};
}

Json round_counts(const Relay& relay, const PlacementGatherer& gatherer) {
    return {{"started", relay.counts().rounds_started},
            {"decided", gatherer.counts().rounds_decided},
            {"decision_ms", gatherer.counts().total_decision_ms},
            {"failed_placements", relay.counts().failed_placements}};
}

Json start_time_counts(const StartDurationHistograms& times) {
    Json by_class = Json::object();
    for (const auto& [job_class, steps] : times.by_class())
        for (std::size_t i = 0; i < steps.size(); ++i)
            by_class[job_class][step_name(static_cast<StartStep>(i))] = steps[i];
    return {{"bounds_s", StartDurationHistograms::bucket_bounds_s}, {"by_class", std::move(by_class)}};
}

}  // namespace

std::string status_report(const StatusSources& sources) {
    return Json{{"node", sources.settings.node.value()},
                {"state_loaded", sources.cluster.is_synced()},
                {"store_reachable", sources.store.reachable()},
                {"autoscaler_leader", sources.state_cache.autoscaler_leader().value()},
                {"revision", sources.state_cache.applied_revision.value()},
                {"jobs", sources.state_cache.jobs().size()},
                {"format", format_state(sources.state_cache, sources.format_level)},
                {"commit_queue_length", sources.committer.queue_length()},
                {"commits", commit_counts(sources.committer)},
                {"store_requests", store_counts(sources.store)},
                {"workers", worker_counts(sources.workers)},
                {"placement_rounds", round_counts(sources.relay, sources.gatherer)},
                {"start_times", start_time_counts(sources.workers.start_durations())},
                {"shards", shard_list(sources.state_cache)}}
        .dump();
}

}  // namespace zincdyke
