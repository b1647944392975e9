#include "autoscaler/class_reservations.h"

#include <algorithm>
#include <cmath>

#include "autoscaler/demand.h"

namespace zincdyke::autoscaler {
namespace {
constexpr double no_objective_s = 1e9;
// Standby machines are kept for a job class if its wait objective, the target for how long its tasks wait for
// their start, is at most this multiple of a machine's boot time.
constexpr double max_standby_objective_boot_times = 1.5;
// Tasks on a reserved machine may be preempted if they can save a checkpoint in time: within this share of
// the job class's wait objective, and within `max_save_s`.
constexpr double max_save_share_of_objective = 0.4, max_save_s = 10;
// Capacity on machines that cache a container image is reserved for a service class only if at least this
// share of the class's recent demand uses the image.
constexpr double min_image_share = 0.1;
// The number of standby machines of a job class is limited to `max_standby_share` of all machines. The limit
// is never less than `min_standby_limit` machines.
constexpr double min_standby_limit = 50;
constexpr double max_standby_share = 0.25;

// Costs of the machines that may be reserved for a job class. The machine with the lowest cost is reserved
// first.
constexpr double runs_class_cost = 0;
constexpr double being_preempted_cost = 0.5;
// Cost of an idle machine. The share of the job class's demand whose container images the machine caches is
// subtracted from it.
constexpr double idle_cost = 2;
constexpr double idle_reserved_discount = 0.1;
// Costs of a busy machine that the last plan had reserved, and of one that it had not. The work that is lost
// by preempting the machine's tasks, in seconds, is added to the cost.
constexpr double busy_reserved_cost = 3, busy_cost = 4;
constexpr double not_preemptible_cost = 1e6;
}  // namespace

ClassReservations::ClassReservations(const Settings& settings, const Policy& policy,
                                     const StateCache& state_cache, Preemptor& preemptor,
                                     const ReservationMap& previous_reservations, PlanInput& plan_input)
    : settings_(settings),
      policy_(policy),
      state_cache_(state_cache),
      preemptor_(preemptor),
      previous_reservations_(previous_reservations),
      plan_input_(plan_input) {}

std::optional<Demand> ClassReservations::reserve_for_class(const std::string& job_class,
                                                           const ArrivalStatistics& arrivals, WallTime now,
                                                           ReservationMap& reservations) {
    const wire::JobSpec& spec = arrivals.latest_spec();
    if (spec.is_service()) return reserve_for_service(arrivals, now, reservations);
    const wire::MachineType* type = cheapest_machine_type(spec);
    const double objective_s = wait_objective_s(job_class);
    if (type == nullptr || objective_s > type->boot_s * max_standby_objective_boot_times || arrivals.empty())
        return std::nullopt;
    const std::size_t standby = standby_machines(arrivals, *type, now);
    const std::size_t waiting = count_waiting_tasks(spec);
    sched::Reservation reservation{
        job_class, spec.rank, std::min(objective_s * max_save_share_of_objective, max_save_s), {}};
    auto [candidates, running_class_count] = find_class_candidates(arrivals, reservation);
    candidates.resize(std::min(running_class_count + waiting + standby, candidates.size()));
    const std::size_t preemptible =
        preemptor_.preempt_for_waiting_tasks(candidates, waiting, spec, reservation);
    // While tasks of the job class wait, tasks of other classes may not use its reserved machines, not even
    // preemptible ones, because they would take the capacity that preemption has just freed: the
    // part of a machine that came free first was taken again before the rest was free.
    if (waiting > 0) reservation.max_save_s = 0;
    for (const auto& [cost, bin] : candidates) {
        bin->reservation = reservation;
        reservations[bin->id] = reservation;
    }
    Demand demand;
    demand.spec = &spec;
    demand.required_zone = spec.zone;
    demand.task_count = static_cast<TaskIndex>(standby - std::min(standby, preemptible));
    demand.run_time_s = std::max(1.0, expected_run_time_s(spec));
    return demand;
}

// Reserves capacity for the waiting replicas of a service class, for the replicas expected to be submitted
// while another machine boots, and for one job of the largest recent size. Machines that cache the class's
// images are reserved first. A machine that already runs replicas is reserved only if its free capacity is
// needed, because replicas are small and run until they are cancelled: if all such machines were reserved,
// the rest of each would stand idle.
std::optional<Demand> ClassReservations::reserve_for_service(const ArrivalStatistics& arrivals, WallTime now,
                                                             ReservationMap& reservations) {
    const wire::JobSpec& spec = arrivals.latest_spec();
    const wire::MachineType* type = cheapest_machine_type(spec);
    if (type == nullptr || arrivals.empty()) return std::nullopt;
    const sched::Reservation reservation{spec.job_class, spec.rank, max_save_s, {}};
    const auto reserve_bin = [&](MachineBin* bin) {
        bin->reservation = reservation;
        reservations[bin->id] = reservation;
    };
    const std::size_t waiting = count_waiting_tasks(spec);
    std::size_t missing_replicas = waiting + standby_replicas(arrivals, *type, now);
    const std::vector<ReservationCandidate> with_capacity = candidates_with_free_capacity(arrivals);
    for (MachineBin* bin : bins_caching_images(with_capacity, arrivals)) {
        reserve_bin(bin);
        missing_replicas -= std::min(missing_replicas, startable_tasks(*bin, spec));
    }
    for (const ReservationCandidate& candidate : with_capacity) {
        if (missing_replicas == 0) return std::nullopt;
        if (candidate.bin->reservation) continue;
        reserve_bin(candidate.bin);
        missing_replicas -= std::min(missing_replicas, startable_tasks(*candidate.bin, spec));
    }
    if (missing_replicas == 0) return std::nullopt;
    const std::size_t replicas_per_machine = sched::tasks_that_fit(type->capacity, spec.need);
    auto [candidates, running_class_count] = find_class_candidates(arrivals, reservation);
    candidates.resize(
        std::min(candidates.size(), (missing_replicas + replicas_per_machine - 1) / replicas_per_machine));
    preemptor_.preempt_for_waiting_tasks(candidates, std::min(waiting, missing_replicas), spec, reservation);
    for (const ReservationCandidate& candidate : candidates) reserve_bin(candidate.bin);
    Demand demand;
    demand.spec = &spec;
    demand.required_zone = spec.zone;
    demand.task_count = static_cast<TaskIndex>(missing_replicas - std::min(missing_replicas, waiting));
    demand.run_time_s = expected_run_time_s(spec);
    return demand;
}

// Returns how many further replicas must be able to start without a new machine: the replicas expected to be
// submitted while a machine boots and fetches its image, and those of one job of the largest recent size.
std::size_t ClassReservations::standby_replicas(const ArrivalStatistics& arrivals,
                                                const wire::MachineType& type, WallTime now) const {
    if (policy_.standby_factor <= 0) return 0;
    const wire::JobSpec& spec = arrivals.latest_spec();
    const double boot_s = type.boot_s + spec.image_gb / type.fetch_gb_per_s;
    return static_cast<std::size_t>(std::ceil(arrivals.machines_per_s(now) * boot_s)) +
           arrivals.max_machines_per_job();
}

// Returns how many tasks of the job `spec` fit into the capacity of a machine that is free now.
std::size_t ClassReservations::startable_tasks(const MachineBin& bin, const wire::JobSpec& spec) {
    std::size_t startable = 0;
    for (const CapacitySlot& slot : bin.slots)
        if (slot.available_in_s <= 0) startable += sched::tasks_that_fit(slot.capacity, spec.need);
    return startable;
}

// Returns the machines that have free capacity for at least one task of the job class now. Machines that
// cache the most demanded images come first.
std::vector<ReservationCandidate> ClassReservations::candidates_with_free_capacity(
    const ArrivalStatistics& arrivals) {
    const wire::JobSpec& spec = arrivals.latest_spec();
    const auto image_shares = arrivals.image_shares();
    std::vector<ReservationCandidate> candidates;
    for (MachineBin& bin : plan_input_.machine_bins) {
        const wire::MachineType* type = state_cache_.machine_type(bin.type);
        if (!can_reserve_machine(bin, type, spec) || startable_tasks(bin, spec) == 0) continue;
        const double reserved_discount = previous_reservations_.contains(bin.id) ? idle_reserved_discount : 0;
        candidates.push_back({-cached_image_share(bin.id, *type, image_shares) - reserved_discount, &bin});
    }
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const ReservationCandidate& a, const ReservationCandidate& b) { return a.cost < b.cost; });
    return candidates;
}

