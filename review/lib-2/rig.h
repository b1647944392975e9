// Stand-ins for the second review: state service, cloud, workers and users as their pages describe them, on loopback
// addresses and the real clock, and the controllers as separate processes. One event loop serves all stand-ins.
#pragma once
#include <sys/types.h>

#include <csignal>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/env.h"
#include "loop/http_client.h"
#include "loop/http_server.h"
#include "loop/loop.h"
#include "nlohmann/json.hpp"

namespace rig {

using Json = nlohmann::json;
using zincdyke::HttpRequest;
using zincdyke::HttpResponse;
using zincdyke::Reply;

/// Thrown where a case cannot run; run.sh then exits with 2.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Set by signals: the case ends with 2, its processes and its folder with it.
extern volatile std::sig_atomic_t stop_asked;

struct MachineType {
    std::string name;
    double cpus = 0, gpus = 0, ram_gb = 0, cache_gb = 0, fetch_gb_per_s = 1, price = 1, spot_price = 1, boot_s = 30;
};

/// A deployment: the values of a site file that the settings and the stand-ins need.
struct Site {
    int controllers = 3;
    std::vector<std::string> zones;
    double clock_off_ms = 100;
    double rps = 200, write_rps = 20, value_kb = 4, cloud_rps = 8, list_lag_s = 3;
    int txn_ops = 8;
    double state_latency_s = 0.004, cloud_latency_s = 0.15;
    double report_s = 1.5, lease_s = 10, gang_wait_s = 45, gang_peer_s = 6, cancel_s = 35;
    double core_share = 0.08, memory_mb = 56;
    int max_sockets = 900;
    std::string teams;       // TOML tables [[params.teams]]
    std::string objectives;  // TOML tables [[params.objectives]]
    std::vector<MachineType> types;
    double boot_now_s = 1.5;  // how long a rented machine takes here; "at times machines are up within a second or two"
};

struct Task {
    std::string job;
    int index = 0;
    std::uint64_t attempt = 0;
    std::string phase, cause;
    bool kept = false;
    std::uint64_t generation = 0;
};

class Rig;

/// One machine with its worker.
class Worker {
  public:
    Worker(Rig& rig, std::string id, std::string type, std::string zone, bool spot);
    void boot();  // the worker begins to report
    void die();   // the machine stops with all that is on it; it is silent from then on
    void execute(const Json& orders);
    Json report();
    [[nodiscard]] bool holds(const std::string& job, int index) const;

    std::string id, type, zone, address;
    bool spot = false, booted = false, alive = true;
    double created_at = 0, died_at = -1;
    std::map<std::string, Task> tasks;  // by NAME#ATTEMPT
    std::uint64_t tenure = 1, tick = 0, baton = 0;

  private:
    friend class Rig;
    void handle(const HttpRequest& request, const Reply& reply);
    void check_lease();
    void send_report();
    void on_answer(const HttpResponse& response, double sent_at, std::uint64_t sent_tenure);
    void schedule_report(double delay);
    void changed();
    void accept_baton(std::uint64_t token);
    void start(const std::string& name, std::uint64_t attempt);
    void have_image(const std::string& key, std::uint64_t generation);
    void run(const std::string& key);
    void end(const std::string& key, const std::string& cause, bool kept = false);
    void drop_all(const std::string& why);
    Task* find(const std::string& key, std::uint64_t generation);

    Rig& rig_;
    std::unique_ptr<zincdyke::HttpServer> server_;
    std::unique_ptr<zincdyke::HttpClient> client_;
    double lease_from_ = 0, last_report_at_ = -1, last_token_report_at_ = -1e9;
    bool in_flight_ = false, has_change_ = false;
    std::uint64_t timer_ = 0;
    std::size_t node_ = 0;
    std::set<std::string> images_;
};

class Rig {
  public:
    Rig(Site site, std::string program, std::string folder);
    ~Rig();
    Rig(const Rig&) = delete;
    Rig& operator=(const Rig&) = delete;

    [[nodiscard]] double now() const;
    void after(double seconds, std::function<void()> fn);
    void run_for(double seconds);
    bool run_until(const std::function<bool()>& done, double timeout_s);
    void note(const std::string& text);  // a line of record.txt
    double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    // Controllers.
    void start_controllers();
    void start_controller(std::size_t i);
    void signal_controller(std::size_t i, int signal);
    void kill_controller(std::size_t i);
    [[nodiscard]] bool is_running(std::size_t i) const { return nodes_[i].pid > 0; }
    /// Waits until a controller answers /healthz with 200.
    bool wait_healthy(std::size_t i, double timeout_s);
    [[nodiscard]] std::string node_name(std::size_t i) const { return "werf-" + std::to_string(i); }

