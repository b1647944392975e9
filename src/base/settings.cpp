#include "base/settings.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace zincdyke {
namespace {
// A job's end takes two changes in one transaction: its record goes and its final state comes.
constexpr double least_txn_ops = 2;

// The value under `key` is not `allowed`, or there is none.
[[noreturn]] void reject(const toml::table& root, const std::string& key, const std::string& allowed) {
    const auto code =
        root.at_path(key) ? SettingsError::Code::invalid_value : SettingsError::Code::missing_key;
    throw SettingsError(code, key, "setting '" + key + "': " + allowed);
}

std::string text_at(const toml::table& root, const std::string& key, bool may_be_empty = false) {
    auto v = root.at_path(key).value<std::string>();
    if (!root.at_path(key).is_string() || (v->empty() && !may_be_empty))
        reject(root, key, "must be a non-empty string");
    return *v;
}

double number_at(const toml::table& root, const std::string& key, double low, double high) {
    auto node = root.at_path(key);
    auto v = node.value<double>();
    const bool numeric = node.is_integer() || node.is_floating_point();
    if (!numeric || !v || !std::isfinite(*v) || *v < low || *v > high) {
        std::ostringstream s;
        s << "must be a number from " << low << " to " << high;
        reject(root, key, s.str());
    }
    return *v;
}

std::uint32_t count_at(const toml::table& root, const std::string& key, double low, double high) {
    double v = number_at(root, key, low, high);
    if (v != std::floor(v)) reject(root, key, "must be a whole number");
    return static_cast<std::uint32_t>(v);
}

std::string address_at(const toml::table& root, const std::string& key) {
    std::string a = text_at(root, key);
    auto colon = a.rfind(':');
    in_addr ip{};
    bool ok = colon != std::string::npos && inet_pton(AF_INET, a.substr(0, colon).c_str(), &ip) == 1;
    std::string port = ok ? a.substr(colon + 1) : "";
    ok = ok && !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), ::isdigit) &&
         std::stoi(port) > 0 && std::stoi(port) < 65536;
    if (!ok) reject(root, key, "must be an IPv4 address with a port, such as 10.0.0.1:8080");
    return a;
}

std::int64_t milli(double v) { return static_cast<std::int64_t>(std::llround(v * 1000)); }

// Calls fn for each table of an array of tables; a missing array counts as empty.
template <class Fn>
void each_table(const toml::table& root, const std::string& key, Fn fn) {
    auto node = root.at_path(key);
    if (!node) return;
    const auto* arr = node.as_array();
    if (arr == nullptr) reject(root, key, "must be an array of tables");
    std::size_t i = 0;
    for (const auto& e : *arr) {
        const auto* t = e.as_table();
        std::string name = key + "[" + std::to_string(i++) + "]";
        if (t == nullptr) reject(root, name, "must be a table");
        try {
            fn(*t);
        } catch (const SettingsError& err) {
            throw SettingsError(err.code(), name + "." + err.key(), "in " + name + ": " + err.what());
        }
    }
}

