#include "autoscaler/autoscaler.h"

#include <algorithm>
#include <utility>

#include "autoscaler/demand.h"
#include "base/log.h"

namespace zincdyke {
namespace {
constexpr Duration tick_interval = std::chrono::milliseconds(500);
// Number of machines from which plans are made half as often, to limit their processor time.
constexpr std::size_t large_fleet_machines = 1500;

constexpr double types_read_interval_s = 30, types_read_retry_s = 1;
// The interval between reads of the machine list is the largest of a fixed minimum, the time of two cloud
// requests at the rate limit, and a third of the list's lag: more frequent reads would return little new
// data.
constexpr double min_list_interval_s = 2, calls_per_list = 2, lists_per_lag = 3;

// Expected remaining run time of a running task: a share of its whole run time, but at least a minimum.
constexpr double remaining_run_share = 0.7, min_remaining_run_s = 3;
// Time until a machine that the cloud lists as running is expected to have sent its first heartbeat.
constexpr double assumed_heartbeat_delay_s = 1;
// How long the plan uses a running machine from which no heartbeat has been received.
constexpr double max_usable_without_heartbeat_s = 5;
// Additional time, after the lease and the policy's silent grace period, before a machine that never sent a
// heartbeat is terminated.
constexpr double no_heartbeat_margin_s = 10;
// Grace period after the lease for a machine from which its current leader never received a heartbeat.
constexpr double never_seen_grace_s = 3;
constexpr double boot_timeout_margin_s = 5;  // added to the policy's boot timeout
constexpr double min_remaining_boot_s = 1;

constexpr Duration drain_retry_interval = std::chrono::seconds(2);
constexpr Duration orphan_delete_interval = std::chrono::seconds(1);
constexpr Duration startup_period = std::chrono::seconds(1);
// How long a new autoscaler leader waits for the machine list to catch up: the list's lag plus a margin, up
// to a maximum.
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
        // former leader may still report machines that it no longer leads as silent.
        if (state_cache_.shards()[state_cache_.shard_of(machine.id)].leader != from) continue;
        if (!inventory_.was_terminated(machine.id)) {
            inventory_.record_report(from, machine, now);
        } else if (machine.busy_tasks > 0 && cluster_.is_autoscaler_leader()) {
            // The machine's leader still reports tasks there, so it has missed the notification of the
            // machine's termination.
            peers_.send(from, wire::MachinesTerminatedNotification{{machine.id}});
        }
    }
}

void Autoscaler::on_drain_response(const wire::DrainResponse& message) {
    // Drained machines are terminated together at the next tick, to save requests to the cloud.
    if (cluster_.is_autoscaler_leader()) drained_machines_.insert(message.machine);
}

void Autoscaler::on_machines_terminated(const wire::MachinesTerminatedNotification& message) {
    for (const auto& id : message.machines) inventory_.record_terminated(id, env_.now());
}

void Autoscaler::tick() {
    const bool is_large_fleet = inventory_.machines().size() >= large_fleet_machines;
    env_.after(is_large_fleet ? 2 * tick_interval : tick_interval, [this] { tick(); });
    const SteadyTime now = env_.now();
    if (!cluster_.is_autoscaler_leader()) return deactivate();
    if (!is_active_) activate(now);
    if (now >= next_types_read_at_) read_machine_types();
    if (now >= next_list_at_ && !is_reading_list_) {
        next_list_at_ = now + seconds(std::max({min_list_interval_s, calls_per_list / settings_.cloud_rps,
                                                settings_.cloud_list_lag_s / lists_per_lag}));
        read_machine_list("", {});
    }
    inventory_.expire(now);
    if (!has_read_list_) return;
    terminate_drained();
    plan();
    delete_orphaned_pages();
}

void Autoscaler::activate(SteadyTime now) {
    is_active_ = true;
    has_read_list_ = false;
    active_since_ = now;
    next_list_at_ = next_types_read_at_ = now;
    provisioner_.reset();
}

