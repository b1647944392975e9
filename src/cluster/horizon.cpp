#include "cluster/horizon.h"

#include <algorithm>

#include "base/log.h"

namespace zd {
namespace {
constexpr Duration behind_after = std::chrono::seconds(4);
constexpr std::size_t most_told =
    12'000;  // cancelled jobs in a beat; more than fit a frame vouch for nothing

Duration slack_of(const Settings& s) {
    // Two clocks may each be off by 0.05%; a second covers the steps of timers and answers under way. Where a
    // lease is no shorter than `cancel_s` no lease can keep it, and direct orders are all that is left.
    return std::max(seconds(3), seconds(s.cancel_s * 0.998 - s.lease_s * 1.002 - 1));
}

std::uint64_t micros(Mono t) { return static_cast<std::uint64_t>(t.time_since_epoch().count()); }
Mono mono(std::uint64_t us) { return Mono(Duration(static_cast<std::int64_t>(us))); }
}  // namespace

Horizon::Horizon(Env& env, const Settings& settings, Model& model)
    : env_(env),
      settings_(settings),
      model_(model),
      life_(env.rng()() ^ (micros(env.now()) * 0x9e3779b97f4a7c15ULL)),
      slack_(slack_of(settings)) {}

bool Horizon::behind() const { return env_.now() - known_ > behind_after; }

void Horizon::on_read(Mono sent) {
    known_ = std::max(known_, sent);
    review();
}

wire::Vouch Horizon::vouch_for(const NodeName& peer) {
    wire::Vouch v;
    v.life = life_;
    v.stamp = micros(env_.now());
    v.behind = behind();
    const auto p = peers_.find(peer);
    if (p == peers_.end()) return v;
    v.echo_life = p->second.life;
    v.echo = p->second.latest;
    if (!v.behind && !p->second.behind) return v;
    for (const auto& [id, j] : model_.jobs())
        if (j.cancelled) v.cancelled.push_back(id);
    v.whole = v.cancelled.size() <= most_told;
    if (!v.whole) v.cancelled.resize(most_told);
    return v;
}

void Horizon::on_vouch(const NodeName& from, const wire::Vouch& v) {
    const Mono now = env_.now();
    Peer& p = peers_[from];
    if (p.life != v.life) {
        p = {};
        p.life = v.life;
        p.since = now;
    }
    p.latest = std::max(p.latest, v.stamp);
    p.behind = v.behind;
    for (const auto& id : v.cancelled) model_.call_off(id);
    // A one-way message may have been held for minutes: what counts is when we sent the stamp that this one
    // echoes.
    if (!v.whole || v.echo_life != life_) return;
    p.told = std::max(p.told, mono(v.echo));
    review();
}

// All others have vouched for what they themselves told their users. A controller that began anew vouches for
// nothing of before: what its earlier life told must be known by other means, up to when the new one was
// first heard of.
void Horizon::review() {
    Mono all = env_.now();
    for (const auto& s : settings_.seeds) {
        auto p = peers_.find(s.node);
        if (p == peers_.end() || p->second.since > known_) return;
        all = std::min(all, p->second.told);
    }
    if (known_ != Mono{}) known_ = std::max(known_, all);
}

}  // namespace zd
