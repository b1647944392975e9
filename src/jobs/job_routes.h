/// Maps HTTP methods and paths below /api/jobs to actions of the jobs API.
#pragma once
#include <cstdint>
#include <string_view>
#include <tl/expected.hpp>

#include "base/types.h"

namespace zincdyke {

/// The actions that the jobs API offers to users.
enum class JobAction : std::uint8_t { submit, get, cancel };

/// The action and the job that a request's method and path specify.
struct JobTarget {
    JobAction action = JobAction::submit;
    JobId id;  ///< a well-formed job id; empty for a submission
};

/// The reasons why a request's method and path do not specify an action of the jobs API.
enum class RoutingError : std::uint8_t {
    no_such_path,  ///< the path does not belong to the jobs API
    method_not_allowed,
    no_such_job,  ///< the path contains a malformed job id
};

/// Parses the method and path of a request. A query string in `path` is ignored.
[[nodiscard]] tl::expected<JobTarget, RoutingError> parse_job_target(std::string_view method,
                                                                     std::string_view path);

}  // namespace zincdyke
