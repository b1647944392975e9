/// Which shards this controller leads.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_observer.h"
#include "cluster/membership.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Claims shards for this controller and gives them away.
///
/// One record of the store names each shard's leader; its version is the leader's term. Each shard has a home
/// controller, which leads it while it is alive; otherwise it goes to a live one picked by hash.
class ShardLeadership {
  public:
    /// The references must outlive this object. `on_claimed` is called from the event loop when a claim was
    /// committed; it is to end in `announce_changes`.
    ShardLeadership(Env& env, const Settings& settings, StoreClient& store, const StateCache& state_cache,
                    const Membership& membership, ClusterObserver& observer,
                    std::function<void()> on_claimed);

    /// Claims what this controller ought to lead. To be called regularly, while the state cache is up to date
    /// and the session is open. `incarnation` is this process's: it goes into the records.
    void claim_shards(Revision incarnation);
    /// Names another live controller leader of the shard; does nothing if there is none. That one then claims
    /// the shard under a term of its own. To be called while the state cache is up to date.
    void transfer(std::uint32_t shard, Revision incarnation);
    /// The state cache may have changed: tells the observer of shards that this node leads since then.
    void announce_changes();
    /// This node's term of a shard that it leads, as far as it knows.
    [[nodiscard]] std::optional<Term> term(std::uint32_t shard) const;

  private:
    enum class RecordWrite : std::uint8_t { none, claiming, transferring };
    /// What this process knows of a shard beside the record.
    struct LocalState {
        std::optional<Term> claimed;               // by this process's newest successful claim
        std::optional<SteadyTime> transferred_at;  // while the shard is left to the one it was given to
        RecordWrite record_write = RecordWrite::none;
        bool is_announced = false;
    };
    void forget_old_transfer(std::uint32_t shard);
    [[nodiscard]] bool should_lead(std::uint32_t shard, const std::vector<NodeName>& live_nodes) const;
    [[nodiscard]] bool is_claim_awaiting_watch(std::uint32_t shard) const;
    void claim(std::uint32_t shard, Revision incarnation);
    void write_leader(std::uint32_t shard, const NodeName& leader, Revision incarnation,
                      std::function<void(CommitResult)> done);

    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    const StateCache& state_cache_;
    const Membership& membership_;
    ClusterObserver& observer_;
    const std::function<void()> on_claimed_;
    const std::vector<NodeName> all_nodes_;
    std::vector<LocalState> local_;  // by shard
};

}  // namespace zincdyke
