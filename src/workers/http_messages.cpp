#include "workers/http_messages.h"

namespace zincdyke::http_messages {

HttpResponse lease_renewed(wire::FencingToken token, const std::vector<wire::Command>& commands) {
    return {200, wire::encode_commands(token, commands), -1};
}

HttpResponse not_leader(const std::optional<NodeName>& leader) {
    return {421, wire::encode_redirect(leader), -1};
}

HttpResponse unavailable() { return {503, "{}", 1}; }

HttpRequest commands(wire::FencingToken token, const std::vector<wire::Command>& commands,
                     std::uint64_t agent_epoch) {
    return {"POST", "/commands", wire::encode_commands(token, commands, agent_epoch)};
}

}  // namespace zincdyke::http_messages
