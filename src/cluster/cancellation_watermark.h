/// Up to when this controller knows every cancellation, and so may renew workers' leases.
#pragma once
#include <cstdint>
#include <map>

#include "base/env.h"
#include "base/settings.h"
#include "base/types.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Proves that a cancelled job's tasks are gone within `cancel_s` of when a user was told of the
/// cancellation, also where commands to stop them are lost (docs/design.md, "Cancellations").
///
/// The watermark, `time()`, is a moment of this node's steady clock: every cancellation that any controller
/// told a user of before it is known here. Every renewal of a worker's lease carries the command to stop what
/// is known to be cancelled, and a worker whose lease ends kills its tasks. Suppose that a cancellation was
/// told at C, and the last renewal that reached the worker did not know of it. Then the watermark was no
/// later than C when that renewal was given. It is given only before `time() + renewal_window()`, so before C
/// + renewal_window(), and the lease ends `lease_s` later. The window is what of `cancel_s` remains beside
/// `lease_s` and the drift of clocks: so the task is gone before C + `cancel_s`.
///
/// Two things advance the watermark:
/// - Reading: what the store was asked at T, and is in the state cache, holds all that was committed by T; a
///   cancellation is committed before anyone is told of it.
/// - Acknowledgements, while the store answers nobody. Each peer heartbeat carries one
///   (`wire::CancellationAck`): the sender's clock; the newest such stamp that it has had from the receiver,
///   echoed; and, while either of the two lags, all unfinished jobs that the sender knows to be cancelled,
///   which are all that it may have told of. Once every other controller has echoed a stamp of T or later,
///   the watermark is T. Only a node's own stamps are compared with its own clock; an acknowledgement held up
///   for minutes echoes a stamp that old.
///
/// A controller that started anew does not know what its earlier process told. So a process's
/// acknowledgements count only once the watermark has passed the moment at which that process was first heard
/// of; until then only reading advances it.
///
/// Never goes back. Runs on the event loop; tests/cancellation_test.cpp has outages with and without a
/// missing peer.
class CancellationWatermark {
  public:
    /// The references must outlive this object. The cache is told of cancellations that peers name.
    CancellationWatermark(Env& env, const Settings& settings, StateCache& state_cache);

    /// The store was asked at `sent`, and all that it answered is in the state cache.
    void on_state_read(SteadyTime sent);
    /// What the next heartbeat to a peer is to carry.
    [[nodiscard]] wire::CancellationAck acknowledgement_for(const NodeName& peer) const;
    /// What a peer's heartbeat carried.
    void on_acknowledgement(const NodeName& from, const wire::CancellationAck& ack);

    /// An answer to a heartbeat may renew the worker's lease: now is before `time() + renewal_window()`, and
    /// the store has been read once.
    [[nodiscard]] bool may_renew_leases() const;
    /// The watermark has not advanced for 4 s: peers should name the cancellations they know.
    [[nodiscard]] bool is_lagging() const;
    /// The watermark; 0 before the store was first read.
    [[nodiscard]] SteadyTime time() const { return watermark_; }
    /// For how long after the watermark leases are renewed; 3 s at the least.
    [[nodiscard]] Duration renewal_window() const { return renewal_window_; }

  private:
    /// What this node knows of a peer's present process.
    struct Peer {
        std::uint64_t process_epoch = 0;  // random, new for each process
        SteadyTime first_heard{};         // the process began by then
        SteadyTime acknowledged_until{};  // all that it told its users before this
                                          // is known here
        std::uint64_t newest_stamp = 0;   // of the peer's clock, to be echoed
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
