/// A valid settings file. Tests use it as it is, or change single lines.
#pragma once

namespace zincdyke {

inline constexpr const char* valid_settings = R"(
node = "n0"
zone = "a"
api_addr = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
unknown_field = 3
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
size = 1
zones = ["a"]
skew_ms = 25.0
[params.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 30.0
[params.state]
rps = 200.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 4.0
list_lag_s = 10.0
[params.machine_limits]
core_share = 0.12
memory_mb = 72.0
max_sockets = 1200
)";

}  // namespace zincdyke
