#include "app/peer_heartbeat_sender.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace zincdyke {
namespace {
constexpr Duration heartbeat_interval = std::chrono::milliseconds(500);
// Maximum number of machine statuses in one heartbeat. A longer list is sent in several heartbeats, which
// limits the size of each message.
constexpr std::size_t max_machines_per_heartbeat = 500;
// Only the autoscaler's leader needs up-to-date machine statuses. Other controllers need the machines'
// addresses in case they become leader of a shard. They receive the statuses less often, because processing
// the statuses of a large cluster takes much CPU time.
constexpr std::uint64_t heartbeats_per_autoscaler_status = 2;
constexpr std::uint64_t heartbeats_per_peer_status = 20;
}  // namespace

PeerHeartbeatSender::PeerHeartbeatSender(Env& env, const Settings& settings, PeerRegistry& peers,
                                         const Sources& sources)
    : env_(env), settings_(settings), peers_(peers), heartbeat_sources_(sources) {}

void PeerHeartbeatSender::start() { send_heartbeat(); }

void PeerHeartbeatSender::send_heartbeat() {
    env_.after(heartbeat_interval, [this] { send_heartbeat(); });
    const double write_demand = heartbeat_sources_.committer.sample_write_demand();
    if (heartbeat_sources_.cluster.is_synced())
        heartbeat_sources_.cluster.update_write_share(write_demand, peers_.reachable_write_demands());
    const std::uint64_t heartbeat_number = sent_heartbeats_++;
    wire::PeerHeartbeat heartbeat;
    heartbeat.store_reachable = heartbeat_sources_.store.reachable();
    heartbeat.applied_revision = heartbeat_sources_.state_cache.applied_revision.value();
    heartbeat.write_demand = static_cast<std::uint32_t>(write_demand * write_demand_scale);
    send_acknowledgements(heartbeat);
    if (heartbeat_number % heartbeats_per_autoscaler_status == 0)
        send_machine_statuses(std::move(heartbeat), heartbeat_number % heartbeats_per_peer_status == 0);
}

void PeerHeartbeatSender::send_acknowledgements(wire::PeerHeartbeat heartbeat) {
    for (const auto& seed : settings_.seeds) {
        heartbeat.cancellation_ack = heartbeat_sources_.cancellation_watermark.acknowledgement_for(seed.node);
        peers_.send(seed.node, heartbeat);
    }
}

void PeerHeartbeatSender::send_machine_statuses(wire::PeerHeartbeat heartbeat, bool to_all) {
    const NodeName& autoscaler_leader = heartbeat_sources_.state_cache.autoscaler_leader();
    auto machines = heartbeat_sources_.workers.machine_statuses();
    const auto iterator_at = [&](std::size_t index) {
        return std::make_move_iterator(machines.begin() + static_cast<std::ptrdiff_t>(index));
    };
    std::vector<std::string> frames;
    for (std::size_t first = 0; first == 0 || first < machines.size(); first += max_machines_per_heartbeat) {
        const std::size_t end = std::min(machines.size(), first + max_machines_per_heartbeat);
        heartbeat.machines.assign(iterator_at(first), iterator_at(end));
        heartbeat_sources_.autoscaler.on_peer_heartbeat(settings_.node, heartbeat);
        frames.push_back(wire::encode(heartbeat));
    }
    for (const auto& seed : settings_.seeds) {
        if (!to_all && seed.node != autoscaler_leader) continue;
        for (const auto& frame : frames) env_.send_peer(seed.node, frame);
    }
}

}  // namespace zincdyke