    // Cloud.
    Worker& add_machine(const std::string& type, const std::string& zone, bool spot, double boot_s);
    Worker* machine(const std::string& id);
    bool cloud_has_capacity = true;
    std::size_t rental_requests = 0;

    // Users.
    void submit(const Json& job);
    void poll(const std::string& id);
    void cancel(const std::string& id);
    [[nodiscard]] std::string phase(const std::string& id) const;
    [[nodiscard]] bool is_accepted(const std::string& id) const { return accepted_at_.contains(id); }
    [[nodiscard]] double accepted_at(const std::string& id) const { return accepted_at_.at(id); }
    [[nodiscard]] double cancelled_at(const std::string& id) const {
        const auto found = cancelled_at_.find(id);
        return found == cancelled_at_.end() ? -1 : found->second;
    }
    [[nodiscard]] std::size_t starts(const std::string& id) const {
        const auto found = starts_.find(id);
        return found == starts_.end() ? 0 : found->second;
    }
    [[nodiscard]] int tasks_on_machines(const std::string& job) const;

    std::map<std::string, double> gpu_limits;  // of teams whose use is checked

    // State service.
    bool state_down = false;
    std::set<std::size_t> refused;  // controllers that the state service answers with 503

    std::map<std::string, std::unique_ptr<Worker>> machines;
    std::vector<std::string> violations;

  private:
    friend class Worker;
    struct Node {
        std::string api, cluster, config, state, cloud;
        pid_t pid = 0;
        std::unique_ptr<zincdyke::HttpServer> state_server;
    };
    struct Entry {
        Json value;
        std::uint64_t stamp = 0, tether = 0;
    };
    struct Change {
        std::string key;
        std::optional<Json> value;
        std::uint64_t stamp = 0;
    };
    struct Watch {
        std::size_t node = 0;
        std::string prefix;
        std::uint64_t after = 0;
        double until = 0;
        Reply reply;
    };
    struct Lease {
        double life_s = 0, ends_at = 0;
    };
    struct Bucket {
        double tokens = -1, at = 0;
    };
    bool take(Bucket& bucket, double rate, double burst, double count) const;
    std::string free_address();
    void write_settings(std::size_t i);
    void tick();
    void handle_state(std::size_t node, const HttpRequest& request, const Reply& reply);
    void commit(const Json& body, const Reply& reply);
    void set_key(const std::string& key, const std::optional<Json>& value, std::uint64_t tether);
    bool answer_watch(Watch& watch, bool timed_out);
    void answer_watches();
    void handle_cloud(const HttpRequest& request, const Reply& reply);
    void remove_machine(const std::string& id);
    void task_started(const Worker& worker, const Task& task);
    void task_stopped(const Worker& worker, const Task& task);
    void gang_lost(const std::string& job, std::uint64_t attempt);
    void gang_waiting(const std::string& job, std::uint64_t attempt);
    void user_request(const HttpRequest& request, double timeout_s,
                      const std::function<void(const HttpResponse&)>& done);
    void saw(const std::string& id, const std::string& what, const HttpResponse& response);

    Site site_;
    std::string program_, folder_, temp_;
    zincdyke::Loop loop_;
    std::mt19937_64 random_{20};
    zincdyke::SteadyTime begun_;
    std::FILE* record_ = nullptr;
    std::vector<Node> nodes_;
    std::map<std::string, Entry> data_;
    std::deque<Change> changes_;
    std::vector<Watch> watches_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 1, next_lease_ = 1;
    Bucket requests_, writes_, cloud_calls_;
    std::string cloud_address_;
    std::unique_ptr<zincdyke::HttpServer> cloud_server_;
    std::map<std::string, std::vector<std::string>> hires_;
    int next_machine_ = 1;
    std::vector<std::unique_ptr<Worker>> gone_;
    std::unique_ptr<zincdyke::HttpClient> users_;
    std::map<std::string, Json> jobs_;
    std::map<std::string, std::string> phases_;
    std::map<std::string, double> accepted_at_, cancelled_at_;
    std::set<std::string> cancel_asked_;
    std::map<std::string, std::size_t> starts_;
    std::map<std::string, std::set<int>> completed_;
    std::map<std::pair<std::string, int>, std::set<std::string>> on_machines_;
};

}  // namespace rig
