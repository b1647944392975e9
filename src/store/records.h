/// Values of the records in the key-value store: JSON, byte by byte as earlier versions of the program wrote
/// it (docs/design.md, "Upgrade"; golden bytes in tests/upgrade_test.cpp). Keys: store/keys.h.
///
/// | record (`keys::`) | field | term |
/// | --- | --- | --- |
/// | `job` | `spec` | the job's description, in the words of the public interface (`wire::JobSpec`) |
/// | | `at` | time of submission, in ms since 1970 (UTC) |
/// | | `relay` | the controller that asks for placements of its tasks |
/// | | `x` | true: cancelled; else absent |
/// | | `pin` | assigned zone of a one-zone job; else absent |
/// | | `pages` | `{layout, size}`: layout 1, small pages of `size` tasks; absent: standard pages |
/// | `page`, `small_page` | `p` | placed tasks: `[index, attempt, machine]`, or `[..., zone]` if the job is
/// spread | | | `t` | pending tasks that were tried: `[index, last attempt]` | | | `d` | done tasks: hex
/// digits, of which each stands for four tasks, the first in its lowest bit | | `shard` | `owner` | the
/// shard's leader; the record's version is the term | | | `inc` | the leader's incarnation: the revision of
/// the first session since its process began | | `team_lock` | `node` | the controller that holds the lock |
/// | `autoscaler_leader` | `node` | the autoscaler's leader |
/// | `final_state` | `s` | `done`, or `withdrawn`: cancelled |
/// | | `n` | how many tasks are done; absent: 0 |
/// | `node` | | `{}`: the record says only that the session is live |
/// | `machine_types` | | the cloud's list of machine types (`wire::types_to_json`) |
/// | `supported_format_level`, `fleet_format_level` | `format` | the format level that a controller
/// understands, or the fleet writes |
///
/// A field of a page that would be empty is left out; a page without any is `{}`: all its tasks are pending.
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

/// A page's record. `first`: the index of its first task in the job.
[[nodiscard]] Json encode_page(const std::vector<TaskState>& tasks, std::size_t first);
/// The `count` tasks of a page from the index `first` on; nothing, and a log line, when it can't be read.
[[nodiscard]] std::optional<std::vector<TaskState>> decode_page(const Json& record, const Job& job,
                                                                std::size_t first, TaskIndex count);

/// A job's record. One that would be larger than `max_bytes` names only those of its machine types that
/// exist.
[[nodiscard]] Json encode_job(const Job& job, const std::vector<wire::MachineType>& types,
                              std::size_t max_bytes);
/// Nothing when it can't be read, or its pages are of a layout that this version doesn't know.
[[nodiscard]] std::optional<Job> decode_job(const Json& record);

/// A shard's record, as its leader writes it.
[[nodiscard]] Json encode_shard_leader(const NodeName& leader, Revision incarnation);
/// The leader that a shard's record names; empty: none. Throws `Json::exception` if it is no object.
[[nodiscard]] NodeName decode_shard_leader(const Json& record);

/// A team lock's record.
[[nodiscard]] Json encode_team_lock_holder(const NodeName& holder);
/// The holder that a team lock's record names; empty: none. Throws `Json::exception` if it is no object.
[[nodiscard]] NodeName decode_team_lock_holder(const Json& record);

/// The autoscaler's record, as its leader writes it.
[[nodiscard]] Json encode_autoscaler_leader(const NodeName& leader);
/// The leader that the autoscaler's record names; empty: none. Throws `Json::exception` if it is no object.
[[nodiscard]] NodeName decode_autoscaler_leader(const Json& record);

/// A record of a format level, of a controller or of the fleet.
[[nodiscard]] Json encode_format_level(std::uint32_t level);
/// The level in a record of either kind; nothing when it can't be read.
[[nodiscard]] std::optional<std::uint32_t> decode_format_level(const Json& record);

/// How a job ended.
struct FinalState {
    bool is_done = false;         ///< else it was cancelled
    std::int64_t done_tasks = 0;  ///< how many are done; 0 for a cancelled job
};
[[nodiscard]] Json encode_final_state(const FinalState& state);
/// Anything but `done` counts as cancelled. Throws `Json::exception` if it is no object.
[[nodiscard]] FinalState decode_final_state(const Json& record);

}  // namespace zincdyke::records
