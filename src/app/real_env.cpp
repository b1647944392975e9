#include "app/real_env.h"

#include <algorithm>

namespace zincdyke {

namespace {
constexpr std::size_t mib = std::size_t{1024} * 1024;

// An answer in memory takes many times its length as JSON: what is too long is read in pages instead
// (ClusterCoordinator::watch).
std::size_t most_answer(const Settings& s) {
    return std::clamp(static_cast<std::size_t>(s.memory_mb) * mib / 32, mib, 8 * mib);
}

ClientLimits limits(std::size_t connections, std::size_t per_address, std::size_t queue, std::size_t answer) {
    ClientLimits l;
    l.connections = connections;
    l.per_address = std::min(connections, per_address);
    l.queue = queue;
    l.response = answer;
    return l;
}
}  // namespace

RealEnv::RealEnv(Loop& loop, const Settings& settings, PeerLinks::Handler on_peer)
    : loop_(loop),
      settings_(settings),
      state_(loop, limits(settings.sockets().state, settings.sockets().state, 2048, most_answer(settings))),
      cloud_(loop, limits(settings.sockets().cloud, settings.sockets().cloud, 128, 4 * mib)),
      workers_(loop, limits(settings.sockets().workers, 2, 16, mib)),
      peers_(loop, settings, std::move(on_peer)),
      rng_(static_cast<std::uint64_t>(Loop::wall().value()) ^
           std::hash<std::string>()(settings.node.value())) {}

}  // namespace zincdyke
