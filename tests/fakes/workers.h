/// Simulated workers: boot, heartbeats, leases and commands.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/env.h"
#include "fakes/controller_hosts.h"
#include "fakes/message_faults.h"
#include "fakes/task_runner.h"
#include "fakes/worker.h"

namespace zincdyke::testing {

/// Owns the simulated machines and implements the worker protocol for them. A machine sends heartbeats to one
/// controller at a time, follows redirects to the leader, tries the next controller after an error, and drops
/// all its tasks when its lease expires.
class FakeWorkers {
  public:
    struct Options {
        double heartbeat_interval_s = 1.5, lease_s = 10;
        double tick_s = 0.1;  ///< Interval between a worker's checks of its lease and heartbeat.
    };
    FakeWorkers(Options options, SimulatedClock& clock, RandomSource& random, FakeNetwork& network,
                const MessageFaults& faults, ControllerHosts& controllers, HistoryChecker& checker,
                const SubmittedJobs& jobs);

    /// Creates a machine that sends its first heartbeat after `boot_s` seconds.
    FakeWorker& add(const std::string& type, const std::string& zone, bool spot, double boot_s);
    /// Crashes a machine. The cloud still lists it.
    void crash(const std::string& id);
    /// Terminates and removes a machine. The cloud no longer lists it.
    void remove(const std::string& id);
    /// Suspends a machine's agent for `seconds`. Requests that arrive meanwhile are executed afterwards.
    void hang(const std::string& id, double seconds);
    /// Announces the spot preemption of a machine, which then crashes after `delay_s` seconds.
    void announce_preemption(const std::string& id, double delay_s);

    [[nodiscard]] FakeWorkerMap& all() { return workers_; }
    [[nodiscard]] const FakeWorkerMap& all() const { return workers_; }
    [[nodiscard]] std::optional<std::string> find_by_address(const std::string& address) const;
    /// Returns the number of the job's tasks that have fetched their image and have not ended.
    [[nodiscard]] int executing_tasks(const std::string& job) const;
    [[nodiscard]] double lease_s() const { return options_.lease_s; }

    /// Executes a direct request from a controller to a worker: a command or a request for its state.
    /// Requests to a hung worker are deferred until it resumes.
    void handle(const std::string& id, const HttpRequest& request, const Reply& reply);
    /// Executes a direct request to a worker immediately, even if the worker hangs.
    void handle_while_hung(const std::string& id, const HttpRequest& request, const Reply& reply);

    /// Delivers a heartbeat with the machine's current state to a controller after `delay` seconds.
    void duplicate_heartbeat(const std::string& id, std::size_t controller, double delay);
    /// Delivers the heartbeats kept for a machine's next leader if the machine has a new leader. Must be
    /// called every 0.1 s.
    void replay_kept_heartbeats();

    /// Ids of machines whose heartbeats are lost. Direct commands still reach these machines.
    std::set<std::string> machines_without_heartbeats;
    /// If true, all tasks fail on machines that are created from now on.
    bool new_machines_are_faulty = false;
    FakeTaskRunner tasks;

  private:
    struct Heartbeat {
        std::string machine, body;
        std::uint64_t number = 0, agent_epoch = 0;
        std::size_t controller = 0;
        double sent_at = 0;
    };
    struct KeptHeartbeat {
        std::string machine, body;
        Term term;  // term of the leader that received the heartbeat
    };
    void tick(const std::string& id);
    void send_heartbeat(FakeWorker& worker);
    void deliver(const Heartbeat& heartbeat);
    void on_response(const Heartbeat& heartbeat, const HttpResponse& response);
    void follow_redirect(const Heartbeat& heartbeat, const std::string& leader);
    /// Ends a heartbeat and schedules the next one to controller `next` after `wait_s` seconds. Returns false
    /// if the heartbeat is not awaiting a response.
    bool finish_heartbeat(const Heartbeat& heartbeat, double wait_s, std::size_t next);
    void deliver_duplicate(std::size_t controller, const std::string& body);
    void keep_for_next_leader(const Heartbeat& heartbeat);
    std::string state_report(FakeWorker& worker);
    void execute(FakeWorker& worker, const HttpRequest& request, const Reply& reply);
    void accept_token(FakeWorker& worker, std::uint64_t token);

    Options options_;
    SimulatedClock& clock_;
    RandomSource& random_;
    FakeNetwork& network_;
    const MessageFaults& faults_;
    ControllerHosts& controllers_;
    HistoryChecker& checker_;
    FakeWorkerMap workers_;
    std::map<std::string, std::string> machine_by_address_;
    std::uint64_t last_machine_number_ = 0;  // number in the id of the last machine created
    std::vector<KeptHeartbeat> kept_heartbeats_;
};

}  // namespace zincdyke::testing
