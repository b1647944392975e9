/// The simulated workers: booting, heartbeats, leases, and commands.
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

/// Owns the machines and speaks the worker's protocol for them. A machine sends heartbeats to one controller
/// at a time, follows redirects, tries the next after an error, and drops its tasks when its lease expires.
class FakeWorkers {
  public:
    struct Options {
        double heartbeat_interval_s = 1.5, lease_s = 10;
        double tick_s = 0.1;  ///< How often a worker looks at its clock.
    };
    FakeWorkers(Options options, SimulatedClock& clock, RandomSource& random, FakeNetwork& network,
                const MessageFaults& faults, ControllerHosts& controllers, HistoryChecker& checker,
                const SubmittedJobs& jobs);

    /// Creates a machine that begins to send heartbeats after `boot_s`.
    FakeWorker& add(const std::string& type, const std::string& zone, bool spot, double boot_s);
    /// It crashes, and the cloud goes on listing it.
    void crash(const std::string& id);
    /// It is terminated, and no longer exists.
    void remove(const std::string& id);
    /// It executes nothing for so many seconds; what reaches it meanwhile is carried out afterwards.
    void hang(const std::string& id, double seconds);
    /// The cloud announces that it will take the machine, and does so after that many seconds.
    void announce_preemption(const std::string& id, double in_s);

    [[nodiscard]] FakeWorkerMap& all() { return workers_; }
    [[nodiscard]] const FakeWorkerMap& all() const { return workers_; }
    [[nodiscard]] std::optional<std::string> find_by_address(const std::string& address) const;
    /// Number of the job's tasks that have their image and have not ended.
    [[nodiscard]] int executing_tasks(const std::string& job) const;
    [[nodiscard]] double lease_s() const { return options_.lease_s; }

    /// A direct request to a worker: a command, or a request for its state.
    void handle(const std::string& id, const HttpRequest& request, const Reply& reply);
    void handle_while_hung(const std::string& id, const HttpRequest& request, const Reply& reply);

    /// The heartbeat that the machine would send now arrives at that controller after `delay`.
    void duplicate_heartbeat(const std::string& id, std::size_t controller, double delay);
    /// To be called every 0.1 s: heartbeats kept for a machine's next leader arrive there once there is one.
    void replay_kept_heartbeats();

    /// Machines that reach no controller, while direct commands reach them.
    std::set<std::string> machines_without_heartbeats;
    /// All tasks fail on machines created from now on.
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
        Term term;  // of the leader that it was sent to
    };
    void tick(const std::string& id);
    void send_heartbeat(FakeWorker& worker);
    void deliver(const Heartbeat& heartbeat);
    void on_response(const Heartbeat& heartbeat, const HttpResponse& response);
    void follow_redirect(const Heartbeat& heartbeat, const std::string& leader);
    /// The next heartbeat is sent to `next` after `wait_s`. False if this one no longer waits for its
    /// response.
    bool finish(const Heartbeat& heartbeat, double wait_s, std::size_t next);
    void arrive_duplicate(std::size_t controller, const std::string& body);
    void keep_for_next_leader(const Heartbeat& heartbeat);
    std::string state_report(FakeWorker& worker);
    void respond(FakeWorker& worker, const HttpRequest& request, const Reply& reply);
    void accept_token(FakeWorker& worker, std::uint64_t token);

    Options options_;
    SimulatedClock& clock_;
    RandomSource& random_;
    FakeNetwork& network_;
    const MessageFaults& faults_;
    ControllerHosts& controllers_;
    HistoryChecker& checker_;
    FakeWorkerMap workers_;
    std::map<std::string, std::string> by_address_;
    std::uint64_t last_number_ = 0;  // of a machine's name
    std::vector<KeptHeartbeat> kept_heartbeats_;
};

}  // namespace zincdyke::testing
