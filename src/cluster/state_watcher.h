/// Keeps the state cache in step with the key-value store.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_observer.h"
#include "cluster/membership.h"
#include "cluster/pending_reads.h"
#include "cluster/view_state.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Reads all records once by a list, follows them by one watch, and knows whether the cache may be relied on.
class StateWatcher {
  public:
    /// The references must outlive this object. `on_loaded` is called from the event loop after each list was
    /// read in full and the watch goes on from there.
    StateWatcher(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                 const Membership& membership, ClusterObserver& observer, std::function<void()> on_loaded);

    /// Begins to read; to be called once.
    void start();
    /// Nothing is decided on what is known until the store has been read again.
    void invalidate() { view_.on_invalidated(); }
    /// See ClusterCoordinator::await_fresh_state.
    void await_fresh_state(PendingReads::Callback done);

    [[nodiscard]] bool is_loaded() const { return view_.is_loaded(); }
    /// See ClusterCoordinator::is_up_to_date.
    [[nodiscard]] bool is_up_to_date() const;

  private:
    void detect_stalls();
    void load();
    void load_page(const std::string& after, Revision from, SteadyTime asked_at);
    void on_list_read(Revision from, SteadyTime asked_at);
    void reload();
    void watch();
    void on_watch_answered(const ListResult& result, SteadyTime sent, bool has_reads,
                           std::uint64_t reads_end);
    void watch_after(Duration delay);
    void apply(const ListResult& news, SteadyTime sent);
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
    ViewState view_;
    SteadyTime last_awake_{};      // the process ran its timers then
    std::vector<KeyUpdate> list_;  // read so far by the list under way
    enum class WatchPhase : std::uint8_t { pausing, awaiting_answer };
    WatchPhase watch_phase_ = WatchPhase::pausing;
    std::uint64_t watch_generation_ = 0;  // answers and timers of earlier ones are ignored
    int watch_failures_ = 0;              // on end, while the store answers others
    PendingReads reads_;
    Env::TimerId read_timer_ = 0;  // 0: none
    SteadyTime last_read_{};
};

}  // namespace zincdyke
