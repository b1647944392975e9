#include "autoscaler/class_reservations.h"

#include <algorithm>
#include <cmath>

#include "autoscaler/demand.h"

namespace zincdyke::autoscaler {
namespace {
constexpr double no_aim_s = 1e9;
constexpr double short_aim_boots = 1.5;  // an aim below so many boot times needs machines that stand ready
constexpr double save_share_of_aim = 0.4, max_save_s = 10;
constexpr double min_image_share = 0.1;  // of what a service class asks for, to keep places beside the image
constexpr double min_standby_limit = 50;
constexpr double standby_share = 0.25;  // of all machines

// Ratings of machines, the best first.
constexpr double runs_class_rating = 0;
constexpr double clearing_rating = 0.5;
constexpr double idle_rating = 2;  // less the share of images held
constexpr double idle_reserved_bonus = 0.1;
constexpr double busy_reserved_rating = 3, busy_rating = 4;  // and the loss when it is cleared
constexpr double not_clearable_loss = 1e6;
}  // namespace

ClassReservations::ClassReservations(const Settings& settings, const Policy& policy,
                                     const StateCache& state_cache, Preemptor& preemptor,
                                     const ReservationMap& previous, PlanInput& plan)
    : settings_(settings),
      policy_(policy),
      state_cache_(state_cache),
      preemptor_(preemptor),
      previous_(previous),
      plan_(plan) {}

std::optional<Demand> ClassReservations::reserve(const std::string& job_class,
                                                 const ArrivalStatistics& arrivals, WallTime now,
                                                 ReservationMap& reserved) {
    const wire::JobSpec& spec = arrivals.latest_spec();
    if (spec.is_service()) return reserve_for_service(arrivals, now, reserved);
    const wire::MachineType* type = cheapest_type(spec);
    const double aim_s = wait_aim_s(job_class);
    if (type == nullptr || aim_s > type->boot_s * short_aim_boots || arrivals.empty()) return std::nullopt;
    const std::size_t machines_ready = standby(arrivals, *type, now);
    const std::size_t waiting = waiting_tasks(spec);
    sched::Reservation reservation{job_class, spec.rank, std::min(aim_s * save_share_of_aim, max_save_s), {}};
    auto [bins, running] = rate_bins(arrivals, reservation);
    bins.resize(std::min(running + waiting + machines_ready, bins.size()));
    const std::size_t clearable = preemptor_.make_room(bins, waiting, spec, reservation);
    // While tasks of the class wait, nobody else uses its machines, however soon it would yield: of a machine
    // being cleared, the first half that came free was taken again before the second was.
    if (waiting > 0) reservation.save_s = 0;
    for (const auto& [rating, bin] : bins) {
        bin->reserved = reservation;
        reserved[bin->id] = reservation;
    }
    Demand demand;
    demand.spec = &spec;
    demand.required_zone = spec.zone;
    demand.task_count = static_cast<TaskIndex>(machines_ready - std::min(machines_ready, clearable));
    demand.run_time_s = std::max(1.0, expected_run_time_s(spec));
    return demand;
}

// Replicas are wanted at once, whatever the aims say, take little of a machine and stay. Kept are as many
// free places as are asked for while another machine would boot, and those of a largest job, where the
// class's images lie: of the machines that run replicas no more than that takes, since the rest of each would
// stand idle.
std::optional<Demand> ClassReservations::reserve_for_service(const ArrivalStatistics& arrivals, WallTime now,
                                                             ReservationMap& reserved) {
    const wire::JobSpec& spec = arrivals.latest_spec();
    const wire::MachineType* type = cheapest_type(spec);
    if (type == nullptr || arrivals.empty()) return std::nullopt;
    const sched::Reservation reservation{spec.job_class, spec.rank, max_save_s, {}};
    const auto keep = [&](Bin* bin) {
        bin->reserved = reservation;
        reserved[bin->id] = reservation;
    };
    const std::size_t waiting = waiting_tasks(spec);
    std::size_t missing = waiting + standby_places(arrivals, *type, now);
    const std::vector<RatedBin> with_places = bins_with_places(arrivals);
    for (Bin* bin : image_holders(with_places, arrivals)) {
        keep(bin);
        missing -= std::min(missing, free_places(*bin, spec));
    }
    for (const RatedBin& rated : with_places) {
        if (missing == 0) return std::nullopt;
        if (rated.bin->reserved) continue;
        keep(rated.bin);
        missing -= std::min(missing, free_places(*rated.bin, spec));
    }
    if (missing == 0) return std::nullopt;
    const std::size_t per_machine = sched::tasks_that_fit(type->capacity, spec.need);
    auto [bins, running] = rate_bins(arrivals, reservation);
    bins.resize(std::min(bins.size(), (missing + per_machine - 1) / per_machine));
    preemptor_.make_room(bins, std::min(waiting, missing), spec, reservation);
    for (const RatedBin& rated : bins) keep(rated.bin);
    Demand demand;
    demand.spec = &spec;
    demand.required_zone = spec.zone;
    demand.task_count = static_cast<TaskIndex>(missing - std::min(missing, waiting));
    demand.run_time_s = expected_run_time_s(spec);
    return demand;
}

std::size_t ClassReservations::standby_places(const ArrivalStatistics& arrivals,
                                              const wire::MachineType& type, WallTime now) const {
    if (policy_.standby_factor <= 0) return 0;
    const wire::JobSpec& spec = arrivals.latest_spec();
    const double boot_s = type.boot_s + spec.image_gb / type.fetch_gb_per_s;
    return static_cast<std::size_t>(std::ceil(arrivals.machines_per_s(now) * boot_s)) + arrivals.largest();
}

// How many such tasks could start on the machine now, beside what runs.
std::size_t ClassReservations::free_places(const Bin& bin, const wire::JobSpec& spec) {
    std::size_t places = 0;
    for (const Slot& slot : bin.slots)
        if (slot.free_at <= 0) places += sched::tasks_that_fit(slot.room, spec.need);
    return places;
}

// Machines with free places, first those that hold the images which the class asks for most.
std::vector<RatedBin> ClassReservations::bins_with_places(const ArrivalStatistics& arrivals) {
    const wire::JobSpec& spec = arrivals.latest_spec();
    const auto image_shares = arrivals.image_shares();
    std::vector<RatedBin> rated;
    for (Bin& bin : plan_.machine_bins) {
        const wire::MachineType* type = state_cache_.machine_type(bin.type);
        if (!may_reserve(bin, type, spec) || free_places(bin, spec) == 0) continue;
        const double kept_bonus = previous_.contains(bin.id) ? idle_reserved_bonus : 0;
        rated.push_back({-held_image_share(bin.id, *type, image_shares) - kept_bonus, &bin});
    }
    std::stable_sort(rated.begin(), rated.end(),
                     [](const RatedBin& a, const RatedBin& b) { return a.rating < b.rating; });
    return rated;
}

// For each image that the class often asks for the first few of these machines that hold it, until they have
// places for a largest job.
std::set<Bin*> ClassReservations::image_holders(const std::vector<RatedBin>& with_places,
                                                const ArrivalStatistics& arrivals) const {
    const wire::JobSpec& spec = arrivals.latest_spec();
    std::set<Bin*> holders;
    for (const auto& [image, share] : arrivals.image_shares()) {
        if (share < min_image_share) continue;
        std::size_t places = 0;
        for (const RatedBin& rated : with_places) {
            if (places >= arrivals.largest()) break;
            const wire::MachineType* type = state_cache_.machine_type(rated.bin->type);
            if (!state_cache_.holds_image(rated.bin->id, image, type->cache_gb)) continue;
            holders.insert(rated.bin);
            places += free_places(*rated.bin, spec);
        }
    }
    return holders;
}

bool ClassReservations::may_reserve(const Bin& bin, const wire::MachineType* type,
                                    const wire::JobSpec& spec) const {
    return !bin.id.empty() && !bin.reserved && type != nullptr && type->capacity.covers(spec.need) &&
           sched::should_use_type(spec, *type, state_cache_.machine_types()) &&
           sched::machine_allowed(spec, spec.zone, bin.type, bin.zone, bin.spot);
}

const wire::MachineType* ClassReservations::cheapest_type(const wire::JobSpec& spec) const {
    const wire::MachineType* cheapest = nullptr;
    for (const auto& type : state_cache_.machine_types())
        if (sched::type_allowed(spec, type) && (cheapest == nullptr || type.price < cheapest->price))
            cheapest = &type;
    return cheapest;
}

double ClassReservations::wait_aim_s(const std::string& job_class) const {
    double aim_s = no_aim_s;
    for (const auto& objective : settings_.objectives)
        if (objective.kind == "wait" && objective.job_class == job_class)
            aim_s = std::min(aim_s, objective.within_s);
    return aim_s;
}

// As many machines as are asked for while another would boot and fetch the image.
std::size_t ClassReservations::standby(const ArrivalStatistics& arrivals, const wire::MachineType& type,
                                       WallTime now) const {
    const double boot_s = type.boot_s + arrivals.latest_spec().image_gb / type.fetch_gb_per_s;
    const double expected = std::ceil(arrivals.machines_per_s(now) * boot_s * policy_.standby_factor);
    const double least = policy_.standby_factor > 0 ? 1.0 : 0.0;
    const double most =
        std::max(min_standby_limit, static_cast<double>(plan_.machine_bins.size()) * standby_share);
    return static_cast<std::size_t>(std::clamp(expected, least, most));
}

// Of the class, replicas of services or other work, as `spec` is.
std::size_t ClassReservations::waiting_tasks(const wire::JobSpec& spec) const {
    std::size_t waiting = 0;
    for (const Demand& demand : plan_.demands)
        if (demand.spec->job_class == spec.job_class && demand.spec->is_service() == spec.is_service())
            waiting += demand.task_count;
    return waiting;
}

ClassReservations::RatedBins ClassReservations::rate_bins(const ArrivalStatistics& arrivals,
                                                          const sched::Reservation& reservation) {
    const wire::JobSpec& spec = arrivals.latest_spec();
    const auto image_shares = arrivals.image_shares();
    RatedBins rated;
    for (Bin& bin : plan_.machine_bins) {
        const wire::MachineType* type = state_cache_.machine_type(bin.type);
        if (!may_reserve(bin, type, spec)) continue;
        const bool runs = !spec.is_service() && runs_class(bin.id, reservation.job_class);
        if (runs) ++rated.running;
        rated.bins.push_back({rate(bin, *type, spec, runs, image_shares, reservation), &bin});
    }
    std::stable_sort(rated.bins.begin(), rated.bins.end(),
                     [](const RatedBin& a, const RatedBin& b) { return a.rating < b.rating; });
    return rated;
}

double ClassReservations::rate(const Bin& bin, const wire::MachineType& type, const wire::JobSpec& spec,
                               bool runs_class, const std::map<std::string, double>& image_shares,
                               const sched::Reservation& reservation) const {
    if (runs_class) return runs_class_rating;
    if (preemptor_.is_clearing(bin.id)) return clearing_rating;
    const bool was_reserved = previous_.contains(bin.id);
    const bool idle = state_cache_.tasks_on(bin.id).empty();
    // Of the idle ones those first that hold the images which the class asks for most: a gang with room waits
    // for the fetch of its image alone.
    if (idle)
        return idle_rating - held_image_share(bin.id, type, image_shares) -
               (was_reserved ? idle_reserved_bonus : 0);
    // Of the busy ones those first that lose least when they are cleared.
    return (was_reserved ? busy_reserved_rating : busy_rating) +
           preemptor_.loss_of(bin, spec, reservation).value_or(not_clearable_loss);
}

bool ClassReservations::runs_class(const MachineId& id, const std::string& job_class) const {
    const auto& tasks = state_cache_.tasks_on(id);
    return std::any_of(tasks.begin(), tasks.end(), [&](const TaskRef& ref) {
        const Job* job = state_cache_.job(ref.job);
        return job != nullptr && job->spec.job_class == job_class;
    });
}

double ClassReservations::held_image_share(const MachineId& id, const wire::MachineType& type,
                                           const std::map<std::string, double>& image_shares) const {
    double held = 0;
    state_cache_.each_image(id, type.cache_gb, [&](const std::string& image) {
        if (auto share = image_shares.find(image); share != image_shares.end()) held += share->second;
    });
    return held;
}

}  // namespace zincdyke::autoscaler
