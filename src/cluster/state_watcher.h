/// Keeps the state cache synchronized with the key-value store.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cache_freshness.h"
#include "cluster/cluster_observer.h"
#include "cluster/membership.h"
#include "cluster/pending_reads.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Loads all records into the state cache with a list request, then follows changes with one watch at a time,
/// and tracks whether the state cache is up to date.
class StateWatcher {
  public:
    /// All arguments passed by reference must outlive the StateWatcher. `on_loaded` is called on the event
    /// loop each time a complete list has been applied to the state cache and the watch has been started.
    StateWatcher(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                 const Membership& membership, ClusterObserver& observer, std::function<void()> on_loaded);

    /// Starts loading the state cache. Must be called exactly once.
    void start();
    /// Marks the state cache as stale until the key-value store has been read again.
    void invalidate() { freshness_.on_invalidated(); }
    /// See ClusterCoordinator::await_fresh_state.
    void await_fresh_state(PendingReads::Callback done);

    /// Returns whether the key-value store has been read completely at least once.
    [[nodiscard]] bool is_loaded() const { return freshness_.is_loaded(); }
    /// See ClusterCoordinator::is_up_to_date.
    [[nodiscard]] bool is_up_to_date() const;

  private:
    void detect_stalls();
    void load_all_records();
    void load_records_page(const std::string& after, Revision first_page_revision, SteadyTime sent_at);
    void on_list_read(Revision first_page_revision, SteadyTime sent_at);
    void reload();
    void catch_up();
    void start_watch();
    void on_watch_response(const ListResult& result, SteadyTime sent_at, bool has_reads,
                           std::uint64_t reads_end);
    void schedule_watch(Duration delay);
    void apply_response(const ListResult& result, SteadyTime sent_at);
    void schedule_read();
    void send_read();
    [[nodiscard]] Duration watch_pause() const;

    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    const Membership& membership_;
    ClusterObserver& observer_;
    const std::function<void()> on_loaded_;
    CacheFreshness freshness_;
    SteadyTime last_stall_check_{};
    std::vector<KeyUpdate> list_items_;  // records received so far for the list request in progress
    enum class WatchPhase : std::uint8_t { pausing, awaiting_response };
    WatchPhase watch_phase_ = WatchPhase::pausing;
    std::uint64_t watch_generation_ = 0;  // incremented to ignore responses and timers of earlier watches
    int watch_failures_ = 0;              // consecutive failures of the watch while the store is reachable
    PendingReads reads_;
    Env::TimerId read_timer_ = 0;  // timer of the next scheduled read; 0 if none is scheduled
    SteadyTime last_read_sent_{};
};

}  // namespace zincdyke
