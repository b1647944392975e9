/// The HTTP messages that a leader and its workers exchange, by what they mean.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "base/env.h"
#include "wire/json_api.h"

namespace zincdyke::http_messages {

/// How long a worker may take to answer a command that is sent straight to it.
constexpr Duration command_timeout = std::chrono::seconds(2);

/// 200 to a heartbeat: renews the worker's lease and carries commands. Only HeartbeatHandler sends it.
[[nodiscard]] HttpResponse lease_renewed(wire::FencingToken token,
                                         const std::vector<wire::Command>& commands);
/// 421 to a heartbeat: another controller leads the machine's shard; `leader` where it is known.
[[nodiscard]] HttpResponse not_leader(const std::optional<NodeName>& leader);
/// 503 to a heartbeat: the worker is to ask another controller, or this one again in a second.
[[nodiscard]] HttpResponse unavailable();
/// Commands sent straight to a worker. One under an older term, or for another `agent_epoch`, is refused.
[[nodiscard]] HttpRequest commands(wire::FencingToken token, const std::vector<wire::Command>& commands,
                                   std::uint64_t agent_epoch);

}  // namespace zincdyke::http_messages
