/// Names of the records in the key-value store. Prefixes stand here alone: keys are made by the functions
/// below and read back by `parse`.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/types.h"

namespace zincdyke::keys {

/// What every record begins with that controllers follow by their watch; final states lie outside of it.
inline constexpr std::string_view watched_prefix = "z/";
/// The autoscaler's leader, tied to its session's lease.
inline const std::string autoscaler_leader = "z/s";
/// The cloud's machine types, as last listed.
inline const std::string machine_types = "z/f";
/// The format level that the fleet writes.
inline const std::string fleet_format_level = "z/l";

/// An accepted job that has not ended.
[[nodiscard]] std::string job(const JobId& id);
/// A page of a job's tasks, of the standard size.
[[nodiscard]] std::string page(const JobId& id, std::uint32_t number);
/// A page of a job whose record names a smaller page size.
[[nodiscard]] std::string small_page(const JobId& id, std::uint32_t number);
/// How a job ended.
[[nodiscard]] std::string final_state(const JobId& id);
/// A live controller, tied to its session's lease.
[[nodiscard]] std::string node(const NodeName& name);
/// The leader of a shard.
[[nodiscard]] std::string shard(std::uint32_t number);
/// The holder of the lock on a limited team's starts.
[[nodiscard]] std::string team_lock(const TeamName& name);
/// The format level that a controller's version of the program understands.
[[nodiscard]] std::string supported_format_level(const NodeName& name);

/// What a key names.
enum class Kind : std::uint8_t {
    other,  ///< a key that this version of the program doesn't know
    job,
    standard_page,
    small_page,
    final_state,
    node,
    shard,
    team_lock,
    supported_format_level,
    fleet_format_level,
    autoscaler,
    machine_type_list,
};

/// A key taken apart. It refers to the characters of the key, which must outlive it.
struct ParsedKey {
    Kind kind = Kind::other;
    /// The name in the key: of the job (records of jobs, pages and final states; empty in a malformed page
    /// key), the node or the team.
    std::string_view name;
    /// Of a page or a shard; nothing where the key has no valid number.
    std::optional<std::uint32_t> number;

    /// A page of either size.
    [[nodiscard]] bool is_page() const { return kind == Kind::standard_page || kind == Kind::small_page; }
    [[nodiscard]] JobId job() const { return JobId(std::string(name)); }
    [[nodiscard]] NodeName node() const { return NodeName(std::string(name)); }
    [[nodiscard]] TeamName team() const { return TeamName(std::string(name)); }
};
[[nodiscard]] ParsedKey parse(std::string_view key);
/// The key must outlive its parts.
ParsedKey parse(std::string&& key) = delete;

/// Whether controllers follow the key by their watch.
[[nodiscard]] bool is_watched(std::string_view key);
/// The job whose page this is the key of; empty for other keys.
[[nodiscard]] JobId job_of_page(const std::string& key);

}  // namespace zincdyke::keys
