#include "app/real_env.h"

#include <algorithm>

namespace zd {

RealEnv::RealEnv(Loop& loop, const Settings& settings, PeerLinks::Handler on_peer)
    : loop_(loop),
      client_(loop, {12, std::min<std::size_t>(128, settings.max_sockets / 4), 512, 8 * 1024 * 1024, seconds(20)}),
      peers_(loop, settings, std::move(on_peer)),
      rng_(static_cast<std::uint64_t>(Loop::wall().v) ^ std::hash<std::string>()(settings.node.v)) {}

}  // namespace zd
