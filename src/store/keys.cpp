#include "store/keys.h"

#include <array>
#include <charconv>

namespace zincdyke::keys {
namespace {

struct Prefix {
    std::string_view text;
    RecordKind kind;
};
constexpr std::string_view job_prefix = "z/j/";
constexpr std::string_view standard_page_prefix = "z/t/";
constexpr std::string_view small_page_prefix = "z/r/";
constexpr std::string_view final_state_prefix = "f/";
constexpr std::string_view node_prefix = "z/n/";
constexpr std::string_view shard_prefix = "z/p/";
constexpr std::string_view team_lock_prefix = "z/q/";
constexpr std::string_view supported_format_level_prefix = "z/v/";
constexpr std::array<Prefix, 8> prefixes{{
    {job_prefix, RecordKind::job},
    {standard_page_prefix, RecordKind::standard_page},
    {small_page_prefix, RecordKind::small_page},
    {final_state_prefix, RecordKind::final_state},
    {node_prefix, RecordKind::node},
    {shard_prefix, RecordKind::shard},
    {team_lock_prefix, RecordKind::team_lock},
    {supported_format_level_prefix, RecordKind::supported_format_level},
}};

std::string join(std::string_view prefix, const std::string& name) { return std::string(prefix) + name; }

std::string join(std::string_view prefix, const std::string& name, std::uint32_t number) {
    return join(prefix, name) + "/" + std::to_string(number);
}

std::optional<std::uint32_t> parse_number(std::string_view digits) {
    std::uint32_t number = 0;
    const char* const end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
    return number;
}

// Parses the part of a page key after its prefix: "JOB/NUMBER".
ParsedKey parse_page(RecordKind kind, std::string_view suffix) {
    const auto slash = suffix.rfind('/');
    if (slash == std::string_view::npos || slash == 0) return {kind, {}, std::nullopt};
    return {kind, suffix.substr(0, slash), parse_number(suffix.substr(slash + 1))};
}

}  // namespace

std::string job(const JobId& id) { return join(job_prefix, id.value()); }
std::string page(const JobId& id, std::uint32_t number) {
    return join(standard_page_prefix, id.value(), number);
}
std::string small_page(const JobId& id, std::uint32_t number) {
    return join(small_page_prefix, id.value(), number);
}
std::string final_state(const JobId& id) { return join(final_state_prefix, id.value()); }
std::string node(const NodeName& name) { return join(node_prefix, name.value()); }
std::string shard(std::uint32_t number) { return join(shard_prefix, std::to_string(number)); }
std::string team_lock(const TeamName& name) { return join(team_lock_prefix, name.value()); }
std::string supported_format_level(const NodeName& name) {
    return join(supported_format_level_prefix, name.value());
}

ParsedKey parse(std::string_view key) {
    if (key == autoscaler_leader) return {RecordKind::autoscaler, {}, std::nullopt};
    if (key == machine_types) return {RecordKind::machine_type_list, {}, std::nullopt};
    if (key == fleet_format_level) return {RecordKind::fleet_format, {}, std::nullopt};
    for (const auto& [prefix, kind] : prefixes) {
        if (!key.starts_with(prefix)) continue;
        const std::string_view suffix = key.substr(prefix.size());
        if (kind == RecordKind::standard_page || kind == RecordKind::small_page)
            return parse_page(kind, suffix);
        if (kind == RecordKind::shard) return {kind, {}, parse_number(suffix)};
        return {kind, suffix, std::nullopt};
    }
    return {};
}

bool is_watched(std::string_view key) { return key.starts_with(watched_prefix); }

JobId job_of_page(const std::string& key) {
    const ParsedKey parsed = parse(key);
    return parsed.is_page() ? parsed.job() : JobId();
}

}  // namespace zincdyke::keys
