/// Announces a shard's new leader to the machines of the shard.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"
#include "workers/machine_registry.h"

namespace zincdyke {

/// Sends this node's term to machines that have not received it yet. Without these announcements, workers
/// would keep obeying a former leader that can reach only them, and would keep running cancelled tasks. Owns
/// the addresses of the machines in all shards, which come from peer heartbeats and from the cloud's machine
/// list.
class LeadershipAnnouncer {
  public:
    LeadershipAnnouncer(Env& env, const StateCache& state_cache, const ClusterCoordinator& cluster,
                        MachineRegistry& registry);

    /// Updates the stored machine addresses with those that a peer's heartbeat contains.
    void on_peer_heartbeat(const wire::PeerHeartbeat& heartbeat);
    /// Updates the stored machine addresses with those that the cloud's machine list contains.
    void on_machines_discovered(const wire::MachinesDiscoveredNotification& notification);
    /// Discards the address of a terminated machine, unless a request to the machine is in flight.
    void on_machine_terminated(const MachineId& id);
    /// Resets the retry delays of the shard's machines, so that all announcements to them are due now.
    void reset_retries(std::uint32_t shard);
    /// Announces this node's term to the machines of its shards that have not received the term, except to
    /// those whose retry delay has not passed. At most 24 requests are in flight. Called periodically, and
    /// when this node acquires a shard.
    void send_due_announcements();

    /// Returns the number of machines with a known address, by shard.
    [[nodiscard]] std::map<std::uint32_t, std::size_t> machine_counts_by_shard() const;

  private:
    static constexpr std::size_t max_concurrent_announcements = 24;
    static constexpr Duration address_timeout = std::chrono::seconds(120);
    static constexpr Duration first_retry_delay = std::chrono::milliseconds(500);
    static constexpr Duration max_retry_delay = std::chrono::seconds(4);
    static constexpr int max_retry_doublings = 3;
    /// Address of a machine, and the progress of the announcements to it.
    struct AnnouncementTarget {
        std::string address;
        std::uint64_t agent_epoch = 1;
        SteadyTime address_confirmed_at{}, next_attempt_at{};
        int attempt_count = 0;
        bool is_in_flight = false;
    };
    [[nodiscard]] bool can_store_address(const MachineId& id) const;
    void announce_term(const MachineId& id, AnnouncementTarget& target, Term term);
    void on_response(const MachineId& id, Term term, const HttpResponse& response);
    void schedule_retry(AnnouncementTarget& target) const;
    Env& env_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    MachineRegistry& registry_;
    std::map<MachineId, AnnouncementTarget> targets_;
    std::size_t in_flight_count_ = 0;
};

}  // namespace zincdyke