// Selects machines for each container image that the job class uses often: the first candidates that cache
// the image, until they have enough free capacity for one job of the largest recent size.
std::set<MachineBin*> ClassReservations::bins_caching_images(
    const std::vector<ReservationCandidate>& candidates, const ArrivalStatistics& arrivals) const {
    const wire::JobSpec& spec = arrivals.latest_spec();
    std::set<MachineBin*> selected;
    for (const auto& [image, share] : arrivals.image_shares()) {
        if (share < min_image_share) continue;
        std::size_t startable = 0;
        for (const ReservationCandidate& candidate : candidates) {
            if (startable >= arrivals.max_machines_per_job()) break;
            const wire::MachineType* type = state_cache_.machine_type(candidate.bin->type);
            if (!state_cache_.holds_image(candidate.bin->id, image, type->cache_gb)) continue;
            selected.insert(candidate.bin);
            startable += startable_tasks(*candidate.bin, spec);
        }
    }
    return selected;
}

bool ClassReservations::can_reserve_machine(const MachineBin& bin, const wire::MachineType* type,
                                            const wire::JobSpec& spec) const {
    return !bin.id.empty() && !bin.reservation && type != nullptr && type->capacity.covers(spec.need) &&
           sched::should_use_type(spec, *type, state_cache_.machine_types()) &&
           sched::machine_allowed(spec, spec.zone, bin.type, bin.zone, bin.spot);
}

