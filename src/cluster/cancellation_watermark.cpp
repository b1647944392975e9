#include "cluster/cancellation_watermark.h"

#include <algorithm>

namespace zincdyke {
namespace {
constexpr Duration lag_timeout = std::chrono::seconds(4);
// Maximum number of cancelled jobs listed in one acknowledgement, so that the acknowledgement always fits
// into one frame of the peer protocol. A longer list is truncated and marked as incomplete, and an incomplete
// list does not advance the receiver's watermark.
constexpr std::size_t max_listed_cancellations = 12'000;
constexpr Duration min_renewal_window = std::chrono::seconds(3);

Duration renewal_window_of(const Settings& settings) {
    // The factors 0.998 and 1.002 allow for clocks that drift by up to 0.05%, with a margin. The subtracted
    // second covers timer granularity and responses in flight. If `lease_s` is close to `cancel_s` or longer,
    // lease expiry cannot stop a cancelled job's tasks in time; only stop commands can.
    return std::max(min_renewal_window, seconds(settings.cancel_s * 0.998 - settings.lease_s * 1.002 - 1));
}

std::uint64_t to_timestamp(SteadyTime time) {
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}
SteadyTime from_timestamp(std::uint64_t timestamp) {
    return SteadyTime(Duration(static_cast<std::int64_t>(timestamp)));
}
}  // namespace

CancellationWatermark::CancellationWatermark(Env& env, const Settings& settings, StateCache& state_cache)
    : env_(env),
      settings_(settings),
      state_cache_(state_cache),
      process_epoch_(env.rng()() ^ (to_timestamp(env.now()) * 0x9e3779b97f4a7c15ULL)),
      renewal_window_(renewal_window_of(settings)) {}

bool CancellationWatermark::may_renew_leases() const {
    return watermark_ != SteadyTime{} && env_.now() < watermark_ + renewal_window_;
}

bool CancellationWatermark::is_lagging() const { return env_.now() - watermark_ > lag_timeout; }

void CancellationWatermark::on_state_read(SteadyTime sent_at) {
    watermark_ = std::max(watermark_, sent_at);
    advance_by_acknowledgements();
}

wire::CancellationAck CancellationWatermark::acknowledgement_for(const NodeName& peer) const {
    wire::CancellationAck ack;
    ack.sender_epoch = process_epoch_;
    ack.sent_timestamp = to_timestamp(env_.now());
    ack.is_lagging = is_lagging();
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return ack;
    ack.echoed_epoch = found->second.process_epoch;
    ack.echoed_timestamp = found->second.latest_peer_timestamp;
    if (!ack.is_lagging && !found->second.is_lagging) return ack;
    for (const auto& [id, job] : state_cache_.jobs())
        if (job.cancelled) ack.cancelled.push_back(id);
    ack.is_complete = ack.cancelled.size() <= max_listed_cancellations;
    if (!ack.is_complete) ack.cancelled.resize(max_listed_cancellations);
    return ack;
}

void CancellationWatermark::on_acknowledgement(const NodeName& from, const wire::CancellationAck& ack) {
    Peer& peer = peers_[from];
    if (peer.process_epoch != ack.sender_epoch) {
        peer = {};
        peer.process_epoch = ack.sender_epoch;
        peer.first_received_at = env_.now();
    }
    peer.latest_peer_timestamp = std::max(peer.latest_peer_timestamp, ack.sent_timestamp);
    peer.is_lagging = ack.is_lagging;
    for (const auto& id : ack.cancelled) state_cache_.mark_cancelled(id);
    // The echoed timestamp, not the arrival time, determines how recent the acknowledgement is, because a
    // message may arrive minutes late.
    if (!ack.is_complete || ack.echoed_epoch != process_epoch_) return;
    peer.acknowledged_until = std::max(peer.acknowledged_until, from_timestamp(ack.echoed_timestamp));
    advance_by_acknowledgements();
}

void CancellationWatermark::advance_by_acknowledgements() {
    SteadyTime acknowledged_by_all = env_.now();
    for (const auto& seed : settings_.seeds) {
        const auto peer = peers_.find(seed.node);
        if (peer == peers_.end() || peer->second.first_received_at > watermark_) return;
        acknowledged_by_all = std::min(acknowledged_by_all, peer->second.acknowledged_until);
    }
    if (watermark_ != SteadyTime{}) watermark_ = std::max(watermark_, acknowledged_by_all);
}

}  // namespace zincdyke
