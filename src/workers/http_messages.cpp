#include "workers/http_messages.h"

namespace zincdyke::http_messages {

HttpResponse lease_renewed_response(wire::FencingToken token, const std::vector<wire::Command>& commands) {
    return HttpResponse::ok(wire::encode_commands(token, commands));
}

HttpResponse not_leader_response(const std::optional<NodeName>& leader) {
    return HttpResponse::misdirected(wire::encode_redirect(leader));
}

HttpResponse unavailable_response() { return HttpResponse::service_unavailable(1); }

HttpRequest command_request(wire::FencingToken token, const std::vector<wire::Command>& commands,
                            std::uint64_t agent_epoch) {
    return {"POST", "/commands", wire::encode_commands(token, commands, agent_epoch)};
}

}  // namespace zincdyke::http_messages
