#include "autoscaler/gang_reservations.h"

#include <algorithm>
#include <utility>

namespace zincdyke::autoscaler {
namespace {
constexpr double reservation_delay_s = 8;        // machines are reserved for gangs that wait longer than this
constexpr std::size_t max_reserved_divisor = 4;  // at most 1/4 of all machines are reserved for gangs
// Cost of a machine that the last plan already reserved for the gang. It is less than the cost of any other
// machine, which is the time until that machine has free capacity.
constexpr double previously_reserved_cost = -1;

// Returns the time until a machine has free capacity for one member of a gang, in seconds.
double time_until_capacity_s(const MachineBin& bin, const Resources& need) {
    std::vector<CapacitySlot> slots = bin.slots;
    std::sort(slots.begin(), slots.end(), [](const CapacitySlot& a, const CapacitySlot& b) {
        return a.available_in_s < b.available_in_s;
    });
    Resources free_capacity;
    double available_in_s = 0;
    for (const CapacitySlot& slot : slots) {
        free_capacity += slot.capacity;
        available_in_s = slot.available_in_s;
        if (free_capacity.covers(need)) break;
    }
    return available_in_s;
}
}  // namespace

GangReservations::GangReservations(const Settings& settings, const StateCache& state_cache,
                                   Preemptor& preemptor, const ReservationMap& previous_reservations,
                                   std::vector<MachineBin>& bins)
    : settings_(settings),
      state_cache_(state_cache),
      preemptor_(preemptor),
      previous_reservations_(previous_reservations),
      bins_(bins) {}

ReservationMap GangReservations::reserve_for_gangs(WallTime now) {
    ReservationMap reservations;
    const std::vector<const Job*> overdue = overdue_gangs(now);
    if (overdue.empty()) return reservations;
    // The most urgent gang may get machines even if it needs more than the share reserved for gangs.
    std::size_t remaining_machines =
        std::max<std::size_t>(bins_.size() / max_reserved_divisor, overdue.front()->spec.tasks);
    find_previously_reserved_bins();
    for (const Job* gang : overdue) {
        if (remaining_machines == 0) break;
        const std::size_t members = gang->spec.tasks;
        if (members > remaining_machines) continue;
        const std::vector<ReservationCandidate> selected = select_machines_in_best_zone(*gang);
        if (selected.size() < members) continue;
        const sched::Reservation reservation{gang->spec.job_class, gang->spec.rank, 0, gang->spec.id};
        for (const auto& [available_in_s, bin] : selected) {
            bin->reservation = reservation;
            reservations[bin->id] = reservation;
        }
        remaining_machines -= members;
        preemptor_.preempt_for_waiting_tasks(selected, members, gang->spec, reservation);
    }
    return reservations;
}

// Returns the gangs that have waited too long and do not exceed their team's quota, the most urgent first.
std::vector<const Job*> GangReservations::overdue_gangs(WallTime now) const {
    std::vector<const Job*> overdue;
    for (const auto& [id, job] : state_cache_.jobs()) {
        if (job.spec.shape != wire::Shape::gang || job.cancelled || job.pending_tasks() != job.spec.tasks)
            continue;
        const bool waited_long =
            static_cast<double>(now.value() - job.submitted.value()) > reservation_delay_s * 1000;
        if (waited_long && state_cache_.fits_team_quota(job.spec.team, job.spec.need, job.spec.tasks))
            overdue.push_back(&job);
    }
    std::sort(overdue.begin(), overdue.end(), [](const Job* a, const Job* b) {
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        return a->submitted < b->submitted;
    });
    return overdue;
}

// Finds the machines that the last plan reserved for each gang. They are preferred in the new plan, because a
// gang that is moved to other machines would have to wait for their capacity from the start.
void GangReservations::find_previously_reserved_bins() {
    for (MachineBin& bin : bins_) {
        if (bin.id.empty()) continue;
        auto previous = previous_reservations_.find(bin.id);
        if (previous != previous_reservations_.end() && !previous->second.job.empty())
            previously_reserved_bins_[previous->second.job].push_back(&bin);
    }
}

// Returns the machines that may be reserved for a gang, ordered by when they have free capacity for one
// member. The result is cached, because many gangs have equal requirements.
const std::vector<ReservationCandidate>& GangReservations::gang_candidates_by_availability(
    const Job& gang, const std::optional<std::string>& zone) {
    sched::PlacementConstraints constraints = sched::PlacementConstraints::of(gang.spec);
    constraints.zone = zone;
    const Resources& need = gang.spec.need;
    auto [it, is_new] = candidates_by_requirements_.try_emplace(
        MemberRequirements{need.cpu, need.gpu, need.ram, std::move(constraints)});
    if (is_new) it->second = find_gang_candidates(gang, zone);
    return it->second;
}

std::vector<ReservationCandidate> GangReservations::find_gang_candidates(
    const Job& gang, const std::optional<std::string>& zone) const {
    std::vector<ReservationCandidate> candidates;
    for (MachineBin& bin : bins_) {
        const wire::MachineType* type = state_cache_.machine_type(bin.type);
        if (bin.id.empty() || type == nullptr || !type->capacity.covers(gang.spec.need)) continue;
        if (!sched::machine_allowed(gang.spec, zone, bin.type, bin.zone, bin.spot)) continue;
        candidates.push_back({time_until_capacity_s(bin, gang.spec.need), &bin});
    }
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const ReservationCandidate& a, const ReservationCandidate& b) { return a.cost < b.cost; });
    return candidates;
}

// Selects one machine for each member of a gang, or fewer if there are not enough machines. Machines that the
// last plan reserved for the gang are preferred, then those that have free capacity earliest.
std::vector<ReservationCandidate> GangReservations::select_machines(const Job& gang,
                                                                    const std::optional<std::string>& zone) {
    const std::size_t members = gang.spec.tasks;
    std::vector<ReservationCandidate> selected;
    if (auto previous = previously_reserved_bins_.find(gang.spec.id);
        previous != previously_reserved_bins_.end())
        for (MachineBin* bin : previous->second)
            if (selected.size() < members && !bin->reservation &&
                sched::machine_allowed(gang.spec, zone, bin->type, bin->zone, bin->spot))
                selected.push_back({previously_reserved_cost, bin});
    for (const ReservationCandidate& candidate : gang_candidates_by_availability(gang, zone)) {
        if (selected.size() >= members) break;
        const bool is_unavailable =
            candidate.bin->reservation ||
            std::any_of(selected.begin(), selected.end(),
                        [&](const ReservationCandidate& other) { return other.bin == candidate.bin; });
        if (!is_unavailable) selected.push_back(candidate);
    }
    return selected;
}

// Selects one machine for each member of a gang. If the members must all be in one zone but no particular
// zone is required, compares the zones and selects machines in the zone where the whole gang can start
// earliest.
std::vector<ReservationCandidate> GangReservations::select_machines_in_best_zone(const Job& gang) {
    std::vector<ReservationCandidate> best = select_machines(gang, gang.assigned_zone);
    if (!gang.spec.one_zone || state_cache_.required_zone(gang)) return best;
    const std::size_t members = gang.spec.tasks;
    for (const auto& zone : settings_.zones) {
        if (gang.assigned_zone == zone) continue;
        std::vector<ReservationCandidate> other = select_machines(gang, zone);
        if (other.size() < members) continue;
        if (best.size() < members || other.back().cost < best.back().cost) best = std::move(other);
    }
    return best;
}

}  // namespace zincdyke::autoscaler
