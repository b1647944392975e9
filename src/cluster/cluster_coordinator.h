// Membership, part map, terms and the supplier's election, all through the state service.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/autoscaler_election.h"
#include "cluster/cluster_observer.h"
#include "cluster/job_roles.h"
#include "cluster/membership.h"
#include "cluster/write_budget_share.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

class ClusterCoordinator {
  public:
    ClusterCoordinator(Env& env, const Settings& settings, StoreClient& store, StateCache& model,
                       ClusterObserver& observer);
    void start();
    /// To be told by the state cache.
    void on_membership_changed();

    // The model has been read in full and the watch goes on from there.
    bool is_synced() const { return is_synced_; }
    // The state service answers, and what it holds was read since it last went away: nothing is decided on
    // the view from before a cut. Back from one, a supplier took the machines that others had long taken over
    // for silent ones. Nor is anything on the view from before this process stood still: its own timer,
    // overdue, tells so before it runs.
    bool is_up_to_date() const {
        return is_synced_ && !stale_ && store_.reachable() && env_.now() - awake_ < stall_limit;
    }
    // Term of a part that this process owns, as far as it knows.
    std::optional<Term> term(std::uint32_t part) const;
    std::optional<Term> leader_term(const MachineId& m) const { return term(state_cache_.shard_of(m)); }
    // The node that a worker should report to.
    std::optional<NodeName> leader_of(const MachineId& m) const;
    bool is_autoscaler_leader() const;  // and in touch
    std::vector<NodeName> live_nodes() const { return membership_.live_nodes(); }
    bool is_live(const NodeName& n) const { return membership_.is_live(n); }
    NodeName relay_of(const Job& j) const { return job_roles_.relay_of(j); }
    NodeName committer_of(const Job& j) const { return job_roles_.committer_of(j); }
    void update_write_share(double mine, const std::map<NodeName, double>& heard) {
        write_budget_share_.update(mine, heard);
    }
    // Unique to this process among all that ever ran: the revision of its first session.
    Revision incarnation() const { return incarnation_; }

    // Gives a part to another live controller: this one hears none of its workers. Taken back at the earliest
    // when a few leases have passed, or when the other is gone; a process that starts anew knows nothing of
    // it.
    void transfer_leadership(std::uint32_t part);

    // Calls back, from the loop, when the model holds all that was committed before this call: one read of
    // the state service answers all who asked before it was sent. False when none was answered in time.
    void read_through(std::function<void(bool fresh)> done);

  private:
    void acquire_session();
    void request_grant();
    void register_node();
    void renew();
    void load(const std::string& after, Revision from, SteadyTime begun);
    void watch();
    void take_news(const ListResult& news, SteadyTime sent);
    void watch_presence();
    void read_soon();
    void answer_reads(std::uint64_t before);
    Duration watch_pause() const;
    void reload();
    void review();
    void claim(std::uint32_t part);
    void write_owner(std::uint32_t part, const NodeName& owner, std::function<void(CommitResult)> done);
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterObserver& observer_;
    std::vector<NodeName> all_;
    Membership membership_;
    JobRoles job_roles_;
    WriteBudgetShare write_budget_share_;
    AutoscalerElection autoscaler_election_;
    std::uint64_t grant_ = 0;
    bool registered_ = false, registering_ = false, acquiring_ = false, renewing_ = false, loading_ = false,
         is_synced_ = false;
    Revision incarnation_;
    static constexpr Duration stall_limit = std::chrono::seconds(1);
    SteadyTime awake_{};
    std::uint64_t watch_run_ = 0;
    int watch_fails_ = 0;
    bool stale_ = false, watch_now_ = false, watch_open_ = false, read_armed_ = false;
    struct Read {
        std::uint64_t number = 0;
        SteadyTime asked;
        std::function<void(bool)> done;
    };
    std::deque<Read> reads_;  // oldest first
    std::uint64_t next_read_ = 0;
    SteadyTime last_read_{};
    std::map<std::uint32_t, Term> claims_;  // won by this process
    std::set<std::uint32_t> claiming_;
    std::map<std::uint32_t, SteadyTime> handed_over_;
    std::set<std::uint32_t> announced_;
    std::vector<KeyUpdate> pending_;  // read so far by the load under way
    Duration life_;
};

}  // namespace zincdyke
