// Relay and gatherer: sends the waiting tasks of this node's jobs to all scorers, and picks among their
// offers.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <unordered_set>
#include <vector>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "jobs/restart_backoff.h"
#include "jobs/task_committer.h"
#include "sched/logic.h"
#include "sched/placement_constraints.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke {

class Relay {
  public:
    Relay(Env& env, const Settings& settings, StoreClient& store, StateCache& model,
          ClusterCoordinator& cluster, TaskCommitter& ledger, PeerChannel& peers);
    void start();
    void on_job_changed(const JobId& id);
    void on_placement_response(const wire::PlacementResponse& m);
    void on_placement_failure(const wire::PlacementFailure& m);
    void on_capacity_freed(const wire::CapacityFreedNotification& m);
    struct Counts {
        std::uint64_t rounds = 0, decided = 0, decide_ms = 0, unplaced = 0;
    };
    const Counts& counts() const { return counts_; }
    // The jobs that fit their team's guarantee together with the team's earlier unfinished ones.
    static std::unordered_set<const Job*> within_guarantee(const StateCache& model);

  private:
    struct Waiting {
        std::map<TaskIndex, SteadyTime> asked;  // in a round, or said yes to and not yet seen placed
        SteadyTime not_before{};
        SteadyTime stuck_since{};  // tasks found no room since then
        SteadyTime handed_over{};
        RestartBackoff restarts;  // of a service's replicas
    };
    struct Gathering {
        JobId job;
        std::vector<TaskIndex> tasks;
        bool whole = false;
        std::vector<sched::ScoredOffer> offers;
        std::set<NodeName> answered;
        std::size_t expected = 0;
        Env::TimerId timer = 0;
        bool decided = false;
        SteadyTime since{};
    };
    void tick();
    void wake();
    void plan();
    void note_placed(const Job& j, Waiting& w) const;
    bool ask(const Job& j, Waiting& w);
    bool hand_over(const Job& j, Waiting& w);
    void decide(const wire::RoundId& id);
    void tidy();
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    TaskCommitter& committer_;
    PeerChannel& peers_;
    std::map<JobId, Waiting> waiting_;
    std::map<wire::RoundId, Gathering> rounds_;
    std::uint64_t next_round_ = 0;
    // Jobs of one kind find room on the same machines. Their amounts vary from job to job, and are compared
    // apart: with the amounts in the key every waiting job of a burst asked anew, and the messages took the
    // controllers' processors.
    struct JobKind {
        std::string job_class;
        sched::PlacementConstraints constraints;
        auto operator<=>(const JobKind&) const = default;
    };
    static JobKind kind_of(const Job& j);
    // What found no room lately: jobs of that kind that need as much or more are not asked for until then.
    struct Full {
        Resources need;
        std::optional<std::vector<std::string>> types;
        SteadyTime until{};
    };
    std::map<JobKind, Full> no_room_;
    // When the next job of a kind may ask. One round at a time shows whether there is room at all: all
    // waiting jobs of a burst asking at once took the whole share of the controllers' processors.
    std::map<JobKind, SteadyTime> kind_next_;
    bool woken_ = false;
    SteadyTime planned_{};
    Counts counts_;
};

}  // namespace zincdyke
