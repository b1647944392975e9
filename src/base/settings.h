/// Reading and validating the settings file that the platform provides.
#pragma once
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "base/types.h"

namespace zincdyke {

/// Thrown if the settings file cannot be read or has a missing or invalid value. `what()` is the message for
/// the operator: it contains the key and the allowed values.
class SettingsError : public std::runtime_error {
  public:
    enum class Code : std::uint8_t {
        unreadable_file,
        not_toml,
        missing_key,
        invalid_value,  ///< The value has the wrong type or is not in the allowed range or set.
    };
    SettingsError(Code code, std::string key, const std::string& message)
        : std::runtime_error(message), code_(code), key_(std::move(key)) {}

    [[nodiscard]] Code code() const { return code_; }
    /// The full key, such as "params.teams[0].cpus"; empty if the error concerns the whole file.
    [[nodiscard]] const std::string& key() const { return key_; }

  private:
    Code code_;
    std::string key_;
};

/// Another controller of the deployment, as listed in the settings.
struct Seed {
    NodeName node;
    std::string zone, address;
};
/// A team and its quota: guaranteed amounts of CPU and GPU and their limits, all in thousandths. A limit of 0
/// means that the resource is not limited.
struct Team {
    TeamName name;
    std::int64_t cpu = 0, cpu_max = 0, gpu = 0, gpu_max = 0;
    bool has_limit() const { return cpu_max > 0 || gpu_max > 0; }
};
/// A service-level objective for the jobs of one class: `target_share` of them should be started (kind
/// "wait") or finished (kind "finished") within `target_s` seconds.
struct Objective {
    std::string kind, job_class;
    double target_s = 0, target_share = 0;
};

/// Limits of the key-value store: writes per second, size of one value in KB and writes per transaction.
struct StoreLimits {
    double write_rps = 0, value_kb = 0;
    std::uint32_t txn_ops = 1;
    std::size_t max_value_bytes() const { return static_cast<std::size_t>(value_kb * 1024); }
    /// The maximum number of conditions in one transaction.
    std::size_t max_conditions() const { return std::size_t{4} * txn_ops; }
};

/// The validated settings of one controller.
struct Settings {
    NodeName node;
    std::string zone, api_addr, cluster_listen, cloud_address, store_address;
    std::vector<Seed> seeds;
    std::uint32_t controller_count = 1;  ///< Number of controllers in the deployment.
    std::vector<std::string> zones;
    double max_clock_skew_ms = 0;
    std::map<TeamName, Team> teams;
    std::vector<Objective> objectives;
    double heartbeat_interval_s = 0;  ///< Interval between the heartbeats of a worker.
    double lease_s = 0;               ///< Duration of a worker's lease.
    double gang_wait_s = 0;           ///< Time that a gang's task waits on its worker for the other tasks.
    double gang_peer_timeout_s = 0;   ///< Time until a gang's task ends after another member is lost.
    double cancel_s = 0;              ///< Time within which the tasks of a cancelled job must stop.
    double store_rps = 0;             ///< Requests per second that the key-value store accepts.
    StoreLimits store_limits;         ///< The limits currently in force.
    /// The lower of each current limit and its announced successor (`params.state.next`); equal to the
    /// current limits if no successor is announced. All writes respect these limits, because the key-value
    /// store may switch to the announced limits at any time.
    StoreLimits strictest_limits;
    double cloud_rps = 0;         ///< Requests per second that the cloud accepts.
    double cloud_list_lag_s = 0;  ///< Maximum age of the machine list that the cloud returns.
    double cpu_cores = 1;         ///< CPU time that this process may use, in cores.
    double memory_mb = 0;         ///< Memory that this process may use.
    std::uint32_t max_sockets = 1024;

    /// Division of `max_sockets` by use. Outgoing connections and peer links are allotted sockets first;
    /// `server` is the number of incoming connections, from users and workers, that the remaining sockets
    /// allow.
    struct Sockets {
        std::size_t store = 0, cloud = 0, workers = 0, peers = 0, server = 0;
    };
    Sockets sockets() const;

    /// Returns the names of all controllers of the deployment, including this one, in name order.
    std::vector<NodeName> all_nodes() const;
};

/// Reads and validates the settings file at `path`. Throws SettingsError.
Settings load_settings(const std::string& path);
/// Parses and validates the TOML text of a settings file. Throws SettingsError.
Settings parse_settings(const std::string& text);

}  // namespace zincdyke