toml::table parse_toml(const std::string& text) {
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& e) {
        std::ostringstream s;
        s << "not valid TOML: " << e.description() << " at line " << e.source().begin.line;
        throw SettingsError(SettingsError::Code::not_toml, "", s.str());
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

Team team_from(const toml::table& t) {
    Team team;
    team.name = TeamName(text_at(t, "name"));
    team.cpu = milli(number_at(t, "cpus", 0, 1e9));
    team.cpu_max = milli(number_at(t, "cpus_max", 0, 1e9));
    team.gpu = milli(number_at(t, "gpus", 0, 1e9));
    team.gpu_max = milli(number_at(t, "gpus_max", 0, 1e9));
    return team;
}

Objective objective_from(const toml::table& t) {
    Objective o;
    o.kind = text_at(t, "kind");
    o.job_class = t.contains("class") ? text_at(t, "class", true) : "";
    o.target_s = t.contains("within_s") ? number_at(t, "within_s", 0, 1e9) : 0;
    o.target_share = t.contains("share") ? number_at(t, "share", 0, 1) : 0;
    return o;
}

StoreLimits store_limits_at(const toml::table& root, const std::string& key) {
    StoreLimits limits;
    limits.write_rps = number_at(root, key + ".write_rps", 1, 1e6);
    limits.value_kb = number_at(root, key + ".value_kb", 2, 64);
    limits.txn_ops = count_at(root, key + ".txn_ops", least_txn_ops, 10000);
    return limits;
}

// What the platform says of workers, state service, cloud and this machine.
void read_platform_limits(const toml::table& root, Settings& s) {
    s.heartbeat_interval_s = number_at(root, "params.workers.report_s", 0.1, 3600);
    s.lease_s = number_at(root, "params.workers.lease_s", 1, 36000);
    s.gang_wait_s = number_at(root, "params.workers.gang_wait_s", 0, 36000);
    s.gang_peer_timeout_s = number_at(root, "params.workers.gang_peer_s", 0, 36000);
    s.cancel_s = number_at(root, "params.workers.cancel_s", 1, 36000);
    s.store_rps = number_at(root, "params.state.rps", 1, 1e6);
    s.store_limits = store_limits_at(root, "params.state");
    s.strictest_limits = s.store_limits;
    if (root.at_path("params.state.next")) {
        const StoreLimits next = store_limits_at(root, "params.state.next");
        s.strictest_limits.write_rps = std::min(s.store_limits.write_rps, next.write_rps);
        s.strictest_limits.value_kb = std::min(s.store_limits.value_kb, next.value_kb);
        s.strictest_limits.txn_ops = std::min(s.store_limits.txn_ops, next.txn_ops);
    }
    s.cloud_rps = number_at(root, "params.cloud.rps", 0.1, 1e6);
    s.list_lag_s = number_at(root, "params.cloud.list_lag_s", 0, 3600);
    s.core_share = number_at(root, "params.machine_limits.core_share", 0.001, 1024);
    s.memory_mb = number_at(root, "params.machine_limits.memory_mb", 16, 1e7);
    s.max_sockets = count_at(root, "params.machine_limits.max_sockets", 32, 1e7);
}

}  // namespace

Settings::Sockets Settings::sockets() const {
    constexpr std::size_t own = 16;  // epoll, listeners, standard streams
    const std::size_t all = max_sockets;
    Sockets s;
    s.store = std::clamp<std::size_t>(all / 8, 4, 16);
    s.cloud = std::clamp<std::size_t>(all / 16, 2, 6);
    s.workers = std::clamp<std::size_t>(all / 12, 4, 256);
    // One each way; a peer that is back after a cut dials anew before the old links are seen to be dead.
    s.peers = 5 * seeds.size() + 8;
    const std::size_t taken = own + s.store + s.cloud + s.workers + s.peers;
    s.server = all > taken + 8 ? all - taken : 8;
    return s;
}

std::vector<NodeName> Settings::all_nodes() const {
    std::vector<NodeName> names{node};
    for (const auto& s : seeds) names.push_back(s.node);
    std::sort(names.begin(), names.end());
    return names;
}

Settings parse_settings(const std::string& text) {
    const toml::table root = parse_toml(text);
    Settings s;
    s.node = NodeName(text_at(root, "node"));
    s.zone = text_at(root, "zone");
    s.api_addr = address_at(root, "api_addr");
    s.cluster_listen = address_at(root, "cluster_listen");
    s.cloud_address = address_at(root, "outside.cloud");
    s.store_address = address_at(root, "outside.state");
    each_table(root, "seeds", [&](const toml::table& t) {
        Seed seed{NodeName(text_at(t, "node")), text_at(t, "zone"), address_at(t, "address")};
        // Some platforms list the node itself among its seeds.
        if (seed.node != s.node) s.seeds.push_back(std::move(seed));
    });
    s.controller_count = count_at(root, "params.size", 1, 1000);
    s.zones = zones_at(root, "params.zones");
    s.max_clock_skew_ms = number_at(root, "params.skew_ms", 0, 1e7);
    each_table(root, "params.teams", [&](const toml::table& t) {
        const Team team = team_from(t);
        s.teams[team.name] = team;
    });
    each_table(root, "params.objectives",
               [&](const toml::table& t) { s.objectives.push_back(objective_from(t)); });
    read_platform_limits(root, s);
    return s;
}

Settings load_settings(const std::string& path) {
    std::ifstream in(path);
    if (!in)
        throw SettingsError(SettingsError::Code::unreadable_file, "",
                            "cannot read settings file '" + path + "'");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_settings(text.str());
}

}  // namespace zincdyke
