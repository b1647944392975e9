/// Keys of the records in the key-value store. All keys are built by the functions below and decoded by
/// `parse`; no other file contains key prefixes.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/types.h"

namespace zincdyke::keys {

/// Key prefix of the records that controllers watch. Final states of jobs have a different prefix and are not
/// watched.
inline constexpr std::string_view watched_prefix = "z/";
/// Key of the record with the name of the autoscaler's leader. The record is deleted when the leader's
/// session lease expires.
inline const std::string autoscaler_leader = "z/s";
/// Key of the record with the cloud's machine types, as last listed.
inline const std::string machine_types = "z/f";
/// Key of the record with the format level that all controllers write.
inline const std::string fleet_format_level = "z/l";

/// Returns the key of the record of an accepted job that has not ended.
[[nodiscard]] std::string job(const JobId& id);
/// Returns the key of a standard-size page of a job's tasks.
[[nodiscard]] std::string page(const JobId& id, std::uint32_t number);
/// Returns the key of a page of a job whose record specifies a smaller page size.
[[nodiscard]] std::string small_page(const JobId& id, std::uint32_t number);
/// Returns the key of a job's final state.
[[nodiscard]] std::string final_state(const JobId& id);
/// Returns the key of a live controller's record, which is deleted when its session lease expires.
[[nodiscard]] std::string node(const NodeName& name);
/// Returns the key of the record with the name of a shard's leader.
[[nodiscard]] std::string shard(std::uint32_t number);
/// Returns the key of a team lock. Only the lock's holder commits task starts of a team with limits.
[[nodiscard]] std::string team_lock(const TeamName& name);
/// Returns the key of the record with the highest format level that a controller supports.
[[nodiscard]] std::string supported_format_level(const NodeName& name);

/// The kinds of records in the key-value store, as identified by their keys.
enum class RecordKind : std::uint8_t {
    other,  ///< a key that this version of the program does not recognize
    job,
    standard_page,
    small_page,
    final_state,
    node,
    shard,
    team_lock,
    supported_format_level,
    fleet_format,
    autoscaler,
    machine_type_list,
};

/// The components of a parsed key. `name` refers to the characters of the key, which must outlive it.
struct ParsedKey {
    RecordKind kind = RecordKind::other;
    /// The part of the key that identifies a job, node or team: a job's id in keys of jobs, pages and final
    /// states, otherwise a node's or team's name. Empty for other records and for a malformed page key.
    std::string_view name;
    /// The page number or shard number; `std::nullopt` if the key has no valid number.
    std::optional<std::uint32_t> number;

    /// Whether the key is that of a standard or a small page.
    [[nodiscard]] bool is_page() const {
        return kind == RecordKind::standard_page || kind == RecordKind::small_page;
    }
    [[nodiscard]] JobId job() const { return JobId(std::string(name)); }
    [[nodiscard]] NodeName node() const { return NodeName(std::string(name)); }
    [[nodiscard]] TeamName team() const { return TeamName(std::string(name)); }
};
/// Splits a record's key into its components. Returns `RecordKind::other` for an unrecognized key.
[[nodiscard]] ParsedKey parse(std::string_view key);
/// Rejects a temporary string, because the result refers to the characters of the key.
ParsedKey parse(std::string&& key) = delete;

/// Returns whether the key has the prefix that controllers watch.
[[nodiscard]] bool is_watched(std::string_view key);
/// Returns the job that a page key belongs to; an empty id for keys that are not page keys.
[[nodiscard]] JobId job_of_page(const std::string& key);

}  // namespace zincdyke::keys
