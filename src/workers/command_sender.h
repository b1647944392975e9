/// Commands sent straight to workers, without waiting for their next heartbeats.
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

/// What a task gets beyond the time that it needs to save.
constexpr double save_margin_s = 3;

/// Sends commands for speed alone: nothing rests on their arrival, since the responses to heartbeats repeat
/// every command until it is executed. Owns the stops that wait to be sent and the set of preempted tasks.
class CommandSender {
  public:
    CommandSender(Env& env, const Settings& settings, const StateCache& state_cache,
                  const ClusterCoordinator& cluster, MachineRegistry& registry, const StartTracker& starts);

    /// Stops what runs of a cancelled job on our machines.
    void stop_job(const JobId& id);
    /// Stops a task, with time to save if it can.
    void on_preemption_request(const wire::PreemptionRequest& request);
    /// Asks the machine for a heartbeat at once, if that is worth it: a start was committed there. The
    /// command raises the token and names no task; the start goes in the response as always. Lost, repeated
    /// or late it does no harm.
    void request_heartbeat(const MachineId& id);

    /// The attempt was asked to stop for work of higher rank.
    [[nodiscard]] bool is_preempted(const TaskAttempt& attempt) const { return preempted_.contains(attempt); }
    /// Periodic: drops preempted attempts that are over.
    void forget_ended_preemptions();
    /// How many early heartbeats were asked for.
    [[nodiscard]] std::uint64_t heartbeat_request_count() const { return heartbeat_request_count_; }

  private:
    static constexpr std::size_t max_concurrent_stops = 24;
    static constexpr std::size_t max_concurrent_heartbeat_requests = 64;
    // A worker executes one request for a heartbeat in half of a lease.
    static constexpr double heartbeat_request_interval_leases = 0.51;
    // A heartbeat expected sooner is waited for; a replica of a service, wanted at once, hardly waits.
    static constexpr Duration min_heartbeat_wait = std::chrono::seconds(2);
    static constexpr Duration min_heartbeat_wait_for_service = std::chrono::milliseconds(200);
    void send_stops();
    [[nodiscard]] bool should_request_heartbeat(const MachineId& id, const Machine& machine, Term term) const;
    [[nodiscard]] bool has_unsent_service_start(const MachineId& id) const;
    void post(const MachineId& id, const Machine& machine, Term term,
              const std::vector<wire::Command>& commands, Reply done);
    Env& env_;
    const Settings& settings_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    MachineRegistry& registry_;
    const StartTracker& starts_;
    std::map<MachineId, std::vector<wire::Command>> pending_stops_;  // of cancelled jobs
    std::size_t concurrent_stops_ = 0;
    std::size_t concurrent_heartbeat_requests_ = 0;
    std::set<TaskAttempt> preempted_;
    std::uint64_t heartbeat_request_count_ = 0;
};

}  // namespace zincdyke
