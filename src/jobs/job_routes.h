/// The paths below /api/jobs, and what each asks for.
#pragma once
#include <cstdint>
#include <string_view>
#include <tl/expected.hpp>

#include "base/types.h"

namespace zincdyke {

/// What a user may ask of the jobs interface.
enum class JobAction : std::uint8_t { submit, get, cancel };

/// A request's parsed target.
struct JobTarget {
    JobAction action = JobAction::submit;
    JobId id;  ///< Valid; empty for a submission.
};

/// Why a method and path name no action.
enum class RoutingError : std::uint8_t {
    no_such_path,  ///< The path is none of the jobs interface.
    method_not_allowed,
    no_such_job,  ///< The path names a job by something that is no job's id.
};

/// `path` may have a query, which is ignored.
[[nodiscard]] tl::expected<JobTarget, RoutingError> parse_job_target(std::string_view method,
                                                                     std::string_view path);

}  // namespace zincdyke
