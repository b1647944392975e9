#include "fakes/simulated_deployment.h"

#include <memory>
#include <optional>

namespace zincdyke::testing {

namespace {

constexpr double tick_interval_s = 0.1;

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string address(int controller, const std::string& port) {
    return quoted("10.0.0." + std::to_string(controller + 1) + ":" + port);
}

std::string line(const std::string& key, double value) { return key + " = " + std::to_string(value) + "\n"; }
std::string line(const std::string& key, int value) { return key + " = " + std::to_string(value) + "\n"; }

std::string node_section(const DeploymentOptions& options, int controller) {
    std::string text = "node = " + quoted(ControllerHosts::name(static_cast<std::size_t>(controller))) +
                       "\nzone = \"a\"\napi_addr = " + address(controller, "8080") +
                       "\ncluster_listen = " + address(controller, "8081") + "\n";
    for (int seed = 0; seed < options.controllers; ++seed)
        if (seed != controller)
            text += "[[seeds]]\nnode = " + quoted(ControllerHosts::name(static_cast<std::size_t>(seed))) +
                    "\nzone = \"a\"\naddress = " + address(seed, "8081") + "\n";
    return text;
}

std::string store_section(const DeploymentOptions& options) {
    std::string text = "[params.state]\n" + line("rps", options.store_requests_per_s) +
                       line("write_rps", options.store_writes_per_s) +
                       line("value_kb", options.max_value_kb) + line("txn_ops", options.max_operations);
    if (options.next_max_value_kb > 0)
        text += "[params.state.next]\n" + line("write_rps", options.next_store_writes_per_s) +
                line("value_kb", options.next_max_value_kb) + line("txn_ops", options.next_max_operations);
    return text;
}

/// Returns the settings of a controller, in TOML.
std::string settings_text(const DeploymentOptions& options, int controller) {
    std::string zones;
    for (const auto& zone : options.zones) zones += (zones.empty() ? "" : ", ") + quoted(zone);
    return node_section(options, controller) + "[outside]\ncloud = " + quoted(HttpTransport::cloud_address) +
           "\nstate = " + quoted(HttpTransport::store_address) + "\n[params]\n" +
           line("size", options.controllers) + "zones = [" + zones + "]\nskew_ms = 100.0\n" + options.teams +
           "[params.workers]\n" + line("report_s", options.heartbeat_interval_s) +
           line("lease_s", options.lease_s) + "gang_wait_s = 30.0\ngang_peer_s = 4.0\n" +
           line("cancel_s", options.cancel_s) + store_section(options) + "[params.cloud]\n" +
           line("rps", options.cloud_requests_per_s) + "list_lag_s = 3.0\n[params.machine_limits]\n" +
           "core_share = 0.1\n" + line("memory_mb", options.memory_mb) +
           line("max_sockets", options.max_sockets);
}

FakeCloud::Options cloud_options(const DeploymentOptions& options) {
    return {options.zones, options.boot_s, options.enforce_rate_limits ? options.cloud_requests_per_s : 0,
            options.cloud_capacity};
}

}  // namespace

SimulatedDeployment::SimulatedDeployment(Options options)
    : options_(std::move(options)),
      random(options_.seed),
      network(clock, random),
      store(clock, options_.recorder),
      controllers(clock, random, network, options_.recorder),
      users(clock, random, network, faults, controllers, checker),
      workers({options_.heartbeat_interval_s, options_.lease_s, options_.worker_tick_s}, clock, random,
              network, faults, controllers, checker, users.jobs()),
      cloud(cloud_options(options_), clock, random, workers),
      transport_({clock, random, network, faults, controllers, store, cloud, workers}),
      waiting_jobs_(clock, checker, users, workers) {
    checker.cancel_s = options_.cancel_s;
    if (options_.enforce_rate_limits) {
        store.max_requests_per_s = options_.store_requests_per_s;
        store.max_writes_per_s = options_.store_writes_per_s;
    }
    store.list_page_size = options_.list_page_size;
    store.max_operations = static_cast<std::size_t>(options_.max_operations);
    store.max_value_bytes = static_cast<std::size_t>(options_.max_value_kb * 1024);
    add_controllers();
    clock.after(tick_interval_s, [this] { tick(); });
}

void SimulatedDeployment::add_controllers() {
    controllers.connect(transport_);
    for (int i = 0; i < options_.controllers; ++i)
        controllers.add(parse_settings(settings_text(options_, i)));
    for (const int i : options_.production_controllers) controllers.use_production_version(index(i));
    for (const auto& [name, team] : controllers.settings(0).teams)
        checker.limits[name.value()] = {static_cast<double>(team.cpu_max) / 1000,
                                        static_cast<double>(team.gpu_max) / 1000};
    for (int i = 0; i < options_.controllers; ++i) start_controller(i);
}

void SimulatedDeployment::tick() {
    store.tick();
    checker.tick(now());
    waiting_jobs_.tick();
    workers.replay_kept_heartbeats();
    clock.after(tick_interval_s, [this] { tick(); });
}

Json SimulatedDeployment::job(const std::string& id, int tasks, double cpu, double run_s,
                              const std::string& team) {
    return {{"uid", id},          {"ilk", "c"},      {"crew", team},     {"shape", "batch"},
            {"rank", "standard"}, {"shards", tasks}, {"vcpus", cpu},     {"gpus", 0.0},
            {"ram_gb", 1.0},      {"cask", "img"},   {"image_gb", 0.5},  {"one_zone", false},
            {"apart", false},     {"loaners", true}, {"guess_s", run_s}, {"mark_every_s", 0.0},
            {"stow_s", 0.0},      {"real_s", run_s}};
}

HttpResponse SimulatedDeployment::request(int i, const std::string& method, const std::string& path,
                                          const std::string& body, double timeout) {
    auto response = std::make_shared<std::optional<HttpResponse>>();
    controllers.request(index(i), "users", {method, path, body},
                        [response](HttpResponse received) { *response = std::move(received); });
    run_until([response] { return response->has_value(); }, timeout);
    return response->value_or(HttpResponse{});
}

}  // namespace zincdyke::testing
