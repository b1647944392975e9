/// The record of the jobs that the simulated users submitted.
#pragma once
#include <map>
#include <string>

#include "wire/json_api.h"

namespace zincdyke::testing {

using wire::Json;

/// A job that a simulated user submitted.
struct SubmittedJob {
    /// Body of the submission request. Its field "real_s" is the actual run time of a task in seconds.
    Json body;
    bool accepted = false;  ///< True once a user has received a response that accepts the job.
};

/// Submitted jobs by id. FakeUsers owns the map; the simulated workers look up the jobs of their tasks.
using SubmittedJobs = std::map<std::string, SubmittedJob>;

}  // namespace zincdyke::testing
