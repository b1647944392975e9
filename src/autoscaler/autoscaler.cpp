#include "autoscaler/autoscaler.h"

#include <algorithm>
#include <utility>

#include "autoscaler/demand.h"
#include "base/log.h"

namespace zincdyke {
namespace {
constexpr Duration tick_interval = std::chrono::milliseconds(500);
// From this number of machines on, the autoscaler plans half as often, to limit the processor time of
// planning.
constexpr std::size_t large_fleet_machines = 1500;

constexpr double types_read_interval_s = 30, types_read_retry_s = 1;
// The interval between reads of the cloud's machine list is the largest of a fixed minimum, the time in which
// the rate limit allows two requests, and a third of the time by which the list lags behind the actual state.
// More frequent reads would return little new data.
constexpr double min_list_interval_s = 2, calls_per_list = 2, lists_per_lag = 3;

// A running task is expected to run on for this share of its estimated total run time, but at least for
// `min_remaining_run_s`.
constexpr double remaining_run_share = 0.7, min_remaining_run_s = 3;
// Plans expect a running machine without a heartbeat to be available after this time.
constexpr double assumed_heartbeat_delay_s = 1;
// Plans do not use a running machine from which no heartbeat has been received for longer than this.
constexpr double max_usable_without_heartbeat_s = 5;
// A running machine that never sent a heartbeat is terminated after the duration of a lease, the policy's
// `silent_grace_s` and this margin.
constexpr double no_heartbeat_margin_s = 10;
// How long a machine is kept after its lease has expired if its shard's leader, for example a newly elected
// one, has never received a heartbeat from it.
constexpr double never_seen_grace_s = 3;
constexpr double boot_timeout_margin_s = 5;  // added to the boot timeout that the policy sets
constexpr double min_remaining_boot_s = 1;

constexpr Duration drain_retry_interval = std::chrono::seconds(2);
// Age of a drain request after which a response to it no longer counts: the shard's leader ends the drain 20
// s after the request has reached it, and may then place tasks on the machine.
constexpr Duration max_drain_response_age = std::chrono::seconds(10);
constexpr Duration orphan_delete_interval = std::chrono::seconds(1);
constexpr Duration startup_period = std::chrono::seconds(1);
// A new autoscaler leader provisions no machines until the cloud's machine list contains those that its
// predecessor provisioned. It waits for the list's lag plus a margin, up to a maximum.
constexpr double max_list_catch_up_s = 8, list_catch_up_margin_s = 1;
}  // namespace

Autoscaler::Autoscaler(Env& env, const Settings& settings, const Policy& policy, StoreClient& store,
                       StateCache& state_cache, ClusterCoordinator& cluster, CloudClient& cloud,
                       PeerChannel& peers)
    : env_(env),
      settings_(settings),
      policy_(policy),
      store_(store),
      state_cache_(state_cache),
      cluster_(cluster),
      cloud_(cloud),
      peers_(peers),
      inventory_(settings),
      provisioner_(env, settings, policy_, cluster, cloud, inventory_, peers),
      reservation_planner_(env, settings, policy_, state_cache, inventory_, peers) {}

void Autoscaler::start() { tick(); }

void Autoscaler::on_peer_heartbeat(const NodeName& from, const wire::PeerHeartbeat& heartbeat) {
    const SteadyTime now = env_.now();
    for (const auto& machine : heartbeat.machines) {
        // Reports from controllers other than the shard's leader are ignored: after a network partition, a
        // former leader may report machines as silent that it no longer leads.
        if (state_cache_.shards()[state_cache_.shard_of(machine.id)].leader != from) continue;
        if (!inventory_.was_terminated(machine.id)) {
            inventory_.record_report(from, machine, now);
        } else if (machine.busy_tasks > 0 && cluster_.is_autoscaler_leader()) {
            // The leader still reports tasks on a terminated machine, so it has missed the notification of
            // the termination.
            peers_.send(from, wire::MachinesTerminatedNotification{{machine.id}});
        }
    }
}

void Autoscaler::on_drain_response(const NodeName& from, const wire::DrainResponse& message) {
    if (!cluster_.is_autoscaler_leader() || !is_still_drained(from, message.machine)) return;
    // Drained machines are terminated together at the next tick, to save requests to the cloud.
    drained_machines_.insert(message.machine);
}

// Returns whether the machine that the controller `from` has confirmed as drained is still drained. The
// message may be late: the drain may have ended since, or the machine's shard may have another leader.
bool Autoscaler::is_still_drained(const NodeName& from, const MachineId& id) {
    const autoscaler::ProvisionedMachine* machine = inventory_.find_machine(id);
    if (machine == nullptr || machine->drain_requested_at == SteadyTime{}) return false;
    return env_.now() - machine->drain_requested_at <= max_drain_response_age &&
           state_cache_.shards()[state_cache_.shard_of(id)].leader == from &&
           state_cache_.tasks_on(id).empty();
}

void Autoscaler::on_machines_terminated(const wire::MachinesTerminatedNotification& message) {
    for (const auto& id : message.machines) inventory_.record_terminated_machine(id, env_.now());
}

void Autoscaler::tick() {
    const bool is_large_fleet = inventory_.machines().size() >= large_fleet_machines;
    env_.after(is_large_fleet ? 2 * tick_interval : tick_interval, [this] { tick(); });
    const SteadyTime now = env_.now();
    if (!cluster_.is_autoscaler_leader()) return deactivate();
    if (!is_active_) activate(now);
    if (now >= next_types_read_at_) read_machine_types();
    if (now >= next_list_read_at_ && !is_reading_list_) {
        next_list_read_at_ =
            now + seconds(std::max({min_list_interval_s, calls_per_list / settings_.cloud_rps,
                                    settings_.cloud_list_lag_s / lists_per_lag}));
        read_machine_list("", {});
    }
    inventory_.remove_expired_records(now);
    if (!has_read_list_) return;
    terminate_drained_machines();
    plan_capacity();
    delete_orphaned_pages();
}

void Autoscaler::activate(SteadyTime now) {
    is_active_ = true;
    has_read_list_ = false;
    active_since_ = now;
    next_list_read_at_ = next_types_read_at_ = now;
    provisioner_.discard_pending_requests();
}

void Autoscaler::deactivate() {
    is_active_ = false;
    drained_machines_.clear();
    reservation_planner_.stop_tracking_placements();
}

void Autoscaler::read_machine_types() {
    next_types_read_at_ = env_.now() + seconds(state_cache_.machine_types().empty() ? types_read_retry_s
                                                                                    : types_read_interval_s);
    cloud_.list_machine_types([this](const std::optional<std::vector<wire::MachineType>>& types) {
        if (types && !types->empty() && cluster_.is_autoscaler_leader()) on_machine_types(*types);
    });
}

// Writes the machine types to the key-value store if they have changed.
void Autoscaler::on_machine_types(const std::vector<wire::MachineType>& types) {
    const Json value = wire::machine_types_to_json(types);
    if (value == wire::machine_types_to_json(state_cache_.machine_types())) return;
    Transaction txn;
    txn.conditions.push_back({keys::machine_types, state_cache_.version(keys::machine_types)});
    txn.writes.push_back({keys::machine_types, value, std::nullopt});
    store_.commit(txn, RequestPriority::lease, [this, value](const CommitResult& result) {
        if (result.outcome == Outcome::ok) state_cache_.apply({keys::machine_types, value, result.revision});
    });
}

// Reads the cloud's machine list page by page, starting with the first machine name greater than
// `start_after`. `listed` contains the machines on the pages that have already been read.
void Autoscaler::read_machine_list(const std::string& start_after, std::set<MachineId> listed) {
    is_reading_list_ = true;
    cloud_.list_machines(start_after, [this, listed = std::move(listed)](
                                          const std::optional<wire::MachinePage>& page) mutable {
        is_reading_list_ = false;
        if (!page || !cluster_.is_autoscaler_leader()) return;
        const SteadyTime now = env_.now();
        for (const auto& machine : page->machines) {
            listed.insert(machine.id);
            inventory_.record_listed_machine(machine, now);
        }
        if (page->has_more && !page->machines.empty())
            return read_machine_list(page->machines.back().id.value(), std::move(listed));
        has_read_list_ = true;
        announce_discovered_machines();
        inventory_.remove_unlisted_machines(listed, now);
    });
}

// Notifies all controllers of running machines that send heartbeats to none of them, so that the machines'
// leaders can contact these machines.
void Autoscaler::announce_discovered_machines() {
    std::vector<wire::DiscoveredMachine> machines = inventory_.running_machines_without_heartbeat(env_.now());
    while (!machines.empty()) {
        const std::size_t count = std::min(autoscaler::max_machines_per_message, machines.size());
        const auto first = machines.end() - static_cast<std::ptrdiff_t>(count);
        wire::MachinesDiscoveredNotification message;
        message.machines.assign(first, machines.end());
        machines.erase(first, machines.end());
        for (const auto& node : settings_.all_nodes()) peers_.send(node, message);
    }
}

void Autoscaler::terminate_drained_machines() {
    const auto machines = std::exchange(drained_machines_, {});
    provisioner_.terminate_machines({machines.begin(), machines.end()}, autoscaler::TerminationReason::idle);
}

// Deletes one orphaned page from the key-value store: a page of a job that has ended.
void Autoscaler::delete_orphaned_pages() {
    if (is_deleting_page_ || state_cache_.orphaned_pages().empty()) return;
    const std::string key = *state_cache_.orphaned_pages().begin();
    const JobId id = keys::job_of_page(key);
    Transaction txn;
    // The transaction's condition requires that the job has no live record. The job has a final record, so a
    // live record cannot be created for it again.
    txn.conditions.push_back({keys::job(id), Revision{}});
    txn.writes.push_back({key, std::nullopt, std::nullopt});
    is_deleting_page_ = true;
    store_.commit(txn, RequestPriority::user, [this, key](const CommitResult& result) {
        if (result.outcome == Outcome::ok) state_cache_.apply({key, std::nullopt, result.revision});
        env_.after(orphan_delete_interval, [this] { is_deleting_page_ = false; });
    });
}

void Autoscaler::plan_capacity() {
    if (state_cache_.machine_types().empty()) return;
    const SteadyTime now = env_.now();
    autoscaler::PlanInput input;
    FaultyMachines faulty;
    input.machine_types = &state_cache_.machine_types();
    input.max_new_machines = provisioner_.max_new_machines();
    add_usable_machines(input, faulty, now);
    find_silent_unlisted_machines(faulty, now);
    add_requested_machines(input);
    input.unavailable_machine_kinds = provisioner_.unavailable_machine_kinds(now);
    input.demands = autoscaler::waiting_demands(settings_, policy_, state_cache_, env_.wall());
    reservation_planner_.replace_reservations(input);
    input.demands = autoscaler::merge_similar_demands(std::move(input.demands));
    const autoscaler::Plan plan = autoscaler::make_plan(std::move(input));
    reservation_planner_.announce_reservations();
    if (is_inventory_complete(now)) provisioner_.provision_machines(plan.new_machines);
    drain_idle_machines(plan.needed_machines, now);
    terminate_faulty_machines(std::move(faulty));
}

// Adds each machine on which tasks can be placed to `input`. Adds machines that must be terminated to
// `faulty`.
void Autoscaler::add_usable_machines(autoscaler::PlanInput& input, FaultyMachines& faulty, SteadyTime now) {
    for (auto& [id, machine] : inventory_.machines()) {
        if (machine.is_terminating || inventory_.was_terminated(id)) continue;
        const wire::MachineType* type = state_cache_.machine_type(machine.type);
        if (type == nullptr) continue;
        if (machine.phase == wire::MachinePhase::failed) {
            faulty.failed.push_back(id);
            continue;
        }
        const autoscaler::MachineReport* report = inventory_.recent_report(id, now);
        if (report != nullptr && is_presumed_lost(report->status)) {
            faulty.silent.push_back(id);
            continue;
        }
        const bool has_heartbeat = report != nullptr && !report->status.address.empty();
        if (has_heartbeat) machine.no_heartbeat_since = {};
        autoscaler::MachineBin bin{id, machine.type, machine.zone, machine.spot, {}, false, {}};
        const bool usable = has_heartbeat ? add_capacity_of_reported_machine(bin, report->status, *type)
                            : machine.phase == wire::MachinePhase::running
                                ? add_capacity_of_unreported_machine(bin, machine, *type, faulty, now)
                                : add_capacity_of_booting_machine(bin, machine, *type, faulty, now);
        if (usable) input.machine_bins.push_back(std::move(bin));
    }
}

// Adds capacity slots to `bin`, a machine that sends heartbeats: one for its free capacity, and one for each
// running task, which becomes available when the task is expected to end. Returns whether the machine is
// usable.
bool Autoscaler::add_capacity_of_reported_machine(autoscaler::MachineBin& bin,
                                                  const wire::MachineStatus& status,
                                                  const wire::MachineType& type) const {
    if (!status.usable) return false;
    Resources free_capacity = type.capacity;
    for (const auto& ref : state_cache_.tasks_on(bin.id)) {
        const Job* job = state_cache_.job(ref.job);
        if (job == nullptr) continue;
        free_capacity -= job->spec.need;
        const double run_time_s = autoscaler::expected_run_time_s(job->spec);
        const double remaining_run_s = std::max(min_remaining_run_s, run_time_s * remaining_run_share);
        bin.slots.push_back({remaining_run_s, job->spec.need});
    }
    bin.slots.push_back({0, free_capacity});
    return true;
}

// Adds the capacity of a machine that the cloud lists as running but whose leader reports no heartbeat, for
// example shortly after an election. Returns false if the machine has been without a heartbeat for so long
// that the plan must not use it. If the machine has never sent a heartbeat, it is added to `faulty` after a
// further grace period, to be terminated.
bool Autoscaler::add_capacity_of_unreported_machine(autoscaler::MachineBin& bin,
                                                    autoscaler::ProvisionedMachine& machine,
                                                    const wire::MachineType& type, FaultyMachines& faulty,
                                                    SteadyTime now) const {
    if (machine.no_heartbeat_since == SteadyTime{}) machine.no_heartbeat_since = now;
    const Duration silent_time = now - machine.no_heartbeat_since;
    const double keep_s = settings_.lease_s + policy_.silent_grace_s + no_heartbeat_margin_s;
    if (!machine.has_sent_heartbeat && silent_time > seconds(keep_s)) faulty.silent.push_back(bin.id);
    if (silent_time > seconds(max_usable_without_heartbeat_s)) return false;
    bin.slots.push_back({assumed_heartbeat_delay_s, type.capacity});
    return true;
}

// Adds the capacity of a booting machine, available from the expected end of its boot. Returns false, without
// adding capacity, if the machine has sent heartbeats before or exceeds the boot timeout. In the latter case
// the machine is added to `faulty`.
bool Autoscaler::add_capacity_of_booting_machine(autoscaler::MachineBin& bin,
                                                 const autoscaler::ProvisionedMachine& machine,
                                                 const wire::MachineType& type, FaultyMachines& faulty,
                                                 SteadyTime now) const {
    if (machine.has_sent_heartbeat) return false;
    const double age_s = machine.listed_age_s + to_seconds(now - machine.first_seen_at);
    if (age_s > type.boot_s * policy_.boot_timeout_factor + boot_timeout_margin_s) {
        faulty.slow_boot.push_back(bin.id);
        return false;
    }
    bin.slots.push_back({std::max(min_remaining_boot_s, type.boot_s - age_s), type.capacity});
    return true;
}

// Adds silent machines to `faulty` that are missing from the inventory but have tasks placed on them. They
// must be terminated, because only a confirmed termination proves that their tasks have stopped.
void Autoscaler::find_silent_unlisted_machines(FaultyMachines& faulty, SteadyTime now) const {
    for (const auto& [id, report] : inventory_.reports()) {
        const bool is_known_from_placements_only =
            report.status.busy_tasks > 0 && !inventory_.machines().contains(id);
        if (is_known_from_placements_only && autoscaler::MachineInventory::is_recent_report(report, now) &&
            is_presumed_lost(report.status))
            faulty.silent.push_back(id);
    }
}

// Adds the machines to `input` that have been requested from the cloud but not provisioned yet.
void Autoscaler::add_requested_machines(autoscaler::PlanInput& input) const {
    for (const auto& [kind, count] : provisioner_.requested_machines()) {
        const wire::MachineType* type = state_cache_.machine_type(kind.type);
        if (type == nullptr) continue;
        const autoscaler::MachineBin bin{
            MachineId(), kind.type, kind.zone, kind.spot, {{type->boot_s, type->capacity}}, false, {}};
        input.machine_bins.insert(input.machine_bins.end(), count, bin);
    }
}

// Returns whether a machine has sent no heartbeat for longer than its lease and a grace period, in which a
// network partition may end. The grace period is shorter if the machine's leader never received a heartbeat
// from it, because then only the machine's termination proves that no task runs there.
bool Autoscaler::is_presumed_lost(const wire::MachineStatus& status) const {
    const double keep_s = status.address.empty() ? never_seen_grace_s : policy_.silent_grace_s;
    return status.silent && status.silent_ms > (settings_.lease_s + keep_s) * 1000;
}

// Returns whether the inventory contains all machines that an earlier autoscaler leader has provisioned. A
// new leader assumes that it does after waiting for the lag of the cloud's machine list. A leader that was
// elected in the first second of its clock does not wait, because it had no predecessor.
bool Autoscaler::is_inventory_complete(SteadyTime now) const {
    const Duration catch_up =
        seconds(std::min(max_list_catch_up_s, settings_.cloud_list_lag_s + list_catch_up_margin_s));
    return now - active_since_ > catch_up || active_since_ - SteadyTime{} < startup_period;
}

// Requests the drain of machines that the plan does not need and that have been idle for the minimum time
// that the policy sets.
void Autoscaler::drain_idle_machines(const std::set<MachineId>& needed_machines, SteadyTime now) {
    for (auto& [id, machine] : inventory_.machines()) {
        const autoscaler::MachineReport* report = inventory_.find_report(id);
        if (machine.is_terminating || report == nullptr || needed_machines.contains(id)) continue;
        if (now - report->received_at > autoscaler::max_report_age) continue;
        if (now - machine.drain_requested_at < drain_retry_interval ||
            !is_idle(report->status, state_cache_.machine_type(machine.type)))
            continue;
        machine.drain_requested_at = now;
        peers_.send(report->leader, wire::DrainRequest{id});
    }
}

bool Autoscaler::is_idle(const wire::MachineStatus& status, const wire::MachineType* type) const {
    if (status.silent || status.busy_tasks > 0) return false;
    double keep_s = policy_.min_idle_s;
    if (type != nullptr) keep_s = std::max(keep_s, type->boot_s * policy_.min_idle_boot_times);
    return status.idle_ms >= keep_s * 1000;
}

void Autoscaler::terminate_faulty_machines(FaultyMachines faulty) {
    provisioner_.terminate_machines(std::move(faulty.silent), autoscaler::TerminationReason::silent);
    provisioner_.terminate_machines(std::move(faulty.slow_boot), autoscaler::TerminationReason::slow_boot);
    provisioner_.terminate_machines(std::move(faulty.failed), autoscaler::TerminationReason::failed);
}

}  // namespace zincdyke
