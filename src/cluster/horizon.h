// The cancellation horizon: the time up to which this node surely knows every cancellation that any user may
// have been told of. A lease is renewed only for as long as a task of a job cancelled after that time would
// still be gone within `cancel_s` (docs/design.md, "Cancellations").
#pragma once
#include <map>

#include "base/env.h"
#include "base/settings.h"
#include "store/model.h"
#include "wire/peer.h"

namespace zd {

class Horizon {
  public:
    Horizon(Env& env, const Settings& settings, Model& model);
    // The state service was asked at `sent`, and what it answered is in the model: complete up to `sent`.
    void on_read(Mono sent);
    // What goes to a peer with each beat, and what comes with its beats.
    wire::Vouch vouch_for(const NodeName& peer);
    void on_vouch(const NodeName& from, const wire::Vouch& v);
    // An answer to a check-in may renew the worker's lease.
    bool may_renew() const { return known_ != Mono{} && env_.now() < known_ + slack_; }
    // Nothing was learnt for a while: peers should tell what they know.
    bool behind() const;
    Mono known() const { return known_; }
    // For how long leases are renewed after the last that was learnt.
    Duration slack() const { return slack_; }

  private:
    struct Peer {
        std::uint64_t life = 0;  // of the process; what an earlier one told its users this one does not know
        Mono since{};            // first heard of in that life: it began by then
        Mono told{};             // all that it told its users up to here is known
        std::uint64_t latest = 0;  // its newest stamp
        bool behind = false;
    };
    void review();
    Env& env_;
    const Settings& settings_;
    Model& model_;
    const std::uint64_t life_;
    const Duration slack_;
    Mono known_{};
    std::map<NodeName, Peer> peers_;
};

}  // namespace zd
