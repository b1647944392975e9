#include "base/settings.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace zincdyke {
namespace {
// Closing a job takes two writes in one transaction: its record is deleted and its final state is stored.
constexpr double min_txn_ops = 2;

// Throws a SettingsError for a missing or invalid value under `key`. `rule` describes the valid values.
[[noreturn]] void reject(const toml::table& root, const std::string& key, const std::string& rule) {
    const auto code =
        root.at_path(key) ? SettingsError::Code::invalid_value : SettingsError::Code::missing_key;
    throw SettingsError(code, key, "setting '" + key + "': " + rule);
}

std::string text_at(const toml::table& root, const std::string& key, bool may_be_empty = false) {
    auto text = root.at_path(key).value<std::string>();
    if (!root.at_path(key).is_string() || (text->empty() && !may_be_empty))
        reject(root, key, "must be a non-empty string");
    return *text;
}

double number_at(const toml::table& root, const std::string& key, double min, double max) {
    auto node = root.at_path(key);
    auto number = node.value<double>();
    const bool is_numeric = node.is_integer() || node.is_floating_point();
    if (!is_numeric || !number || !std::isfinite(*number) || *number < min || *number > max) {
        std::ostringstream rule;
        rule << "must be a number from " << min << " to " << max;
        reject(root, key, rule.str());
    }
    return *number;
}

std::uint32_t count_at(const toml::table& root, const std::string& key, double min, double max) {
    double number = number_at(root, key, min, max);
    if (number != std::floor(number)) reject(root, key, "must be a whole number");
    return static_cast<std::uint32_t>(number);
}

std::string address_at(const toml::table& root, const std::string& key) {
    std::string address = text_at(root, key);
    auto colon = address.rfind(':');
    in_addr parsed_ip{};
    bool ok =
        colon != std::string::npos && inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed_ip) == 1;
    std::string port = ok ? address.substr(colon + 1) : "";
    ok = ok && !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), ::isdigit) &&
         std::stoi(port) > 0 && std::stoi(port) < 65536;
    if (!ok) reject(root, key, "must be an IPv4 address with a port, such as 10.0.0.1:8080");
    return address;
}

std::int64_t to_thousandths(double amount) { return static_cast<std::int64_t>(std::llround(amount * 1000)); }

// Calls `fn` for each table of the array at `key`; a missing array is treated as empty. Errors in a table are
// rethrown with the full key.
template <class Fn>
void for_each_table(const toml::table& root, const std::string& key, Fn fn) {
    auto node = root.at_path(key);
    if (!node) return;
    const auto* tables = node.as_array();
    if (tables == nullptr) reject(root, key, "must be an array of tables");
    std::size_t i = 0;
    for (const auto& element : *tables) {
        const auto* table = element.as_table();
        std::string name = key + "[" + std::to_string(i++) + "]";
        if (table == nullptr) reject(root, name, "must be a table");
        try {
            fn(*table);
        } catch (const SettingsError& error) {
            throw SettingsError(error.code(), name + "." + error.key(), "in " + name + ": " + error.what());
        }
    }
}

toml::table parse_toml(const std::string& text) {
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        std::ostringstream message;
        message << "not valid TOML: " << error.description() << " at line " << error.source().begin.line;
        throw SettingsError(SettingsError::Code::not_toml, "", message.str());
    }
}

std::vector<std::string> zones_at(const toml::table& root, const std::string& key) {
    const auto* list = root.at_path(key).as_array();
    if (list == nullptr || list->empty()) reject(root, key, "must be a list of zone names");
    std::vector<std::string> zones;
    for (const auto& entry : *list) {
        const auto name = entry.value<std::string>();
        if (!entry.is_string()) reject(root, key, "must be a list of zone names");
        zones.push_back(*name);
    }
    return zones;
}

Team team_from(const toml::table& table) {
    Team team;
    team.name = TeamName(text_at(table, "name"));
    team.cpu = to_thousandths(number_at(table, "cpus", 0, 1e9));
    team.cpu_max = to_thousandths(number_at(table, "cpus_max", 0, 1e9));
    team.gpu = to_thousandths(number_at(table, "gpus", 0, 1e9));
    team.gpu_max = to_thousandths(number_at(table, "gpus_max", 0, 1e9));
    return team;
}

Objective objective_from(const toml::table& table) {
    Objective objective;
    objective.kind = text_at(table, "kind");
    objective.job_class = table.contains("class") ? text_at(table, "class", true) : "";
    objective.target_s = table.contains("within_s") ? number_at(table, "within_s", 0, 1e9) : 0;
    objective.target_share = table.contains("share") ? number_at(table, "share", 0, 1) : 0;
    return objective;
}

