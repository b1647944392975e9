// The users' interface: submissions, polls, cancellations.
#pragma once
#include <list>
#include <string>
#include <unordered_map>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

// Final states already read from the state service, most recently used first. They never change.
class FinalCache {
  public:
    explicit FinalCache(std::size_t most) : most_(most) {}
    struct Entry {
        wire::Phase phase = wire::Phase::done;
        std::int64_t tasks = 0;
    };
    const Entry* find(const JobId& id);
    void put(const JobId& id, Entry e);

  private:
    std::size_t most_;
    std::list<std::pair<JobId, Entry>> order_;
    std::unordered_map<JobId, std::list<std::pair<JobId, Entry>>::iterator> at_;
};

class JobsApi {
  public:
    JobsApi(Env& env, const Settings& settings, StoreClient& store, StateCache& model,
            ClusterCoordinator& cluster, PeerChannel& peers);
    // Handles paths below /api/jobs; false when the path is none of them.
    bool handle(const HttpRequest& req, const Reply& reply);
    bool ready() const;

  private:
    struct Found {
        enum class What : std::uint8_t { live, final_state, none, trouble } what = What::trouble;
        Job job;  // live; its pages are not filled in
        FinalCache::Entry end;
    };
    using OnFound = std::function<void(Found)>;
    void look_up(const JobId& id, const OnFound& done);
    void look_up_final(const JobId& id, const OnFound& done);
    void poll(const JobId& id, Reply reply);
    void submit(const HttpRequest& req, const Reply& reply);
    void refuse(const JobId& id, const HttpResponse& refusal, const Reply& reply);
    void accept(const std::shared_ptr<Job>& j, SteadyTime until, const Reply& reply);
    void cancel(const JobId& id, SteadyTime until, const Reply& reply);
    HttpResponse answer(const JobId& id, const Found& f, int live_status) const;
    std::string never_runs(const wire::JobSpec& s) const;
    static HttpResponse later(int seconds);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    PeerChannel& peers_;
    FinalCache finals_;
    std::size_t open_ = 0;
};

}  // namespace zincdyke
