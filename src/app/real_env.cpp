#include "app/real_env.h"

#include <algorithm>

namespace zincdyke {

namespace {
constexpr std::size_t mib = std::size_t{1024} * 1024;

// A JSON response in memory takes many times its length as text: what is too long is read in pages instead
// (ClusterCoordinator::watch).
std::size_t max_response_bytes(const Settings& settings) {
    return std::clamp(static_cast<std::size_t>(settings.memory_mb) * mib / 32, mib, 8 * mib);
}

ClientLimits client_limits(std::size_t connections, std::size_t per_address, std::size_t queue,
                           std::size_t response_bytes) {
    ClientLimits limits;
    limits.connections = connections;
    limits.per_address = std::min(connections, per_address);
    limits.queue = queue;
    limits.response = response_bytes;
    return limits;
}
}  // namespace

RealEnv::RealEnv(Loop& loop, const Settings& settings, PeerLinks::Handler on_peer)
    : loop_(loop),
      settings_(settings),
      store_(loop, client_limits(settings.sockets().store, settings.sockets().store, 2048,
                                 max_response_bytes(settings))),
      cloud_(loop, client_limits(settings.sockets().cloud, settings.sockets().cloud, 128, 4 * mib)),
      workers_(loop, client_limits(settings.sockets().workers, 2, 16, mib)),
      peers_(loop, settings, std::move(on_peer)),
      rng_(static_cast<std::uint64_t>(Loop::wall().value()) ^
           std::hash<std::string>()(settings.node.value())) {}

}  // namespace zincdyke
