/// The simulated hosts and processes of a deployment's controllers.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/node.h"
#include "fakes/network.h"
#include "fakes/random_source.h"
#include "fakes/sim_env.h"
#include "fakes/simulated_clock.h"
#include "message_recorder.h"

namespace zincdyke::testing {

class HttpTransport;

/// Runs real controllers (Node) on simulated hosts, one process per host. Hosts are numbered from 0 and named
/// "n0", "n1" and so on. Tests can start, crash, upgrade and freeze the processes.
class ControllerHosts {
  public:
    ControllerHosts(SimulatedClock& clock, RandomSource& random, FakeNetwork& network,
                    MessageRecorder* recorder)
        : clock_(clock), random_(random), network_(network), recorder_(recorder) {}

    /// Adds a host with the given controller settings, without starting its process.
    void add(Settings settings);
    /// Sets the transport for the controllers' HTTP requests. Must be called once, before any controller
    /// starts.
    void connect(HttpTransport& transport) { transport_ = &transport; }

    [[nodiscard]] std::size_t count() const { return hosts_.size(); }
    [[nodiscard]] static std::string name(std::size_t host) { return "n" + std::to_string(host); }
    [[nodiscard]] bool is_running(std::size_t host) const { return hosts_[host].node != nullptr; }
    [[nodiscard]] bool is_frozen(std::size_t host) const { return hosts_[host].frozen_until > clock_.now(); }
    /// Returns the controller on a host. The host's process must be running.
    [[nodiscard]] Node& node(std::size_t host) { return *hosts_[host].node; }
    [[nodiscard]] const Settings& settings(std::size_t host) const { return hosts_[host].settings; }
    /// Returns the number of the process incarnation on a host. It changes with each start and crash; timers
    /// and messages of an earlier incarnation are not delivered.
    [[nodiscard]] std::uint64_t incarnation(std::size_t host) const { return hosts_[host].incarnation; }

    /// Starts the host's process. Does nothing if the process is already running.
    void start(std::size_t index);
    void crash(std::size_t index);
    /// Suspends the process for `seconds` while its clock continues. Messages that arrive meanwhile are
    /// delivered when the process resumes, before its own timers run.
    void freeze(std::size_t host, double seconds) { hosts_[host].frozen_until = clock_.now() + seconds; }

    /// Makes the host run the production version until it is upgraded. The production version is simulated by
    /// dropping the writes of format level records, which it doesn't support.
    void use_production_version(std::size_t host) { production_hosts_.insert(name(host)); }
    [[nodiscard]] bool runs_production_version(const std::string& name) const {
        return production_hosts_.contains(name);
    }
    /// Stops the process and starts the new version after `down_s` seconds.
    void upgrade(std::size_t host, double down_s);

    /// Runs `fn` if the given incarnation of the host's process is running. If the process is frozen, `fn`
    /// runs `delay` seconds after the process resumes.
    void deliver(std::size_t index, std::uint64_t incarnation, double delay, std::function<void()> fn);
    /// Delivers a frame that a peer sent to the controller `to`.
    void deliver_frame(const NodeName& from, const NodeName& to, const std::string& frame);
    /// Delivers an HTTP request to a running controller. All requests to controllers use this function.
    /// `from` is the sender's name, for the message recorder.
    void request(std::size_t host, const std::string& from, const HttpRequest& request, Reply reply);

    /// Returns the maximum number of requests to workers that a controller had open at the same time.
    [[nodiscard]] std::size_t max_open_worker_requests() const { return max_open_worker_requests_; }
    /// Records that a controller has `count` requests to workers open, for `max_open_worker_requests`.
    void note_open_worker_requests(std::size_t count);

    // Shared objects for the environments (SimEnv) of the controllers.
    [[nodiscard]] SimulatedClock& clock() { return clock_; }
    [[nodiscard]] RandomSource& random() { return random_; }
    [[nodiscard]] FakeNetwork& network() { return network_; }
    [[nodiscard]] HttpTransport& transport() { return *transport_; }
    [[nodiscard]] MessageRecorder* recorder() { return recorder_; }

  private:
    struct Host {
        Settings settings;
        std::unique_ptr<SimEnv> env;  // environment of the controller, which it must outlive
        std::unique_ptr<Node> node;   // the controller; null if its process is not running
        std::uint64_t incarnation = 0;
        double frozen_until = 0;
    };
    SimulatedClock& clock_;
    RandomSource& random_;
    FakeNetwork& network_;
    MessageRecorder* recorder_;
    HttpTransport* transport_ = nullptr;
    std::vector<Host> hosts_;
    std::set<std::string> production_hosts_;
    std::size_t max_open_worker_requests_ = 0;
};

}  // namespace zincdyke::testing
