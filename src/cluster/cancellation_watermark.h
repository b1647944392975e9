// The cancellation horizon: the time up to which this node surely knows every cancellation that any user may
// have been told of. A lease is renewed only for as long as a task of a job cancelled after that time would
// still be gone within `cancel_s` (docs/design.md, "Cancellations").
#pragma once
#include <map>

#include "base/env.h"
#include "base/settings.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke {

class CancellationWatermark {
  public:
    CancellationWatermark(Env& env, const Settings& settings, StateCache& model);
    // The state service was asked at `sent`, and what it answered is in the model: complete up to `sent`.
    void on_state_read(SteadyTime sent);
    // What goes to a peer with each beat, and what comes with its beats.
    wire::CancellationAck acknowledgement_for(const NodeName& peer);
    void on_acknowledgement(const NodeName& from, const wire::CancellationAck& v);
    // An answer to a check-in may renew the worker's lease.
    bool may_renew_leases() const { return known_ != SteadyTime{} && env_.now() < known_ + renewal_window_; }
    // Nothing was learnt for a while: peers should tell what they know.
    bool is_lagging() const;
    SteadyTime time() const { return known_; }
    // For how long leases are renewed after the last that was learnt.
    Duration renewal_window() const { return renewal_window_; }

  private:
    struct Peer {
        std::uint64_t process_epoch =
            0;               // of the process; what an earlier one told its users this one does not know
        SteadyTime since{};  // first heard of in that life: it began by then
        SteadyTime told{};   // all that it told its users up to here is known
        std::uint64_t latest = 0;  // its newest stamp
        bool is_lagging = false;
    };
    void review();
    Env& env_;
    const Settings& settings_;
    StateCache& state_cache_;
    const std::uint64_t process_epoch_;
    const Duration renewal_window_;
    SteadyTime known_{};
    std::map<NodeName, Peer> peers_;
};

}  // namespace zincdyke
