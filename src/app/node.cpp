#include "app/node.h"

#include <algorithm>
#include <iterator>

#include "base/log.h"

namespace zincdyke {
namespace {
constexpr Duration beat_every = std::chrono::milliseconds(500);
constexpr Duration outage_grace = std::chrono::milliseconds(3500);
constexpr Duration peer_quiet = std::chrono::milliseconds(1800);
constexpr std::size_t most_in_beat = 500;      // machines; the rest follow in further messages
constexpr std::uint64_t machines_every = 2;    // beats that tell the supplier of machines
constexpr std::uint64_t addresses_every = 20;  // and all others
constexpr double demand_scale = 100;           // in a beat's whole number
}  // namespace

Node::Node(Env& env, const Settings& settings, const Policy& policy)
    : env_(env),
      settings_(settings),
      state_cache_(settings, *this),
      store_(env, settings),
      cloud_(env, settings),
      cluster_(env, settings, store_, state_cache_, *this),
      format_level_(env, settings, store_, state_cache_, cluster_),
      cancellation_watermark_(env, settings, state_cache_),
      committer_(env, settings, store_, state_cache_, cluster_, *this),
      workers_(env, settings, state_cache_, cluster_, cancellation_watermark_, committer_, *this),
      api_(env, settings, store_, state_cache_, cluster_, *this),
      relay_(env, settings, store_, state_cache_, cluster_, committer_, *this),
      autoscaler_(env, settings, policy, store_, state_cache_, cluster_, cloud_, *this) {}

void Node::start() {
    cluster_.start();
    format_level_.start();
    committer_.start();
    workers_.start();
    relay_.start();
    autoscaler_.start();
    beat();
}

void Node::send(const NodeName& to, wire::PeerMessage m) {
    if (to == settings_.node) {
        // Through the loop as well: no actor is called back from within its own call.
        env_.after(Duration(0), [this, m = std::move(m)] { on_peer(settings_.node, m); });
        return;
    }
    env_.send_peer(to, wire::encode(m));
}

void Node::beat() {
    env_.after(beat_every, [this] { beat(); });
    const double demand = committer_.sample_write_demand();
    std::map<NodeName, double> heard;
    for (const auto& [n, p] : peers_)
        if (is_reachable(n)) heard[n] = p.write_demand;
    if (cluster_.is_synced()) cluster_.update_write_share(demand, heard);
    // What each machine does matters to the supplier alone; the others must know where to announce
    // themselves, should a part fall to them. Told to all each time, the machines of a large fleet took more
    // of the processors than the work.
    const NodeName& supplier = state_cache_.autoscaler_leader();
    const std::uint64_t beat = beats_++;
    const bool all = beat % addresses_every == 0, to_supplier = beat % machines_every == 0;
    wire::PeerHeartbeat b{{},
                          store_.reachable(),
                          state_cache_.applied_revision.value(),
                          static_cast<std::uint32_t>(demand * demand_scale),
                          {}};
    for (const auto& s : settings_.seeds) {
        b.cancellation_ack = cancellation_watermark_.acknowledgement_for(s.node);
        send(s.node, b);
    }
    b.cancellation_ack = {};
    if (!to_supplier) return;
    auto machines = workers_.machine_statuses();
    std::vector<std::string> full;
    for (std::size_t at = 0; at == 0 || at < machines.size(); at += most_in_beat) {
        const auto end = std::min(machines.size(), at + most_in_beat);
        b.machines.assign(std::make_move_iterator(machines.begin() + static_cast<std::ptrdiff_t>(at)),
                          std::make_move_iterator(machines.begin() + static_cast<std::ptrdiff_t>(end)));
        autoscaler_.on_peer_heartbeat(settings_.node, b);
        full.push_back(wire::encode(b));
    }
    for (const auto& s : settings_.seeds) {
        if (!all && s.node != supplier) continue;
        for (const auto& frame : full) env_.send_peer(s.node, frame);
    }
}

bool Node::is_reachable(const NodeName& peer) const {
    const auto p = peers_.find(peer);
    return p != peers_.end() && p->second.store_reachable && env_.now() - p->second.heard < peer_quiet;
}

std::vector<NodeName> Node::reachable_nodes() const {
    std::vector<NodeName> out{settings_.node};
    for (const auto& [n, p] : peers_)
        if (is_reachable(n)) out.push_back(n);
    return out;
}

bool Node::healthy() {
    if (!cluster_.is_synced() || !api_.ready()) return false;
    // An outage for all reaches the nodes one by one: a node that left the list at the first sign of it,
    // while its peers were not yet aware, would be kept off the list long after.
    if (store_.unreachable_for() < outage_grace) return true;
    // When nobody is served, leaving the load balancer's list helps no user and only delays the return to it.
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& p) { return is_reachable(p.first); });
}

void Node::on_request(const HttpRequest& req, const Reply& reply) {
    if (req.path == "/checkin") {
        if (req.method != "POST") return reply({405, "{}", -1});
        auto r = wire::parse_heartbeat(req.body);
        if (!r) {
            log::warn("event=bad_report bytes={}", req.body.size());
            return reply({400, "{}", -1});
        }
        return workers_.handle_heartbeat(*r, reply);
    }
    if (req.path == "/healthz") return reply({healthy() ? 200 : 503, "{}", -1});
    if (req.path == "/internal/status") return reply({200, status(), -1});
    if (api_.handle(req, reply)) return;
    reply({404, R"({"error":"no such path"})", -1});
}

