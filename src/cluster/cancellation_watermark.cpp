#include "cluster/cancellation_watermark.h"

#include <algorithm>

#include "base/log.h"

namespace zincdyke {
namespace {
constexpr Duration lagging_after = std::chrono::seconds(4);
constexpr std::size_t max_cancelled_in_message =
    12'000;  // cancelled jobs in a beat; more than fit a frame vouch for nothing

Duration renewal_window_of(const Settings& s) {
    // Two clocks may each be off by 0.05%; a second covers the steps of timers and answers under way. Where a
    // lease is no shorter than `cancel_s` no lease can keep it, and direct orders are all that is left.
    return std::max(seconds(3), seconds(s.cancel_s * 0.998 - s.lease_s * 1.002 - 1));
}

std::uint64_t micros(SteadyTime t) { return static_cast<std::uint64_t>(t.time_since_epoch().count()); }
SteadyTime steady_time(std::uint64_t us) { return SteadyTime(Duration(static_cast<std::int64_t>(us))); }
}  // namespace

CancellationWatermark::CancellationWatermark(Env& env, const Settings& settings, StateCache& model)
    : env_(env),
      settings_(settings),
      state_cache_(model),
      process_epoch_(env.rng()() ^ (micros(env.now()) * 0x9e3779b97f4a7c15ULL)),
      renewal_window_(renewal_window_of(settings)) {}

bool CancellationWatermark::is_lagging() const { return env_.now() - known_ > lagging_after; }

void CancellationWatermark::on_state_read(SteadyTime sent) {
    known_ = std::max(known_, sent);
    review();
}

wire::CancellationAck CancellationWatermark::acknowledgement_for(const NodeName& peer) {
    wire::CancellationAck v;
    v.sender_epoch = process_epoch_;
    v.sent_stamp = micros(env_.now());
    v.is_lagging = is_lagging();
    const auto p = peers_.find(peer);
    if (p == peers_.end()) return v;
    v.echoed_epoch = p->second.process_epoch;
    v.echoed_stamp = p->second.latest;
    if (!v.is_lagging && !p->second.is_lagging) return v;
    for (const auto& [id, j] : state_cache_.jobs())
        if (j.cancelled) v.cancelled.push_back(id);
    v.is_complete = v.cancelled.size() <= max_cancelled_in_message;
    if (!v.is_complete) v.cancelled.resize(max_cancelled_in_message);
    return v;
}

void CancellationWatermark::on_acknowledgement(const NodeName& from, const wire::CancellationAck& v) {
    const SteadyTime now = env_.now();
    Peer& p = peers_[from];
    if (p.process_epoch != v.sender_epoch) {
        p = {};
        p.process_epoch = v.sender_epoch;
        p.since = now;
    }
    p.latest = std::max(p.latest, v.sent_stamp);
    p.is_lagging = v.is_lagging;
    for (const auto& id : v.cancelled) state_cache_.mark_cancelled(id);
    // A one-way message may have been held for minutes: what counts is when we sent the stamp that this one
    // echoes.
    if (!v.is_complete || v.echoed_epoch != process_epoch_) return;
    p.told = std::max(p.told, steady_time(v.echoed_stamp));
    review();
}

// All others have vouched for what they themselves told their users. A controller that began anew vouches for
// nothing of before: what its earlier life told must be known by other means, up to when the new one was
// first heard of.
void CancellationWatermark::review() {
    SteadyTime all = env_.now();
    for (const auto& s : settings_.seeds) {
        auto p = peers_.find(s.node);
        if (p == peers_.end() || p->second.since > known_) return;
        all = std::min(all, p->second.told);
    }
    if (known_ != SteadyTime{}) known_ = std::max(known_, all);
}

}  // namespace zincdyke