void Autoscaler::deactivate() {
    is_active_ = false;
    drained_machines_.clear();
    reservation_planner_.reset();
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

// Reads the cloud's machine list page by page, starting behind the name `after`. `seen` contains the machines
// on earlier pages.
void Autoscaler::read_machine_list(const std::string& after, std::set<MachineId> seen) {
    is_reading_list_ = true;
    cloud_.list_machines(
        after, [this, seen = std::move(seen)](const std::optional<wire::MachinePage>& page) mutable {
            is_reading_list_ = false;
            if (!page || !cluster_.is_autoscaler_leader()) return;
            const SteadyTime now = env_.now();
            for (const auto& machine : page->machines) {
                seen.insert(machine.id);
                inventory_.record_listed(machine, now);
            }
            if (page->has_more && !page->machines.empty())
                return read_machine_list(page->machines.back().id.value(), std::move(seen));
            has_read_list_ = true;
            announce_discovered_machines();
            inventory_.remove_unlisted(seen, now);
        });
}

// Notifies all controllers of running machines from which none of them receives heartbeats.
void Autoscaler::announce_discovered_machines() {
    std::vector<wire::DiscoveredMachine> machines = inventory_.running_without_heartbeat(env_.now());
    while (!machines.empty()) {
        const std::size_t count = std::min(autoscaler::max_machines_per_message, machines.size());
        const auto first = machines.end() - static_cast<std::ptrdiff_t>(count);
        wire::MachinesDiscoveredNotification message;
        message.machines.assign(first, machines.end());
        machines.erase(first, machines.end());
        for (const auto& node : settings_.all_nodes()) peers_.send(node, message);
    }
}

void Autoscaler::terminate_drained() {
    const auto machines = std::exchange(drained_machines_, {});
    provisioner_.terminate({machines.begin(), machines.end()}, autoscaler::TerminationReason::idle);
}

// Deletes one page whose job is over from the key-value store.
void Autoscaler::delete_orphaned_pages() {
    if (is_deleting_page_ || state_cache_.orphaned_pages().empty()) return;
    const std::string key = *state_cache_.orphaned_pages().begin();
    const JobId id = keys::job_of_page(key);
    Transaction txn;
    // The condition requires that the job's live record does not exist. An orphaned page's job also has a
    // final record, so the job cannot come back.
    txn.conditions.push_back({keys::job(id), Revision{}});
    txn.writes.push_back({key, std::nullopt, std::nullopt});
    is_deleting_page_ = true;
    store_.commit(txn, RequestPriority::user, [this, key](const CommitResult& result) {
        if (result.outcome == Outcome::ok) state_cache_.apply({key, std::nullopt, result.revision});
        env_.after(orphan_delete_interval, [this] { is_deleting_page_ = false; });
    });
}

void Autoscaler::plan() {
    if (state_cache_.machine_types().empty()) return;
    const SteadyTime now = env_.now();
    autoscaler::PlanInput input;
    FaultyMachines faulty;
    input.machine_types = &state_cache_.machine_types();
    input.max_new_machines = provisioner_.max_new_machines();
    add_machines(input, faulty, now);
    find_silent_placements(faulty, now);
    add_requested_machines(input);
    input.unavailable_kinds = provisioner_.unavailable_kinds(now);
    input.demands = autoscaler::waiting_demands(settings_, policy_, state_cache_, env_.wall());
    reservation_planner_.update(input);
    input.demands = autoscaler::merge_similar(std::move(input.demands));
    const autoscaler::Plan plan = autoscaler::make_plan(std::move(input));
    reservation_planner_.announce();
    if (is_inventory_complete(now)) provisioner_.provision(plan.new_machines);
    drain_idle_machines(plan.needed_machines, now);
    terminate_faulty(std::move(faulty));
}

// Adds the usable machines to the plan's input, and adds the machines to terminate to `faulty`.
void Autoscaler::add_machines(autoscaler::PlanInput& input, FaultyMachines& faulty, SteadyTime now) {
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
        const bool usable = has_heartbeat ? add_slots_with_heartbeat(bin, report->status, *type)
                            : machine.phase == wire::MachinePhase::running
                                ? add_slots_without_heartbeat(bin, machine, *type, faulty, now)
                                : add_booting_slots(bin, machine, *type, faulty, now);
        if (usable) input.machine_bins.push_back(std::move(bin));
    }
}

