#include "cluster/cancellation_watermark.h"

#include <algorithm>

namespace zincdyke {
namespace {
constexpr Duration lag_timeout = std::chrono::seconds(4);
// In one acknowledgement: what a frame surely holds. One that would need more acknowledges nothing.
constexpr std::size_t max_cancelled_jobs = 12'000;
constexpr Duration min_renewal_window = std::chrono::seconds(3);

Duration renewal_window_of(const Settings& settings) {
    // Two clocks may each be off by 0.05%; a second covers the steps of timers and answers under way. Where a
    // lease is no shorter than `cancel_s` no lease can keep it, and commands to stop are all that is left.
    return std::max(min_renewal_window, seconds(settings.cancel_s * 0.998 - settings.lease_s * 1.002 - 1));
}

std::uint64_t stamp_of(SteadyTime time) {
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}
SteadyTime time_of(std::uint64_t stamp) { return SteadyTime(Duration(static_cast<std::int64_t>(stamp))); }
}  // namespace

CancellationWatermark::CancellationWatermark(Env& env, const Settings& settings, StateCache& state_cache)
    : env_(env),
      settings_(settings),
      state_cache_(state_cache),
      process_epoch_(env.rng()() ^ (stamp_of(env.now()) * 0x9e3779b97f4a7c15ULL)),
      renewal_window_(renewal_window_of(settings)) {}

bool CancellationWatermark::may_renew_leases() const {
    return watermark_ != SteadyTime{} && env_.now() < watermark_ + renewal_window_;
}

bool CancellationWatermark::is_lagging() const { return env_.now() - watermark_ > lag_timeout; }

void CancellationWatermark::on_state_read(SteadyTime sent) {
    watermark_ = std::max(watermark_, sent);
    advance_by_acknowledgements();
}

wire::CancellationAck CancellationWatermark::acknowledgement_for(const NodeName& peer) const {
    wire::CancellationAck ack;
    ack.sender_epoch = process_epoch_;
    ack.sent_stamp = stamp_of(env_.now());
    ack.is_lagging = is_lagging();
    const auto known = peers_.find(peer);
    if (known == peers_.end()) return ack;
    ack.echoed_epoch = known->second.process_epoch;
    ack.echoed_stamp = known->second.newest_stamp;
    if (!ack.is_lagging && !known->second.is_lagging) return ack;
    for (const auto& [id, job] : state_cache_.jobs())
        if (job.cancelled) ack.cancelled.push_back(id);
    ack.is_complete = ack.cancelled.size() <= max_cancelled_jobs;
    if (!ack.is_complete) ack.cancelled.resize(max_cancelled_jobs);
    return ack;
}

void CancellationWatermark::on_acknowledgement(const NodeName& from, const wire::CancellationAck& ack) {
    Peer& peer = peers_[from];
    if (peer.process_epoch != ack.sender_epoch) {
        peer = {};
        peer.process_epoch = ack.sender_epoch;
        peer.first_heard = env_.now();
    }
    peer.newest_stamp = std::max(peer.newest_stamp, ack.sent_stamp);
    peer.is_lagging = ack.is_lagging;
    for (const auto& id : ack.cancelled) state_cache_.mark_cancelled(id);
    // A message may have been held up for minutes: what counts is when we sent the stamp that it echoes.
    if (!ack.is_complete || ack.echoed_epoch != process_epoch_) return;
    peer.acknowledged_until = std::max(peer.acknowledged_until, time_of(ack.echoed_stamp));
    advance_by_acknowledgements();
}

void CancellationWatermark::advance_by_acknowledgements() {
    SteadyTime acknowledged_by_all = env_.now();
    for (const auto& seed : settings_.seeds) {
        const auto peer = peers_.find(seed.node);
        if (peer == peers_.end() || peer->second.first_heard > watermark_) return;
        acknowledged_by_all = std::min(acknowledged_by_all, peer->second.acknowledged_until);
    }
    if (watermark_ != SteadyTime{}) watermark_ = std::max(watermark_, acknowledged_by_all);
}

}  // namespace zincdyke
