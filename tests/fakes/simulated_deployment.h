/// A complete in-memory deployment: real controllers with a simulated network, key-value store, cloud,
/// workers and users, which share one simulated clock and one seeded random number generator.
#pragma once
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "fakes/cloud.h"
#include "fakes/controller_hosts.h"
#include "fakes/history_checker.h"
#include "fakes/http_transport.h"
#include "fakes/key_value_store.h"
#include "fakes/message_faults.h"
#include "fakes/network.h"
#include "fakes/random_source.h"
#include "fakes/simulated_clock.h"
#include "fakes/users.h"
#include "fakes/waiting_job_monitor.h"
#include "fakes/workers.h"
#include "message_recorder.h"

namespace zincdyke::testing {

/// The configuration of a simulated deployment: the controllers' settings and the options of the fakes.
struct DeploymentOptions {
    std::uint64_t seed = 1;
    int controllers = 3;
    std::vector<std::string> zones{"a"};
    /// Team sections of the controllers' settings, in TOML.
    std::string teams =
        "[[params.teams]]\nname = \"red\"\ncpus = 0\ncpus_max = 0\ngpus = 0\ngpus_max = 0\n"
        "[[params.teams]]\nname = \"blue\"\ncpus = 0\ncpus_max = 12\ngpus = 0\ngpus_max = 0\n";
    int cloud_capacity = 40;  ///< Maximum number of machines that exist at the same time.
    double boot_s = 5;
    double heartbeat_interval_s = 1.5, lease_s = 10, cancel_s = 30;
    /// Limits of the key-value store and the cloud in the controllers' settings. The fake store also uses
    /// `max_value_kb` and `max_operations` (per transaction) as its own size limits.
    double max_value_kb = 4;
    int max_operations = 8;
    double store_requests_per_s = 200, store_writes_per_s = 40, cloud_requests_per_s = 8;
    /// If true, the key-value store and the cloud reject requests over these rates.
    bool enforce_rate_limits = false;
    /// Future limits of the key-value store in the controllers' settings; 0: no change is announced.
    double next_max_value_kb = 0, next_store_writes_per_s = 0;
    int next_max_operations = 0;
    double memory_mb = 56;  ///< Memory limit of a controller process.
    int max_sockets = 900;
    /// Items per page of the store's lists; small, so that tests cover paging.
    std::size_t list_page_size = 7;
    double worker_tick_s = 0.1;  ///< Interval between a worker's checks of its lease and heartbeat.
    /// Numbers of the controllers that run the production version until they are upgraded.
    std::set<int> production_controllers;
    /// Recorder of all messages; null: messages are not recorded. Must outlive the deployment.
    MessageRecorder* recorder = nullptr;
};

/// A simulated deployment of controllers and fakes. Tests inject faults by setting fields of the fakes, such
/// as `store.outage` or `network.loss_probability`; the member functions are shortcuts for common operations.
/// Controllers are numbered from 0. All times are in simulated seconds.
class SimulatedDeployment {
  public:
    using Options = DeploymentOptions;
    explicit SimulatedDeployment(Options options = {});
    ~SimulatedDeployment() { clock.clear(); }
    SimulatedDeployment(const SimulatedDeployment&) = delete;
    SimulatedDeployment& operator=(const SimulatedDeployment&) = delete;

    // Simulated time and random numbers.
    [[nodiscard]] double now() const { return clock.now(); }
    void after(double delay, std::function<void()> fn) { clock.after(delay, std::move(fn)); }
    void run(double seconds) { clock.run(seconds); }
    bool run_until(const std::function<bool()>& condition, double timeout) {
        return clock.run_until(condition, timeout);
    }
    double chance() { return random.chance(); }

    // Controllers.
    [[nodiscard]] int controller_count() const { return static_cast<int>(controllers.count()); }
    [[nodiscard]] static std::string controller_name(int i) { return ControllerHosts::name(index(i)); }
    [[nodiscard]] bool is_running(int i) const { return controllers.is_running(index(i)); }
    [[nodiscard]] Node& controller(int i) { return controllers.node(index(i)); }
    void start_controller(int i) { controllers.start(index(i)); }
    void crash_controller(int i) { controllers.crash(index(i)); }
    void freeze_controller(int i, double seconds) { controllers.freeze(index(i), seconds); }
    void upgrade_controller(int i, double down_s = 0.5) { controllers.upgrade(index(i), down_s); }
    /// Sends an HTTP request directly to a controller, bypassing the network, and runs the simulation until
    /// the response arrives. Returns an empty response after `timeout` seconds.
    HttpResponse request(int i, const std::string& method, const std::string& path,
                         const std::string& body = "", double timeout = 5);

    void set_link(const std::string& one, const std::string& other, LinkState state) {
        network.set_link(one, other, state);
    }

    // Users and their jobs.
    /// Returns the submission body of a batch job. Tests may change its fields.
    [[nodiscard]] static Json job(const std::string& id, int tasks, double cpu = 1, double run_s = 5,
                                  const std::string& team = "red");
    void submit(const Json& body, int controller = FakeUsers::any_controller) {
        users.submit(body, controller);
    }
    void poll(const std::string& id, int controller = FakeUsers::any_controller) {
        users.poll(id, controller);
    }
    void cancel(const std::string& id, int controller = FakeUsers::any_controller) {
        users.cancel(id, controller);
    }
    [[nodiscard]] std::string last_phase(const std::string& id) const { return users.last_phase(id); }
    [[nodiscard]] bool is_done(const std::string& id) const { return last_phase(id) == "done"; }
    [[nodiscard]] bool is_accepted(const std::string& id) const { return users.is_accepted(id); }

  private:
    Options options_;

  public:
    SimulatedClock clock;
    RandomSource random;
    MessageFaults faults;
    HistoryChecker checker;
    FakeNetwork network;
    FakeKeyValueStore store;
    ControllerHosts controllers;
    FakeUsers users;
    FakeWorkers workers;
    FakeCloud cloud;

  private:
    static std::size_t index(int i) { return static_cast<std::size_t>(i); }
    void add_controllers();
    void tick();
    HttpTransport transport_;
    WaitingJobMonitor waiting_jobs_;
};

}  // namespace zincdyke::testing
