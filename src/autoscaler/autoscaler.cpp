#include "autoscaler/autoscaler.h"

#include <algorithm>
#include <utility>

#include "autoscaler/demand.h"
#include "base/log.h"

namespace zincdyke {
namespace {
constexpr Duration tick_interval = std::chrono::milliseconds(500);
constexpr std::size_t many_machines = 1500;  // from here on plans are made half as often

constexpr double types_interval_s = 30, types_retry_s = 1;
// A list that lags tells little more when it is read often; its pages cost calls and time.
constexpr double min_list_interval_s = 2, list_interval_calls = 2, lists_per_lag = 3;

constexpr double min_task_left_s = 3;          // that a running task is expected to run on
constexpr double task_left_of_estimate = 0.7;  // likewise, as a share of its whole run
constexpr double unheard_free_in_s = 1;   // until a leader hears a machine that the cloud lists as running
constexpr double unheard_usable_s = 5;    // for so long it is counted on
constexpr double unheard_margin_s = 10;   // beyond a silent machine's time, before it is returned
constexpr double never_heard_keep_s = 3;  // beyond the lease, for a machine its present leader never heard
constexpr double boot_margin_s = 5;       // beyond the policy's limit for boots
constexpr double min_boot_left_s = 1;

constexpr Duration drain_retry = std::chrono::seconds(2);
constexpr Duration orphan_interval = std::chrono::seconds(1);
constexpr Duration first_second = std::chrono::seconds(1);
constexpr double max_catch_up_s = 8, catch_up_margin_s = 1;
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
      reservations_(env, settings, policy_, state_cache, inventory_, peers) {}

void Autoscaler::start() { tick(); }

void Autoscaler::on_peer_heartbeat(const NodeName& from, const wire::PeerHeartbeat& beat) {
    const SteadyTime now = env_.now();
    for (const auto& machine : beat.machines) {
        // Only the leader's report counts: a former leader back from a partition still reports machines as
        // silent that it no longer leads.
        if (state_cache_.shards()[state_cache_.shard_of(machine.id)].leader != from) continue;
        if (!inventory_.was_returned(machine.id)) {
            inventory_.record_report(from, machine, now);
        } else if (machine.busy_tasks > 0 && cluster_.is_autoscaler_leader()) {
            // Its leader missed the notification of the termination, and still counts tasks on it.
            peers_.send(from, wire::MachinesTerminatedNotification{{machine.id}});
        }
    }
}

void Autoscaler::on_drain_response(const wire::DrainResponse& message) {
    // Together with others: a call for each machine spent the cloud's budget, and rents waited behind them.
    if (cluster_.is_autoscaler_leader()) drained_.insert(message.machine);
}

void Autoscaler::on_machines_terminated(const wire::MachinesTerminatedNotification& message) {
    for (const auto& id : message.machines) inventory_.record_returned(id, env_.now());
}

void Autoscaler::tick() {
    const bool many = inventory_.rented().size() >= many_machines;
    env_.after(many ? 2 * tick_interval : tick_interval, [this] { tick(); });
    const SteadyTime now = env_.now();
    if (!cluster_.is_autoscaler_leader()) return deactivate();
    if (!active_) activate(now);
    if (now >= types_due_) read_types();
    if (now >= list_due_ && !listing_) {
        list_due_ = now + seconds(std::max({min_list_interval_s, list_interval_calls / settings_.cloud_rps,
                                            settings_.list_lag_s / lists_per_lag}));
        read_list("", {});
    }
    inventory_.expire(now);
    if (!listed_) return;
    return_drained();
    plan();
    delete_orphaned_pages();
}

void Autoscaler::activate(SteadyTime now) {
    active_ = true;
    listed_ = false;
    active_since_ = now;
    list_due_ = types_due_ = now;
    provisioner_.reset();
}

void Autoscaler::deactivate() {
    active_ = false;
    drained_.clear();
    reservations_.reset();
}

void Autoscaler::read_types() {
    types_due_ =
        env_.now() + seconds(state_cache_.machine_types().empty() ? types_retry_s : types_interval_s);
    cloud_.types([this](const std::optional<std::vector<wire::MachineType>>& types) {
        if (types && !types->empty() && cluster_.is_autoscaler_leader()) on_types(*types);
    });
}

// Writes machine types that have changed to the key-value store.
void Autoscaler::on_types(const std::vector<wire::MachineType>& types) {
    const Json value = wire::types_to_json(types);
    if (value == wire::types_to_json(state_cache_.machine_types())) return;
    Transaction txn;
    txn.conditions.push_back({keys::machine_types, state_cache_.version(keys::machine_types)});
    txn.writes.push_back({keys::machine_types, value, std::nullopt});
    store_.commit(txn, RequestPriority::lease, [this, value](const CommitResult& result) {
        if (result.outcome == Outcome::ok) state_cache_.apply({keys::machine_types, value, result.revision});
    });
}

// Reads the cloud's list page by page, from behind `after`; `seen` holds the machines on the pages before.
void Autoscaler::read_list(const std::string& after, std::set<MachineId> seen) {
    listing_ = true;
    cloud_.list(after, [this, seen = std::move(seen)](const std::optional<wire::MachinePage>& page) mutable {
        listing_ = false;
        if (!page || !cluster_.is_autoscaler_leader()) return;
        const SteadyTime now = env_.now();
        for (const auto& machine : page->machines) {
            seen.insert(machine.id);
            inventory_.record_listed(machine, now);
        }
        if (page->more && !page->machines.empty())
            return read_list(page->machines.back().id.value(), std::move(seen));
        listed_ = true;
        announce_discovered_machines();
        inventory_.forget_unlisted(seen, now);
    });
}

void Autoscaler::announce_discovered_machines() {
    std::vector<wire::DiscoveredMachine> machines = inventory_.unheard(env_.now());
    while (!machines.empty()) {
        const std::size_t count = std::min(autoscaler::max_machines_per_message, machines.size());
        const auto first = machines.end() - static_cast<std::ptrdiff_t>(count);
        wire::MachinesDiscoveredNotification message;
        message.machines.assign(first, machines.end());
        machines.erase(first, machines.end());
        for (const auto& node : settings_.all_nodes()) peers_.send(node, message);
    }
}

void Autoscaler::return_drained() {
    const auto machines = std::exchange(drained_, {});
    provisioner_.give_back({machines.begin(), machines.end()}, autoscaler::ReturnReason::idle);
}

void Autoscaler::delete_orphaned_pages() {
    if (cleaning_ || state_cache_.orphaned_pages().empty()) return;
    const std::string key = *state_cache_.orphaned_pages().begin();
    const JobId id = keys::job_of_page(key);
    Transaction txn;
    // Only where the job is over for good: its final record is there and its live one is not.
    txn.conditions.push_back({keys::job(id), Revision{}});
    txn.writes.push_back({key, std::nullopt, std::nullopt});
    cleaning_ = true;
    store_.commit(txn, RequestPriority::user, [this, key](const CommitResult& result) {
        if (result.outcome == Outcome::ok) state_cache_.apply({key, std::nullopt, result.revision});
        env_.after(orphan_interval, [this] { cleaning_ = false; });
    });
}

void Autoscaler::plan() {
    if (state_cache_.machine_types().empty()) return;
    const SteadyTime now = env_.now();
    autoscaler::PlanInput input;
    Faulty faulty;
    input.machine_types = &state_cache_.machine_types();
    input.max_new_machines = provisioner_.max_planned();
    add_machines(input, faulty, now);
    find_silent_placements(faulty, now);
    add_rentals_under_way(input);
    input.unavailable_kinds = provisioner_.refused(now);
    input.demands = autoscaler::waiting_demands(settings_, policy_, state_cache_, env_.wall());
    reservations_.update(input);
    input.demands = autoscaler::merge_similar(std::move(input.demands));
    const autoscaler::Plan plan = autoscaler::make_plan(std::move(input));
    reservations_.announce();
    if (inventory_complete(now)) provisioner_.rent(plan.new_machines);
    drain_idle(plan.needed_machines, now);
    return_faulty(std::move(faulty));
}

// Adds the machines that can be counted on, and finds those to return.
void Autoscaler::add_machines(autoscaler::PlanInput& input, Faulty& faulty, SteadyTime now) {
    for (auto& [id, machine] : inventory_.rented()) {
        if (machine.returning || inventory_.was_returned(id)) continue;
        const wire::MachineType* type = state_cache_.machine_type(machine.type);
        if (type == nullptr) continue;
        if (machine.phase == wire::MachinePhase::failed) {
            faulty.failed.push_back(id);
            continue;
        }
        const autoscaler::MachineReport* report = inventory_.fresh_report(id, now);
        if (report != nullptr && is_lost(report->beat)) {
            faulty.silent.push_back(id);
            continue;
        }
        const bool heard = report != nullptr && !report->beat.address.empty();
        if (heard) machine.unheard_since = {};
        autoscaler::Bin bin{id, machine.type, machine.zone, machine.spot, {}, false, {}};
        const bool usable = heard ? add_heard_slots(bin, report->beat, *type)
                            : machine.phase == wire::MachinePhase::running
                                ? add_unheard_slots(bin, machine, *type, faulty, now)
                                : add_booting_slots(bin, machine, *type, faulty, now);
        if (usable) input.machine_bins.push_back(std::move(bin));
    }
}

// A machine that its leader hears: its free room, and that of its tasks when they end.
bool Autoscaler::add_heard_slots(autoscaler::Bin& bin, const wire::MachineStatus& beat,
                                 const wire::MachineType& type) const {
    if (!beat.usable) return false;
    Resources free = type.capacity;
    for (const auto& ref : state_cache_.tasks_on(bin.id)) {
        const Job* job = state_cache_.job(ref.job);
        if (job == nullptr) continue;
        free -= job->spec.need;
        const double run_time_s = autoscaler::expected_run_time_s(job->spec);
        const double left_s = std::max(min_task_left_s, run_time_s * task_left_of_estimate);
        bin.slots.push_back({left_s, job->spec.need});
    }
    bin.slots.push_back({0, free});
    return true;
}

// Up by the cloud's word: not slow to boot, whatever its age. After an election or a restart its leader may
// not have heard it yet; one that nobody hears for long can't be used and is returned.
bool Autoscaler::add_unheard_slots(autoscaler::Bin& bin, autoscaler::RentedMachine& machine,
                                   const wire::MachineType& type, Faulty& faulty, SteadyTime now) const {
    if (machine.unheard_since == SteadyTime{}) machine.unheard_since = now;
    const Duration unheard = now - machine.unheard_since;
    const double keep_s = settings_.lease_s + policy_.silent_grace_s + unheard_margin_s;
    if (!machine.ever_up && unheard > seconds(keep_s)) faulty.silent.push_back(bin.id);
    if (unheard > seconds(unheard_usable_s)) return false;
    bin.slots.push_back({unheard_free_in_s, type.capacity});
    return true;
}

// Neither heard nor listed as running: booting, unless it was up before.
bool Autoscaler::add_booting_slots(autoscaler::Bin& bin, const autoscaler::RentedMachine& machine,
                                   const wire::MachineType& type, Faulty& faulty, SteadyTime now) const {
    if (machine.ever_up) return false;
    const double age_s = machine.age_s + to_seconds(now - machine.first_seen);
    if (age_s > type.boot_s * policy_.boot_timeout_factor + boot_margin_s) {
        faulty.slow.push_back(bin.id);
        return false;
    }
    bin.slots.push_back({std::max(min_boot_left_s, type.boot_s - age_s), type.capacity});
    return true;
}

// Machines that only placements tell of, and that nobody hears: their return is the only proof.
void Autoscaler::find_silent_placements(Faulty& faulty, SteadyTime now) const {
    for (const auto& [id, report] : inventory_.reports()) {
        const bool placed_only = report.beat.busy_tasks > 0 && !inventory_.rented().contains(id);
        if (placed_only && autoscaler::MachineInventory::is_fresh(report, now) && is_lost(report.beat))
            faulty.silent.push_back(id);
    }
}

void Autoscaler::add_rentals_under_way(autoscaler::PlanInput& input) const {
    for (const auto& [kind, count] : provisioner_.renting()) {
        const wire::MachineType* type = state_cache_.machine_type(kind.type);
        if (type == nullptr) continue;
        const autoscaler::Bin bin{
            MachineId(), kind.type, kind.zone, kind.spot, {{type->boot_s, type->capacity}}, false, {}};
        input.machine_bins.insert(input.machine_bins.end(), count, bin);
    }
}

// Out of touch beyond its lease: its tasks are lost anyway, but a cut may still end. One that its present
// leader never heard can't be proven empty but by its return.
bool Autoscaler::is_lost(const wire::MachineStatus& beat) const {
    const double keep_s = beat.address.empty() ? never_heard_keep_s : policy_.silent_grace_s;
    return beat.silent && beat.silent_ms > (settings_.lease_s + keep_s) * 1000;
}

// A new autoscaler leader sees what its predecessor rented only when the list has caught up. Where it became
// the leader in the first second of its clock, there was none before it.
bool Autoscaler::inventory_complete(SteadyTime now) const {
    const Duration catch_up = seconds(std::min(max_catch_up_s, settings_.list_lag_s + catch_up_margin_s));
    return now - active_since_ > catch_up || active_since_ - SteadyTime{} < first_second;
}

// Asks the leaders of machines that have long been idle, and aren't wanted by the plan, to empty them.
void Autoscaler::drain_idle(const std::set<MachineId>& wanted, SteadyTime now) {
    for (auto& [id, machine] : inventory_.rented()) {
        const autoscaler::MachineReport* report = inventory_.find_report(id);
        if (machine.returning || report == nullptr || wanted.contains(id)) continue;
        if (now - report->at > autoscaler::fresh_report_age) continue;
        if (now - machine.drain_asked < drain_retry ||
            !is_idle(report->beat, state_cache_.machine_type(machine.type)))
            continue;
        machine.drain_asked = now;
        peers_.send(report->leader, wire::DrainRequest{id});
    }
}

bool Autoscaler::is_idle(const wire::MachineStatus& beat, const wire::MachineType* type) const {
    if (beat.silent || beat.busy_tasks > 0) return false;
    double keep_s = policy_.min_idle_s;
    if (type != nullptr) keep_s = std::max(keep_s, type->boot_s * policy_.min_idle_boot_times);
    return beat.idle_ms >= keep_s * 1000;
}

void Autoscaler::return_faulty(Faulty faulty) {
    provisioner_.give_back(std::move(faulty.silent), autoscaler::ReturnReason::silent);
    provisioner_.give_back(std::move(faulty.slow), autoscaler::ReturnReason::slow_boot);
    provisioner_.give_back(std::move(faulty.failed), autoscaler::ReturnReason::failed);
}

}  // namespace zincdyke
