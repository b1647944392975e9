// Values of the job and page records: JSON as earlier versions of the program wrote it (docs/design.md,
// "Upgrade").
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "base/types.h"
#include "store/job.h"
#include "wire/json_api.h"

namespace zincdyke::records {

using wire::Json;

// A page's record; `first` is the index of its first task.
Json encode_page(const std::vector<TaskState>& tasks, std::size_t first);
// Nothing when it can't be read.
std::optional<std::vector<TaskState>> decode_page(const Json& v, const Job& j, std::size_t first,
                                                  TaskIndex count);

// A job's record. One that would be larger than `most_bytes` names only those of its types that exist.
Json encode_job(const Job& j, const std::vector<wire::MachineType>& types, std::size_t most_bytes);
// Nothing when it can't be read, or its pages are of a layout that this version doesn't know.
std::optional<Job> decode_job(const Json& v);

}  // namespace zincdyke::records
