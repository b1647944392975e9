/// The platform's settings file and what the program makes of it.
#pragma once
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "base/types.h"

namespace zincdyke {

/// Why the settings cannot be used. `what()` is the line for the operator: it names the key and says what is
/// allowed.
class SettingsError : public std::runtime_error {
  public:
    enum class Code : std::uint8_t {
        unreadable_file,
        not_toml,
        missing_key,
        invalid_value,  ///< Of the wrong type, out of range or not one of the allowed values.
    };
    SettingsError(Code code, std::string key, const std::string& message)
        : std::runtime_error(message), code_(code), key_(std::move(key)) {}

    [[nodiscard]] Code code() const { return code_; }
    /// The full key, such as "params.teams[0].cpus"; empty: the file as a whole.
    [[nodiscard]] const std::string& key() const { return key_; }

  private:
    Code code_;
    std::string key_;
};

struct Seed {
    NodeName node;
    std::string zone, address;
};
struct Team {
    TeamName name;
    std::int64_t cpu = 0, cpu_max = 0, gpu = 0, gpu_max = 0;  // thousandths; a maximum of 0 means no limit
    bool limited() const { return cpu_max > 0 || gpu_max > 0; }
};
struct Objective {
    std::string kind, job_class;
    double target_s = 0, target_share = 0;
};

// What the state service takes: changes a second, and of one transaction its changes and each value's size.
struct StoreLimits {
    double write_rps = 0, value_kb = 0;
    std::uint32_t txn_ops = 1;
    std::size_t max_value_bytes() const { return static_cast<std::size_t>(value_kb * 1024); }
    // Conditions of one transaction.
    std::size_t max_conditions() const { return std::size_t{4} * txn_ops; }
};

struct Settings {
    NodeName node;
    std::string zone, api_addr, cluster_listen, cloud_address, store_address;
    std::vector<Seed> seeds;
    std::uint32_t controller_count = 1;
    std::vector<std::string> zones;
    double max_clock_skew_ms = 0;
    std::map<TeamName, Team> teams;
    std::vector<Objective> objectives;
    double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_timeout_s = 0, cancel_s = 0;
    double store_rps = 0;
    StoreLimits store_limits;  // today's
    // Today's or the announced next ones (`state.next`), whichever are lower: the state service changes to
    // those without notice, so that what is written keeps to these. Equal to today's where none are
    // announced.
    StoreLimits strictest_limits;
    double cloud_rps = 0, list_lag_s = 0;
    double core_share = 1, memory_mb = 0;
    std::uint32_t max_sockets = 1024;

    // How the sockets are shared out. What users and workers may hold is what our own calls leave.
    struct Sockets {
        std::size_t store = 0, cloud = 0, workers = 0, peers = 0, server = 0;
    };
    Sockets sockets() const;

    // All nodes of the deployment, this one included, in name order.
    std::vector<NodeName> all_nodes() const;
};

/// Both throw SettingsError.
Settings load_settings(const std::string& path);
Settings parse_settings(const std::string& text);

}  // namespace zincdyke
