/// Sends commands directly to workers, without waiting for their next heartbeats.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"
#include "workers/machine_registry.h"
#include "workers/start_tracker.h"

namespace zincdyke {

/// Time that a task may run after a stop command, in addition to the time that it needs to save a checkpoint.
constexpr double save_margin_s = 3;

/// Sends commands to workers before their next heartbeats, to reduce latency. Correctness does not depend on
/// their delivery, because heartbeat responses repeat every command until the worker has executed it. Owns
/// the stop commands that wait to be sent, and the set of preempted task attempts.
class CommandSender {
  public:
    CommandSender(Env& env, const Settings& settings, const StateCache& state_cache,
                  const ClusterCoordinator& cluster, MachineRegistry& registry,
                  const StartTracker& start_tracker);

    /// Sends stop commands for all tasks of a cancelled job that are placed on machines of this node's
    /// shards.
    void stop_job(const JobId& id);
    /// Commands a task attempt to stop in favor of a job of higher rank, with time to save a checkpoint.
    void on_preemption_request(const wire::PreemptionRequest& request);
    /// Requests a heartbeat from a machine for which a start was committed, unless the next regular heartbeat
    /// is close. The request carries no commands, only a higher fencing token; the start command is sent in
    /// the heartbeat's response. A lost, repeated or late request is harmless.
    void request_heartbeat(const MachineId& id);

    /// Whether the attempt was commanded to stop for a job of higher rank.
    [[nodiscard]] bool is_preempted(const TaskAttempt& attempt) const {
        return preempted_attempts_.contains(attempt);
    }
    /// Removes task attempts that have ended from the set of preempted attempts. Called periodically.
    void discard_ended_preemptions();
    /// Returns how many early heartbeats were requested since the process started.
    [[nodiscard]] std::uint64_t heartbeat_request_count() const { return heartbeat_request_count_; }

  private:
    static constexpr std::size_t max_concurrent_stops = 24;
    static constexpr std::size_t max_concurrent_heartbeat_requests = 64;
    // Minimum time between heartbeat requests to one worker, in lease durations. A worker executes at most
    // one such request in half a lease duration.
    static constexpr double heartbeat_request_interval_lease_fraction = 0.51;
    // A heartbeat is requested only if the machine's next regular heartbeat is expected at least this much
    // later. The minimum is lower if the start of a service replica has not been sent yet.
    static constexpr Duration min_heartbeat_wait = std::chrono::seconds(2);
    static constexpr Duration min_heartbeat_wait_for_service = std::chrono::milliseconds(200);
    void send_stops();
    [[nodiscard]] bool should_request_heartbeat(const MachineId& id, const Machine& machine, Term term) const;
    [[nodiscard]] bool has_unsent_service_start(const MachineId& id) const;
    void send_commands(const MachineId& id, const Machine& machine, Term term,
                       const std::vector<wire::Command>& commands, Reply done);
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    MachineRegistry& registry_;
    const StartTracker& start_tracker_;
    std::map<MachineId, std::vector<wire::Command>>
        pending_stops_;  // unsent stop commands for tasks of cancelled jobs
    std::size_t concurrent_stops_ = 0;
    std::size_t concurrent_heartbeat_requests_ = 0;
    std::set<TaskAttempt> preempted_attempts_;
    std::uint64_t heartbeat_request_count_ = 0;
};

}  // namespace zincdyke