StoreLimits store_limits_at(const toml::table& root, const std::string& key) {
    StoreLimits limits;
    limits.write_rps = number_at(root, key + ".write_rps", 1, 1e6);
    limits.value_kb = number_at(root, key + ".value_kb", 2, 64);
    limits.txn_ops = count_at(root, key + ".txn_ops", min_txn_ops, 10000);
    return limits;
}

// Reads the limits that the platform sets for workers, key-value store, cloud and this machine.
void read_platform_limits(const toml::table& root, Settings& settings) {
    settings.heartbeat_interval_s = number_at(root, "params.workers.report_s", 0.1, 3600);
    settings.lease_s = number_at(root, "params.workers.lease_s", 1, 36000);
    settings.gang_wait_s = number_at(root, "params.workers.gang_wait_s", 0, 36000);
    settings.gang_peer_timeout_s = number_at(root, "params.workers.gang_peer_s", 0, 36000);
    settings.cancel_s = number_at(root, "params.workers.cancel_s", 1, 36000);
    settings.store_rps = number_at(root, "params.state.rps", 1, 1e6);
    settings.store_limits = store_limits_at(root, "params.state");
    settings.strictest_limits = settings.store_limits;
    if (root.at_path("params.state.next")) {
        const StoreLimits next = store_limits_at(root, "params.state.next");
        settings.strictest_limits.write_rps = std::min(settings.store_limits.write_rps, next.write_rps);
        settings.strictest_limits.value_kb = std::min(settings.store_limits.value_kb, next.value_kb);
        settings.strictest_limits.txn_ops = std::min(settings.store_limits.txn_ops, next.txn_ops);
    }
    settings.cloud_rps = number_at(root, "params.cloud.rps", 0.1, 1e6);
    settings.cloud_list_lag_s = number_at(root, "params.cloud.list_lag_s", 0, 3600);
    settings.cpu_cores = number_at(root, "params.machine_limits.core_share", 0.001, 1024);
    settings.memory_mb = number_at(root, "params.machine_limits.memory_mb", 16, 1e7);
    settings.max_sockets = count_at(root, "params.machine_limits.max_sockets", 32, 1e7);
}

}  // namespace

Settings::Sockets Settings::sockets() const {
    constexpr std::size_t internal = 16;  // epoll descriptor, listening sockets and standard streams
    const std::size_t total = max_sockets;
    Sockets division;
    division.store = std::clamp<std::size_t>(total / 8, 4, 16);
    division.cloud = std::clamp<std::size_t>(total / 16, 2, 6);
    division.workers = std::clamp<std::size_t>(total / 12, 4, 256);
    // A peer has one link in each direction. After a network failure it may open new ones before the old ones
    // are detected as broken.
    division.peers = 5 * seeds.size() + 8;
    const std::size_t used = internal + division.store + division.cloud + division.workers + division.peers;
    division.server = total > used + 8 ? total - used : 8;
    return division;
}

std::vector<NodeName> Settings::all_nodes() const {
    std::vector<NodeName> names{node};
    for (const auto& seed : seeds) names.push_back(seed.node);
    std::sort(names.begin(), names.end());
    return names;
}

Settings parse_settings(const std::string& text) {
    const toml::table root = parse_toml(text);
    Settings settings;
    settings.node = NodeName(text_at(root, "node"));
    settings.zone = text_at(root, "zone");
    settings.api_addr = address_at(root, "api_addr");
    settings.cluster_listen = address_at(root, "cluster_listen");
    settings.cloud_address = address_at(root, "outside.cloud");
    settings.store_address = address_at(root, "outside.state");
    for_each_table(root, "seeds", [&](const toml::table& table) {
        Seed seed{NodeName(text_at(table, "node")), text_at(table, "zone"), address_at(table, "address")};
        // The list of seeds may include this controller itself.
        if (seed.node != settings.node) settings.seeds.push_back(std::move(seed));
    });
    settings.controller_count = count_at(root, "params.size", 1, 1000);
    settings.zones = zones_at(root, "params.zones");
    settings.max_clock_skew_ms = number_at(root, "params.skew_ms", 0, 1e7);
    for_each_table(root, "params.teams", [&](const toml::table& table) {
        const Team team = team_from(table);
        settings.teams[team.name] = team;
    });
    for_each_table(root, "params.objectives",
                   [&](const toml::table& table) { settings.objectives.push_back(objective_from(table)); });
    read_platform_limits(root, settings);
    return settings;
}

Settings load_settings(const std::string& path) {
    std::ifstream file(path);
    if (!file)
        throw SettingsError(SettingsError::Code::unreadable_file, "",
                            "cannot read settings file '" + path + "'");
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str());
}

}  // namespace zincdyke