// Returns the machine type with the lowest price on which a task of the job `spec` may run; null if there is
// none.
const wire::MachineType* ClassReservations::cheapest_machine_type(const wire::JobSpec& spec) const {
    const wire::MachineType* cheapest = nullptr;
    for (const auto& type : state_cache_.machine_types())
        if (sched::type_allowed(spec, type) && (cheapest == nullptr || type.price < cheapest->price))
            cheapest = &type;
    return cheapest;
}

// Returns the job class's shortest service-level objective for the wait until a task starts, in seconds; a
// very long time if the class has no such objective.
double ClassReservations::wait_objective_s(const std::string& job_class) const {
    double objective_s = no_objective_s;
    for (const auto& objective : settings_.objectives)
        if (objective.kind == "wait" && objective.job_class == job_class)
            objective_s = std::min(objective_s, objective.target_s);
    return objective_s;
}

// Returns how many standby machines a job class needs: as many as its jobs are expected to need while another
// machine boots and fetches the image, within a lower and an upper limit.
std::size_t ClassReservations::standby_machines(const ArrivalStatistics& arrivals,
                                                const wire::MachineType& type, WallTime now) const {
    const double boot_s = type.boot_s + arrivals.latest_spec().image_gb / type.fetch_gb_per_s;
    const double expected = std::ceil(arrivals.machines_per_s(now) * boot_s * policy_.standby_factor);
    const double min_standby = policy_.standby_factor > 0 ? 1.0 : 0.0;
    const double max_standby =
        std::max(min_standby_limit, static_cast<double>(plan_input_.machine_bins.size()) * max_standby_share);
    return static_cast<std::size_t>(std::clamp(expected, min_standby, max_standby));
}

// Returns the number of waiting tasks in the job class of `spec`. If `spec` is a service, only replicas of
// services are counted; otherwise only tasks of jobs that are not services.
std::size_t ClassReservations::count_waiting_tasks(const wire::JobSpec& spec) const {
    std::size_t waiting = 0;
    for (const Demand& demand : plan_input_.demands)
        if (demand.spec->job_class == spec.job_class && demand.spec->is_service() == spec.is_service())
            waiting += demand.task_count;
    return waiting;
}

ClassReservations::ClassCandidates ClassReservations::find_class_candidates(
    const ArrivalStatistics& arrivals, const sched::Reservation& reservation) {
    const wire::JobSpec& spec = arrivals.latest_spec();
    const auto image_shares = arrivals.image_shares();
    ClassCandidates candidates;
    for (MachineBin& bin : plan_input_.machine_bins) {
        const wire::MachineType* type = state_cache_.machine_type(bin.type);
        if (!can_reserve_machine(bin, type, spec)) continue;
        const bool is_running_class =
            !spec.is_service() && runs_tasks_of_class(bin.id, reservation.job_class);
        if (is_running_class) ++candidates.running_class_count;
        candidates.machines.push_back(
            {candidate_cost(bin, *type, spec, is_running_class, image_shares, reservation), &bin});
    }
    std::stable_sort(
        candidates.machines.begin(), candidates.machines.end(),
        [](const ReservationCandidate& a, const ReservationCandidate& b) { return a.cost < b.cost; });
    return candidates;
}

double ClassReservations::candidate_cost(const MachineBin& bin, const wire::MachineType& type,
                                         const wire::JobSpec& spec, bool runs_class,
                                         const std::map<std::string, double>& image_shares,
                                         const sched::Reservation& reservation) const {
    if (runs_class) return runs_class_cost;
    if (preemptor_.is_being_preempted(bin.id)) return being_preempted_cost;
    const bool was_reserved = previous_reservations_.contains(bin.id);
    const bool is_idle = state_cache_.tasks_on(bin.id).empty();
    // Idle machines that cache the most demanded images are preferred to other idle machines, because a gang
    // starts only when its last member has fetched its image.
    if (is_idle)
        return idle_cost - cached_image_share(bin.id, type, image_shares) -
               (was_reserved ? idle_reserved_discount : 0);
    // Busy machines on which preemption loses less work are preferred to other busy machines.
    return (was_reserved ? busy_reserved_cost : busy_cost) +
           preemptor_.preemption_cost_s(bin, spec, reservation).value_or(not_preemptible_cost);
}

bool ClassReservations::runs_tasks_of_class(const MachineId& id, const std::string& job_class) const {
    const auto& tasks = state_cache_.tasks_on(id);
    return std::any_of(tasks.begin(), tasks.end(), [&](const TaskRef& ref) {
        const Job* job = state_cache_.job(ref.job);
        return job != nullptr && job->spec.job_class == job_class;
    });
}

// Returns the share of the job class's demand whose container image is cached on the machine, from 0 to 1.
double ClassReservations::cached_image_share(const MachineId& id, const wire::MachineType& type,
                                             const std::map<std::string, double>& image_shares) const {
    double cached_share = 0;
    state_cache_.for_each_image(id, type.cache_gb, [&](const std::string& image) {
        if (auto share = image_shares.find(image); share != image_shares.end()) cached_share += share->second;
    });
    return cached_share;
}

}  // namespace zincdyke::autoscaler