// Adds the free capacity of a machine that sends heartbeats, and the capacity of each running task from its
// expected end on. Returns whether the machine is usable.
bool Autoscaler::add_slots_with_heartbeat(autoscaler::MachineBin& bin, const wire::MachineStatus& status,
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

// Adds the capacity of a machine that the cloud lists as running but whose leader has not reported a
// heartbeat, for example shortly after an election. Returns whether the machine is usable: it is not after
// some seconds. If it has never sent a heartbeat, it is terminated after a longer time.
bool Autoscaler::add_slots_without_heartbeat(autoscaler::MachineBin& bin,
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

// Adds the capacity of a booting machine from the expected end of its boot on. Returns false for a machine
// that has sent heartbeats before, and for one that exceeds the boot timeout, which is terminated.
bool Autoscaler::add_booting_slots(autoscaler::MachineBin& bin, const autoscaler::ProvisionedMachine& machine,
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

// Finds silent machines that are known only from their placed tasks. Only the cloud's confirmed termination
// proves that those tasks have stopped.
void Autoscaler::find_silent_placements(FaultyMachines& faulty, SteadyTime now) const {
    for (const auto& [id, report] : inventory_.reports()) {
        const bool is_known_from_placements_only =
            report.status.busy_tasks > 0 && !inventory_.machines().contains(id);
        if (is_known_from_placements_only && autoscaler::MachineInventory::is_recent(report, now) &&
            is_presumed_lost(report.status))
            faulty.silent.push_back(id);
    }
}

// Adds the machines that are requested from the cloud and not yet provisioned.
void Autoscaler::add_requested_machines(autoscaler::PlanInput& input) const {
    for (const auto& [kind, count] : provisioner_.requested_machines()) {
        const wire::MachineType* type = state_cache_.machine_type(kind.type);
        if (type == nullptr) continue;
        const autoscaler::MachineBin bin{
            MachineId(), kind.type, kind.zone, kind.spot, {{type->boot_s, type->capacity}}, false, {}};
        input.machine_bins.insert(input.machine_bins.end(), count, bin);
    }
}

// Returns whether a machine has been silent for longer than its lease and a grace period, which allows for a
// network partition that ends. The grace period is shorter if its current leader never received a heartbeat:
// then only the machine's termination proves that no task runs there.
bool Autoscaler::is_presumed_lost(const wire::MachineStatus& status) const {
    const double keep_s = status.address.empty() ? never_seen_grace_s : policy_.silent_grace_s;
    return status.silent && status.silent_ms > (settings_.lease_s + keep_s) * 1000;
}

// Returns whether the inventory contains all machines that an earlier autoscaler leader has provisioned,
// which is so when the machine list has caught up. A node that became the leader in the first second of its
// clock had no predecessor.
bool Autoscaler::is_inventory_complete(SteadyTime now) const {
    const Duration catch_up =
        seconds(std::min(max_list_catch_up_s, settings_.cloud_list_lag_s + list_catch_up_margin_s));
    return now - active_since_ > catch_up || active_since_ - SteadyTime{} < startup_period;
}

// Requests the drain of machines that have been idle for long enough and are not needed by the plan.
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

void Autoscaler::terminate_faulty(FaultyMachines faulty) {
    provisioner_.terminate(std::move(faulty.silent), autoscaler::TerminationReason::silent);
    provisioner_.terminate(std::move(faulty.slow_boot), autoscaler::TerminationReason::slow_boot);
    provisioner_.terminate(std::move(faulty.failed), autoscaler::TerminationReason::failed);
}

}  // namespace zincdyke
