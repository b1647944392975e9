/// Tells machines of a shard's new leader.
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

/// Workers that a former leader can still reach must learn the new term, or they would stay with it: a
/// controller cut off from all but its workers would keep them, their cancelled tasks included, for as long
/// as the cut lasts. Owns the addresses at which machines can be told, of all shards, since leadership may
/// come at any time; they come from the other controllers and from the cloud's list.
class LeadershipAnnouncer {
  public:
    LeadershipAnnouncer(Env& env, const StateCache& state_cache, const ClusterCoordinator& cluster,
                        MachineRegistry& registry);

    /// Addresses of the peer's machines.
    void on_peer_heartbeat(const wire::PeerHeartbeat& heartbeat);
    /// Addresses from the cloud's list.
    void on_machines_discovered(const wire::MachinesDiscoveredNotification& notification);
    /// The machine is gone: nothing more is sent to its address.
    void on_machine_terminated(const MachineId& id);
    /// The shard's machines are to be told anew, without a pause.
    void restart(std::uint32_t shard);
    /// Periodic: tells those of our machines that have not shown our term, some at a time.
    void announce_due();

    /// How many machines of each shard have a known address.
    [[nodiscard]] std::map<std::uint32_t, std::size_t> machine_counts() const;

  private:
    static constexpr std::size_t max_concurrent_announcements = 24;
    static constexpr Duration address_timeout = std::chrono::seconds(120);
    static constexpr Duration first_retry_delay = std::chrono::milliseconds(500);
    static constexpr Duration max_retry_delay = std::chrono::seconds(4);
    static constexpr int max_doublings = 3;
    struct Target {
        std::string address;
        std::uint64_t agent_epoch = 1;
        SteadyTime last_confirmed{}, next_attempt{};
        int attempts = 0;
        bool is_in_flight = false;
    };
    [[nodiscard]] bool may_keep(const MachineId& id) const;
    void announce(const MachineId& id, Target& target, Term term);
    void on_response(const MachineId& id, Term term, const HttpResponse& response);
    void schedule_retry(Target& target) const;
    Env& env_;
    const StateCache& state_cache_;
    const ClusterCoordinator& cluster_;
    MachineRegistry& registry_;
    std::map<MachineId, Target> targets_;
    std::size_t in_flight_count_ = 0;
};

}  // namespace zincdyke
