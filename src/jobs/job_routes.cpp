#include "jobs/job_routes.h"

#include <optional>
#include <string>

#include "wire/json_api.h"

namespace zincdyke {
namespace {

struct Route {
    std::string_view method, pattern;
    JobAction action;
};
constexpr std::string_view id_placeholder = "{id}";
// Only the first route whose pattern matches the path is considered, even if the route's method differs from
// the request's.
constexpr Route routes[] = {
    {"POST", "/api/jobs", JobAction::submit},
    {"POST", "/api/jobs/{id}/cancel", JobAction::cancel},
    {"GET", "/api/jobs/{id}", JobAction::get},
};

// Returns the part of the path at the pattern's placeholder, which may be any text and not only a valid id.
// Returns an empty string for a pattern without a placeholder, and nothing if the path does not match.
std::optional<std::string_view> match_path(std::string_view pattern, std::string_view path) {
    const auto placeholder_at = pattern.find(id_placeholder);
    if (placeholder_at == std::string_view::npos)
        return path == pattern ? std::optional<std::string_view>("") : std::nullopt;
    const auto prefix = pattern.substr(0, placeholder_at),
               suffix = pattern.substr(placeholder_at + id_placeholder.size());
    if (path.size() < prefix.size() + suffix.size() || !path.starts_with(prefix) || !path.ends_with(suffix))
        return std::nullopt;
    return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
}

}  // namespace

tl::expected<JobTarget, RoutingError> parse_job_target(std::string_view method, std::string_view path) {
    path = path.substr(0, path.find('?'));
    for (const Route& route : routes) {
        const auto id = match_path(route.pattern, path);
        if (!id) continue;
        if (method != route.method) return tl::unexpected(RoutingError::method_not_allowed);
        if (route.action == JobAction::submit) return JobTarget{route.action, JobId()};
        if (!wire::valid_job_id(*id)) return tl::unexpected(RoutingError::no_such_job);
        return JobTarget{route.action, JobId(std::string(*id))};
    }
    return tl::unexpected(RoutingError::no_such_path);
}

}  // namespace zincdyke
