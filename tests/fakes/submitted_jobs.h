/// The jobs that the simulated users submitted.
#pragma once
#include <map>
#include <string>

#include "wire/json_api.h"

namespace zincdyke::testing {

using wire::Json;

struct SubmittedJob {
    Json body;              ///< As submitted; "real_s" in it is how long a task really takes.
    bool accepted = false;  ///< A user was answered so.
};

/// By id. Owned by the users; the workers look up what their tasks execute.
using SubmittedJobs = std::map<std::string, SubmittedJob>;

}  // namespace zincdyke::testing
