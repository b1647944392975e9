/// Tracks how recent this controller's knowledge of cancelled jobs is, which decides whether the controller
/// may renew the leases of workers.
#pragma once
#include <cstdint>
#include <map>

#include "base/env.h"
#include "base/settings.h"
#include "base/types.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Ensures that the tasks of a cancelled job stop within `cancel_s` seconds after a controller confirmed the
/// cancellation to a user, even if the stop commands are lost (docs/design.md, "Cancellations").
///
/// The watermark is a time on this controller's steady clock. This controller knows every cancellation that
/// any controller confirmed before the watermark. The watermark never moves backwards.
class CancellationWatermark {
  public:
    /// All constructor arguments must outlive the CancellationWatermark. Cancellations that peers report are
    /// marked in `state_cache`.
    CancellationWatermark(Env& env, const Settings& settings, StateCache& state_cache);

    /// Advances the watermark to `sent_at`, the time at which a read of the key-value store was sent whose
    /// result is now in the state cache. The result contains every cancellation confirmed before `sent_at`,
    /// because a cancellation is committed to the store before a user receives the confirmation.
    void on_state_read(SteadyTime sent_at);
    /// Returns the acknowledgement to include in the next heartbeat to `peer`. It echoes the latest timestamp
    /// received from that peer. While either controller's watermark lags, the acknowledgement also lists all
    /// unfinished jobs that this controller knows to be cancelled.
    [[nodiscard]] wire::CancellationAck acknowledgement_for(const NodeName& peer) const;
    /// Processes the acknowledgement in a heartbeat from the controller `from`. Once every other controller
    /// has echoed a timestamp of T or later, the watermark advances to T, even if the key-value store is
    /// unreachable. Only this controller's own timestamps are compared with its clock, so a delayed
    /// acknowledgement is harmless.
    void on_acknowledgement(const NodeName& from, const wire::CancellationAck& ack);

    /// Returns whether a heartbeat response may renew a worker's lease: the key-value store has been read at
    /// least once, and the current time is before `watermark() + renewal_window()`. Every response that
    /// renews a lease must also stop the worker's tasks whose jobs are known to be cancelled.
    [[nodiscard]] bool may_renew_leases() const;
    /// Returns whether the cancellation watermark is more than 4 s old. While the watermark lags, the
    /// acknowledgements that peers send to this controller list the cancellations that the peers know.
    [[nodiscard]] bool is_lagging() const;
    /// Returns the cancellation watermark; the zero time before the first read of the key-value store.
    [[nodiscard]] SteadyTime watermark() const { return watermark_; }
    /// Returns how long after the watermark worker leases may still be renewed. A worker renewed at the end
    /// of this window loses its lease, and kills its tasks, before `cancel_s` has passed since the watermark.
    /// The window is at least 3 s.
    [[nodiscard]] Duration renewal_window() const { return renewal_window_; }

  private:
    /// The state of one peer controller, reset when the peer's process restarts. A restarted process does not
    /// know which cancellations its predecessor confirmed, so its acknowledgements count only after the
    /// watermark has passed `first_received_at`.
    struct Peer {
        std::uint64_t process_epoch = 0;  // random number that the peer's process chose at startup
        SteadyTime first_received_at{};   // arrival time of the first acknowledgement from this process
        SteadyTime acknowledged_until{};  // time up to which all cancellations the peer confirmed are known
        std::uint64_t latest_peer_timestamp = 0;  // latest time on the peer's clock received from the peer
        bool is_lagging = false;
    };
    void advance_by_acknowledgements();
    Env& env_;
    const Settings& settings_;
    StateCache& state_cache_;
    const std::uint64_t process_epoch_;
    const Duration renewal_window_;
    SteadyTime watermark_{};
    std::map<NodeName, Peer> peers_;
};

}  // namespace zincdyke
