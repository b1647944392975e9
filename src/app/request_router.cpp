#include "app/request_router.h"

#include "base/log.h"
#include "wire/json_api.h"

namespace zincdyke {

void RequestRouter::route(const HttpRequest& request, const Reply& reply) {
    if (request.path == "/checkin") return handle_heartbeat(request, reply);
    if (request.path == "/healthz")
        return reply(health_check_.is_healthy() ? HttpResponse::ok("{}")
                                                : HttpResponse::service_unavailable());
    if (request.path == "/internal/status") return reply(HttpResponse::ok(status_report(status_sources_)));
    if (jobs_api_.handle(request, reply)) return;
    reply(HttpResponse::not_found(wire::error_response_body("no such path")));
}

void RequestRouter::handle_heartbeat(const HttpRequest& request, const Reply& reply) {
    if (request.method != "POST") return reply(HttpResponse::method_not_allowed());
    const auto heartbeat = wire::parse_heartbeat(request.body);
    if (!heartbeat) {
        log::warn("event=invalid_heartbeat bytes={}", request.body.size());
        return reply(HttpResponse::bad_request());
    }
    workers_.handle_heartbeat(*heartbeat, reply);
}

}  // namespace zincdyke