std::string Node::status() {
    Json parts = Json::array();
    for (const Shard& part : state_cache_.shards())
        parts.push_back({{"owner", part.leader.value()}, {"term", part.term.value()}});
    Json waiting_for = Json::array();
    for (const auto& node : format_level_.waiting_for()) waiting_for.push_back(node.value());
    Json starts = Json::object();
    for (const auto& [job_class, steps] : workers_.start_times().by_class())
        for (std::size_t i = 0; i < steps.size(); ++i)
            starts[job_class][step_name(static_cast<StartStep>(i))] = steps[i];
    return Json{{"node", settings_.node.value()},
                {"synced", cluster_.is_synced()},
                {"state_service", store_.reachable()},
                {"supplier", state_cache_.autoscaler_leader().value()},
                {"revision", state_cache_.applied_revision.value()},
                {"jobs", state_cache_.jobs().size()},
                {"format",
                 {{"level", state_cache_.format_level()},
                  {"known", FormatLevel::highest_known},
                  {"waiting_for", std::move(waiting_for)}}},
                {"ledger_queue", committer_.queue_length()},
                {"ledger",
                 {{"commits", committer_.counts().commits},
                  {"pages", committer_.counts().pages},
                  {"starts", committer_.counts().starts},
                  {"ends", committer_.counts().ends},
                  {"conflicts", committer_.counts().conflicts},
                  {"sent_home", committer_.counts().forwarded},
                  {"taken_back", committer_.counts().reclaimed}}},
                {"state_service_use",
                 {{"order", {"lease", "report", "decision", "user"}},
                  {"requests", store_.counts().requests},
                  {"writes", store_.counts().writes},
                  {"watches", store_.counts().watches},
                  {"news_bytes", store_.counts().watch_bytes},
                  {"refused", store_.counts().refused},
                  {"shed", store_.counts().shed}}},
                {"workers",
                 {{"check_ins", workers_.counts().heartbeats},
                  {"not_renewed", workers_.counts().leases_not_renewed},
                  {"stale", workers_.counts().stale_heartbeats},
                  {"asks", workers_.counts().placement_requests},
                  {"offers", workers_.counts().offers},
                  {"rooms", workers_.counts().capacity_computations},
                  {"prompts", workers_.counts().heartbeat_requests}}},
                {"rounds",
                 {{"begun", relay_.counts().rounds},
                  {"decided_here", relay_.counts().decided},
                  {"decide_ms", relay_.counts().decide_ms},
                  {"unplaced", relay_.counts().unplaced}}},
                {"start_times", {{"bounds_s", StartTimes::bounds_s}, {"by_class", std::move(starts)}}},
                {"parts", std::move(parts)}}
        .dump();
}

void Node::on_peer(const NodeName& from, const wire::PeerMessage& m) {
    std::visit(
        [&](const auto& v) {
            using T = std::decay_t<decltype(v)>;
            if constexpr (std::is_same_v<T, wire::PeerHeartbeat>) {
                peers_[from] = {env_.now(), v.store_reachable, v.write_demand / demand_scale};
                if (v.cancellation_ack.sender_epoch != 0)
                    cancellation_watermark_.on_acknowledgement(from, v.cancellation_ack);
                workers_.on_peer_heartbeat(v);
                autoscaler_.on_peer_heartbeat(from, v);
            } else if constexpr (std::is_same_v<T, wire::PlacementRequest>) {
                workers_.on_placement_request(v);
            } else if constexpr (std::is_same_v<T, wire::PlacementResponse>) {
                relay_.on_placement_response(v);
            } else if constexpr (std::is_same_v<T, wire::PlacementDecision>) {
                workers_.on_placement_decision(v);
            } else if constexpr (std::is_same_v<T, wire::PlacementFailure>) {
                relay_.on_placement_failure(v);
            } else if constexpr (std::is_same_v<T, wire::DrainRequest>) {
                workers_.on_drain_request(from, v);
            } else if constexpr (std::is_same_v<T, wire::DrainResponse>) {
                autoscaler_.on_drain_response(v);
            } else if constexpr (std::is_same_v<T, wire::MachinesTerminatedNotification>) {
                autoscaler_.on_machines_terminated(v);
                workers_.on_machines_terminated(v);
            } else if constexpr (std::is_same_v<T, wire::ReservationUpdate>) {
                workers_.on_reservation_update(v);
            } else if constexpr (std::is_same_v<T, wire::CommitRequest>) {
                committer_.on_commit_request(from, v);
            } else if constexpr (std::is_same_v<T, wire::CommitResponse>) {
                committer_.on_commit_response(v);
            } else if constexpr (std::is_same_v<T, wire::CapacityFreedNotification>) {
                relay_.on_capacity_freed(v);
            } else if constexpr (std::is_same_v<T, wire::MachinesDiscoveredNotification>) {
                workers_.on_machines_discovered(v);
            } else if constexpr (std::is_same_v<T, wire::PreemptionRequest>) {
                workers_.on_preemption_request(v);
            } else if constexpr (std::is_same_v<T, wire::JobCancelledNotification>) {
                state_cache_.mark_cancelled(v.job);
            }
        },
        m);
}

}  // namespace zincdyke
