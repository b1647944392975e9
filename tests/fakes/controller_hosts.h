/// The controllers of a simulated deployment and the processes that they run in.
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

/// Runs real controllers (Node) on simulated hosts, numbered from 0 and named "n0", "n1" and so on. A process
/// can crash, start, be upgraded or freeze.
class ControllerHosts {
  public:
    ControllerHosts(SimulatedClock& clock, RandomSource& random, FakeNetwork& network,
                    MessageRecorder* recorder)
        : clock_(clock), random_(random), network_(network), recorder_(recorder) {}

    /// Adds a host whose process doesn't run yet.
    void add(Settings settings);
    /// Where the controllers' HTTP requests go. To be called once, before any controller starts.
    void connect(HttpTransport& transport) { transport_ = &transport; }

    [[nodiscard]] std::size_t count() const { return hosts_.size(); }
    [[nodiscard]] static std::string name(std::size_t host) { return "n" + std::to_string(host); }
    [[nodiscard]] bool is_running(std::size_t host) const { return hosts_[host].node != nullptr; }
    [[nodiscard]] bool is_frozen(std::size_t host) const { return hosts_[host].frozen_until > clock_.now(); }
    /// Only while it runs.
    [[nodiscard]] Node& node(std::size_t host) { return *hosts_[host].node; }
    [[nodiscard]] const Settings& settings(std::size_t host) const { return hosts_[host].settings; }
    /// Changes with each start and crash: what belongs to an earlier one is no longer delivered.
    [[nodiscard]] std::uint64_t incarnation(std::size_t host) const { return hosts_[host].incarnation; }

    /// Does nothing if it runs.
    void start(std::size_t index);
    void crash(std::size_t index);
    /// The process stands still for so many seconds while clocks run on. What comes meanwhile waits, and is
    /// handled before the process's own timers.
    void freeze(std::size_t host, double seconds) { hosts_[host].frozen_until = clock_.now() + seconds; }

    /// The host begins with production's version, told apart by its records: it knows no format levels.
    void use_production_version(std::size_t host) { production_hosts_.insert(name(host)); }
    [[nodiscard]] bool runs_production_version(const std::string& name) const {
        return production_hosts_.contains(name);
    }
    /// Ends the process and starts it after so many seconds with the new version.
    void upgrade(std::size_t host, double down_s);

    /// Runs `fn` if that incarnation still runs; if it is frozen, `delay` seconds after it goes on.
    void deliver(std::size_t index, std::uint64_t incarnation, double delay, std::function<void()> fn);
    /// A peer's frame arrives.
    void deliver_frame(const NodeName& from, const NodeName& to, const std::string& frame);
    /// An HTTP request arrives at a controller that runs; all requests to controllers pass here. `from` is
    /// for the recorder alone.
    void request(std::size_t host, const std::string& from, const HttpRequest& request, Reply reply);

    /// The most requests to workers that a controller had open at a time.
    [[nodiscard]] std::size_t max_open_worker_requests() const { return max_open_worker_requests_; }
    void note_open_worker_requests(std::size_t count);

    // What the controllers' environments work with.
    [[nodiscard]] SimulatedClock& clock() { return clock_; }
    [[nodiscard]] RandomSource& random() { return random_; }
    [[nodiscard]] FakeNetwork& network() { return network_; }
    [[nodiscard]] HttpTransport& transport() { return *transport_; }
    [[nodiscard]] MessageRecorder* recorder() { return recorder_; }

  private:
    struct Host {
        Settings settings;
        std::unique_ptr<SimEnv> env;  // outlives the node
        std::unique_ptr<Node> node;   // null: the process doesn't run
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
