#include "autoscaler/gang_reservations.h"

#include <algorithm>
#include <utility>

namespace zincdyke::autoscaler {
namespace {
constexpr double reservation_delay_s = 8;        // wait after which machines are reserved for a gang
constexpr std::size_t max_reserved_divisor = 4;  // at most one fourth of all machines is reserved for gangs
constexpr double previously_reserved_cost = -1;  // lower than other candidates' costs, which are times

// Returns in how many seconds a machine has free capacity for one member of a gang.
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

ReservationMap GangReservations::reserve(WallTime now) {
    ReservationMap reservations;
    const std::vector<const Job*> overdue = overdue_gangs(now);
    if (overdue.empty()) return reservations;
    // The limit on reserved machines always admits the most urgent gang.
    std::size_t remaining_machines =
        std::max<std::size_t>(bins_.size() / max_reserved_divisor, overdue.front()->spec.tasks);
    find_previous_bins();
    for (const Job* gang : overdue) {
        if (remaining_machines == 0) break;
        const std::size_t members = gang->spec.tasks;
        if (members > remaining_machines) continue;
        const std::vector<ReservationCandidate> selected = select_in_best_zone(*gang);
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

// Returns the gangs that have waited too long and fit their team's quota, the most urgent first.
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

// Finds the machines that the last plan reserved for each gang. A gang keeps them, because with other
// machines its wait for free capacity would start over.
void GangReservations::find_previous_bins() {
    for (MachineBin& bin : bins_) {
        if (bin.id.empty()) continue;
        auto previous = previous_reservations_.find(bin.id);
        if (previous != previous_reservations_.end() && !previous->second.job.empty())
            previous_bins_[previous->second.job].push_back(&bin);
    }
}

// Returns the candidates for a gang, ordered by when they have free capacity for one member. The result is
// cached, because many gangs have equal requirements.
const std::vector<ReservationCandidate>& GangReservations::candidates_by_time(
    const Job& gang, const std::optional<std::string>& zone) {
    sched::PlacementConstraints constraints = sched::PlacementConstraints::of(gang.spec);
    constraints.zone = zone;
    const Resources& need = gang.spec.need;
    auto [it, is_new] = candidates_by_requirements_.try_emplace(
        MemberRequirements{need.cpu, need.gpu, need.ram, std::move(constraints)});
    if (is_new) it->second = find_candidates(gang, zone);
    return it->second;
}

std::vector<ReservationCandidate> GangReservations::find_candidates(
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

// Selects one machine for each member, or fewer if there are not enough: first those already reserved for
// this gang, then those whose capacity becomes free first.
std::vector<ReservationCandidate> GangReservations::select(const Job& gang,
                                                           const std::optional<std::string>& zone) {
    const std::size_t members = gang.spec.tasks;
    std::vector<ReservationCandidate> selected;
    if (auto previous = previous_bins_.find(gang.spec.id); previous != previous_bins_.end())
        for (MachineBin* bin : previous->second)
            if (selected.size() < members && !bin->reservation &&
                sched::machine_allowed(gang.spec, zone, bin->type, bin->zone, bin->spot))
                selected.push_back({previously_reserved_cost, bin});
    for (const ReservationCandidate& candidate : candidates_by_time(gang, zone)) {
        if (selected.size() >= members) break;
        const bool is_unavailable =
            candidate.bin->reservation ||
            std::any_of(selected.begin(), selected.end(),
                        [&](const ReservationCandidate& other) { return other.bin == candidate.bin; });
        if (!is_unavailable) selected.push_back(candidate);
    }
    return selected;
}

// Selects machines for a gang. If all members must be in one zone and any zone is allowed, selects the zone
// that has free capacity for the last member first.
std::vector<ReservationCandidate> GangReservations::select_in_best_zone(const Job& gang) {
    std::vector<ReservationCandidate> best = select(gang, gang.assigned_zone);
    if (!gang.spec.one_zone || state_cache_.required_zone(gang)) return best;
    const std::size_t members = gang.spec.tasks;
    for (const auto& zone : settings_.zones) {
        if (gang.assigned_zone == zone) continue;
        std::vector<ReservationCandidate> other = select(gang, zone);
        if (other.size() < members) continue;
        if (best.size() < members || other.back().cost < best.back().cost) best = std::move(other);
    }
    return best;
}

}  // namespace zincdyke::autoscaler
