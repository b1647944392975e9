/// Leadership of shards: which shards this controller leads, and under which terms.
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

/// Claims shards for this controller and transfers the leadership of shards to other controllers.
///
/// The key-value store has one record per shard, which contains the name of the shard's leader; the record's
/// version is the leader's term. Each shard has a home controller, which leads the shard while it is alive.
/// Otherwise a live controller picked by hash leads the shard.
class ShardLeadership {
  public:
    /// All arguments passed by reference must outlive the ShardLeadership. `on_claimed` is called on the
    /// event loop after a claim has been committed, and must call `announce_changes`.
    ShardLeadership(Env& env, const Settings& settings, StoreClient& store, const StateCache& state_cache,
                    const Membership& membership, ClusterObserver& observer,
                    std::function<void()> on_claimed);

    /// Claims all shards that this controller should lead and does not lead yet. Must be called periodically
    /// while the state cache is up to date and the session is open. `incarnation` identifies this process in
    /// the leader records.
    void claim_shards(Revision incarnation);
    /// Writes the name of a live controller other than this one into the shard's leader record, whereupon
    /// that controller claims the shard under its own term. Does nothing if no other controller is alive or a
    /// write of the record is in flight. Must only be called while the state cache is up to date.
    void transfer_leadership(std::uint32_t shard, Revision incarnation);
    /// Notifies the observer of each shard that this controller has started to lead since the last call. Must
    /// be called after changes of the state cache.
    void announce_changes();
    /// Returns this controller's term as leader of the shard, or nothing if it does not lead the shard
    /// according to the state cache.
    [[nodiscard]] std::optional<Term> term(std::uint32_t shard) const;

  private:
    enum class RecordWrite : std::uint8_t { none, claiming, transferring };
    /// State of one shard that only this process keeps, in addition to the leader record in the key-value
    /// store.
    struct LocalState {
        std::optional<Term> claimed_term;  // term of this process's latest successful claim
        // Time at which this process transferred the shard's leadership to another controller; not set if
        // this controller may claim the shard.
        std::optional<SteadyTime> transferred_at;
        RecordWrite record_write = RecordWrite::none;
        bool is_announced = false;
    };
    void expire_transfer(std::uint32_t shard);
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
    std::vector<LocalState> shard_states_;  // indexed by shard number
};

}  // namespace zincdyke
