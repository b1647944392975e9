/// HTTP messages that a shard leader sends to its workers.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "base/env.h"
#include "wire/json_api.h"

namespace zincdyke::http_messages {

/// Time limit for a worker's response to a command request.
constexpr Duration command_timeout = std::chrono::seconds(2);

/// Returns the 200 response to a heartbeat, which renews the worker's lease and carries commands. Only
/// HeartbeatHandler may send this response.
[[nodiscard]] HttpResponse lease_renewed_response(wire::FencingToken token,
                                                  const std::vector<wire::Command>& commands);
/// Returns the 421 response to a heartbeat: this controller does not lead the machine's shard. The response
/// contains the name of the shard's leader if `leader` is set.
[[nodiscard]] HttpResponse not_leader_response(const std::optional<NodeName>& leader);
/// Returns the 503 response to a heartbeat: the worker should try another controller, or this one again after
/// one second.
[[nodiscard]] HttpResponse unavailable_response();
/// Returns a request that carries commands to a worker. The worker rejects the request if it has received a
/// higher fencing token or if `agent_epoch` is not its current epoch.
[[nodiscard]] HttpRequest command_request(wire::FencingToken token,
                                          const std::vector<wire::Command>& commands,
                                          std::uint64_t agent_epoch);

}  // namespace zincdyke::http_messages
