#include "app/real_env.h"

#include <algorithm>

namespace zincdyke {

namespace {
constexpr std::size_t bytes_per_mib = std::size_t{1024} * 1024;

// Returns the size limit of a response from the key-value store. It depends on the configured memory because
// a parsed JSON response takes many times the memory of its text.
std::size_t max_response_bytes(const Settings& settings) {
    return std::clamp(static_cast<std::size_t>(settings.memory_mb) * bytes_per_mib / 32, bytes_per_mib,
                      8 * bytes_per_mib);
}

ClientLimits client_limits(std::size_t max_connections, std::size_t max_connections_per_address,
                           std::size_t max_queued_requests, std::size_t max_response_bytes) {
    ClientLimits limits;
    limits.max_connections = max_connections;
    limits.max_connections_per_address = std::min(max_connections, max_connections_per_address);
    limits.max_queued_requests = max_queued_requests;
    limits.max_response_bytes = max_response_bytes;
    return limits;
}
}  // namespace

RealEnv::RealEnv(Loop& loop, const Settings& settings, PeerLinks::Handler on_peer)
    : loop_(loop),
      settings_(settings),
      store_(loop, client_limits(settings.sockets().store, settings.sockets().store, 2048,
                                 max_response_bytes(settings))),
      cloud_(loop, client_limits(settings.sockets().cloud, settings.sockets().cloud, 128, 4 * bytes_per_mib)),
      workers_(loop, client_limits(settings.sockets().workers, 2, 16, bytes_per_mib)),
      peers_(loop, settings, std::move(on_peer)),
      rng_(static_cast<std::uint64_t>(Loop::wall().value()) ^
           std::hash<std::string>()(settings.node.value())) {}

}  // namespace zincdyke
