/// Encoding of the key-value store's records as JSON. The bytes must stay the same as those written by
/// earlier versions of the program (docs/design.md, "Upgrade"); tests/upgrade_test.cpp compares them with
/// golden bytes. The keys of the records are in store/keys.h, the machine types' record in wire/json_api.h.
/// The record of a live node is `{}`.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/types.h"
#include "store/job.h"
#include "wire/json_api.h"

namespace zincdyke::records {

using wire::Json;

/// Encodes the record of a page; `first_task` is the index of the page's first task in the job. `p`: placed
/// tasks as `[index, attempt, machine]`, with the zone as fourth element if the job is spread over zones.
/// `t`: pending tasks that were tried, as `[index, last attempt]`. `d`: done tasks as hex digits, each a bit
/// mask of four tasks with the first task in the lowest bit. Empty fields are omitted.
[[nodiscard]] Json encode_page(const std::vector<TaskState>& tasks, std::size_t first_task);
/// Decodes the record of a page that contains `task_count` tasks of the job, starting at index `first_task`.
/// Logs an error and returns `std::nullopt` if the record is malformed.
[[nodiscard]] std::optional<std::vector<TaskState>> decode_page(const Json& record, const Job& job,
                                                                std::size_t first_task, TaskIndex task_count);

/// Encodes a job's record: `spec` (as submitted), `at` (submission time, ms since 1970 UTC), `relay`
/// (controller that requests placements); if set, also `x` (true: cancelled), `pin` (assigned zone) and
/// `pages` (`{layout: 1, size}`, where `size` is the number of tasks per small page). If the record exceeds
/// `max_bytes`, the job's list of allowed machine types is reduced to those in `types`.
[[nodiscard]] Json encode_job(const Job& job, const std::vector<wire::MachineType>& types,
                              std::size_t max_bytes);
/// Decodes a job's record. Returns `std::nullopt` if the record is malformed or its pages have a layout that
/// this version does not support.
[[nodiscard]] std::optional<Job> decode_job(const Json& record);

/// Encodes a shard's record: `owner` (the leader) and `inc` (the leader's incarnation: the revision of its
/// process's first session). The version of this record is the leader's term.
[[nodiscard]] Json encode_shard_leader(const NodeName& leader, Revision incarnation);
/// Returns the name of the leader in a shard's record; empty if the record has none. Throws `Json::exception`
/// if the record is not an object.
[[nodiscard]] NodeName decode_shard_leader(const Json& record);

/// Encodes a team lock's record: `node` (the controller that holds the lock).
[[nodiscard]] Json encode_team_lock_holder(const NodeName& holder);
/// Returns the name of the holder in a team lock's record; empty if the record has none. Throws
/// `Json::exception` if the record is not an object.
[[nodiscard]] NodeName decode_team_lock_holder(const Json& record);

/// Encodes the autoscaler's leader record: `node` (the controller that leads the autoscaler).
[[nodiscard]] Json encode_autoscaler_leader(const NodeName& leader);
/// Returns the name of the leader in the autoscaler's leader record; empty if the record has none. Throws
/// `Json::exception` if the record is not an object.
[[nodiscard]] NodeName decode_autoscaler_leader(const Json& record);

/// Encodes the record of a format level, either the one that a controller supports or the one that all
/// controllers write: `format` (the level).
[[nodiscard]] Json encode_format_level(std::uint32_t level);
/// Returns the level in a format-level record; `std::nullopt` if the record is malformed.
[[nodiscard]] std::optional<std::uint32_t> decode_format_level(const Json& record);

/// The result of an ended job.
struct FinalState {
    bool is_done = false;         ///< whether all tasks are done; false if the job was cancelled
    std::int64_t done_tasks = 0;  ///< number of done tasks; 0 for a cancelled job
};
/// Encodes the record of an ended job: `s` (`done`, or `withdrawn` for a cancelled job) and `n` (number of
/// done tasks; absent for a cancelled job).
[[nodiscard]] Json encode_final_state(const FinalState& state);
/// Decodes the record of an ended job. A state other than `done` counts as cancelled. Throws
/// `Json::exception` if the record is not an object.
[[nodiscard]] FinalState decode_final_state(const Json& record);

}  // namespace zincdyke::records
