// One controller, whole: its actors and how messages reach them. The world is behind Env.
#pragma once
#include <map>
#include <memory>

#include "autoscaler/autoscaler.h"
#include "base/env.h"
#include "base/settings.h"
#include "cloud/cloud.h"
#include "cluster/cancellation_watermark.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/format_level.h"
#include "jobs/jobs_api.h"
#include "jobs/relay.h"
#include "jobs/task_committer.h"
#include "policy/policy.h"
#include "store/state_cache.h"
#include "store/store_client.h"
#include "workers/worker_manager.h"

namespace zincdyke {

class Node : private PeerChannel, private StateObserver, private ClusterObserver {
  public:
    Node(Env& env, const Settings& settings, const Policy& policy);
    void start();
    void on_request(const HttpRequest& req, const Reply& reply);
    void on_peer(const NodeName& from, const wire::PeerMessage& m);
    const StateCache& state_cache() const { return state_cache_; }
    const ClusterCoordinator& cluster() const { return cluster_; }
    const CancellationWatermark& cancellation_watermark() const { return cancellation_watermark_; }

  private:
    void beat();
    void send(const NodeName& to, wire::PeerMessage m) override;
    bool is_reachable(const NodeName& peer) const override;
    std::vector<NodeName> reachable_nodes() const override;
    void on_job_changed(const JobId& id) override { relay_.on_job_changed(id); }
    void on_placement_changed(const MachineId& id) override { workers_.on_placement_changed(id); }
    void on_pages_resized(const JobId& id) override { committer_.on_pages_resized(id); }
    void on_job_cancelled(const JobId& id) override { workers_.on_job_cancelled(id); }
    void on_jobs_changed() override { workers_.on_jobs_changed(); }
    void on_membership_changed() override { cluster_.on_membership_changed(); }
    void on_leadership_acquired(std::uint32_t shard) override { workers_.on_leadership_acquired(shard); }
    void on_state_read(SteadyTime sent) override { cancellation_watermark_.on_state_read(sent); }
    bool healthy();
    std::string status();
    Env& env_;
    const Settings& settings_;
    struct Peer {
        SteadyTime heard{};
        bool store_reachable = false;
        double write_demand = 0;
    };
    std::map<NodeName, Peer> peers_;
    std::uint64_t beats_ = 0;
    StateCache state_cache_;
    StoreClient store_;
    CloudClient cloud_;
    ClusterCoordinator cluster_;
    FormatLevel format_level_;
    CancellationWatermark cancellation_watermark_;
    TaskCommitter committer_;
    WorkerManager workers_;
    JobsApi api_;
    Relay relay_;
    Autoscaler autoscaler_;
};

}  // namespace zincdyke
