#include "autoscaler/gang_reservations.h"

#include <algorithm>
#include <utility>

namespace zincdyke::autoscaler {
namespace {
constexpr double gang_patience_s = 8;            // before machines are reserved for a gang
constexpr std::size_t max_reserved_divisor = 4;  // not more than this part of all machines stands still
constexpr double kept_rating = -1;               // before all that are rated by time

// When the machine has room for one member.
double time_with_room(const Bin& bin, const Resources& need) {
    std::vector<Slot> slots = bin.slots;
    std::sort(slots.begin(), slots.end(), [](const Slot& a, const Slot& b) { return a.free_at < b.free_at; });
    Resources room;
    double when = 0;
    for (const Slot& slot : slots) {
        room += slot.room;
        when = slot.free_at;
        if (room.covers(need)) break;
    }
    return when;
}
}  // namespace

GangReservations::GangReservations(const Settings& settings, const StateCache& state_cache,
                                   Preemptor& preemptor, const ReservationMap& previous,
                                   std::vector<Bin>& bins)
    : settings_(settings),
      state_cache_(state_cache),
      preemptor_(preemptor),
      previous_(previous),
      bins_(bins) {}

ReservationMap GangReservations::reserve(WallTime now) {
    ReservationMap reserved;
    const std::vector<const Job*> late = late_gangs(now);
    if (late.empty()) return reserved;
    // Not more than a part of the machines at once, but always enough for the first gang.
    std::size_t left = std::max<std::size_t>(bins_.size() / max_reserved_divisor, late.front()->spec.tasks);
    find_kept();
    for (const Job* gang : late) {
        if (left == 0) break;
        const std::size_t members = gang->spec.tasks;
        if (members > left) continue;
        const std::vector<RatedBin> selected = select_in_best_zone(*gang);
        if (selected.size() < members) continue;
        const sched::Reservation reservation{gang->spec.job_class, gang->spec.rank, 0, gang->spec.id};
        for (const auto& [when, bin] : selected) {
            bin->reserved = reservation;
            reserved[bin->id] = reservation;
        }
        left -= members;
        preemptor_.make_room(selected, members, gang->spec, reservation);
    }
    return reserved;
}

// The most urgent first.
std::vector<const Job*> GangReservations::late_gangs(WallTime now) const {
    std::vector<const Job*> late;
    for (const auto& [id, job] : state_cache_.jobs()) {
        if (job.spec.shape != wire::Shape::gang || job.cancelled || job.pending() != job.spec.tasks) continue;
        const bool waited_long =
            static_cast<double>(now.value() - job.submitted.value()) > gang_patience_s * 1000;
        if (waited_long && state_cache_.fits_team_quota(job.spec.team, job.spec.need, job.spec.tasks))
            late.push_back(&job);
    }
    std::sort(late.begin(), late.end(), [](const Job* a, const Job* b) {
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        return a->submitted < b->submitted;
    });
    return late;
}

// What is kept for a gang stays so: moving on would begin the waiting anew.
void GangReservations::find_kept() {
    for (Bin& bin : bins_) {
        if (bin.id.empty()) continue;
        auto previous = previous_.find(bin.id);
        if (previous != previous_.end() && !previous->second.job.empty())
            kept_[previous->second.job].push_back(&bin);
    }
}

// Gangs come in few shapes. The machines of each are ordered once: looked up for each of hundreds of gangs
// this took a fifth of the autoscaler leader's time.
const std::vector<RatedBin>& GangReservations::bins_by_time(const Job& gang,
                                                            const std::optional<std::string>& zone) {
    sched::PlacementConstraints constraints = sched::PlacementConstraints::of(gang.spec);
    constraints.zone = zone;
    const Resources& need = gang.spec.need;
    auto [it, fresh] = by_time_.try_emplace(Shape{need.cpu, need.gpu, need.ram, std::move(constraints)});
    if (fresh) it->second = rate_bins(gang, zone);
    return it->second;
}

std::vector<RatedBin> GangReservations::rate_bins(const Job& gang,
                                                  const std::optional<std::string>& zone) const {
    std::vector<RatedBin> rated;
    for (Bin& bin : bins_) {
        const wire::MachineType* type = state_cache_.machine_type(bin.type);
        if (bin.id.empty() || type == nullptr || !type->capacity.covers(gang.spec.need)) continue;
        if (!sched::machine_allowed(gang.spec, zone, bin.type, bin.zone, bin.spot)) continue;
        rated.push_back({time_with_room(bin, gang.spec.need), &bin});
    }
    std::stable_sort(rated.begin(), rated.end(),
                     [](const RatedBin& a, const RatedBin& b) { return a.rating < b.rating; });
    return rated;
}

// Machines for the members, or as many as there are: those kept for this gang, then those free soonest.
std::vector<RatedBin> GangReservations::select(const Job& gang, const std::optional<std::string>& zone) {
    const std::size_t members = gang.spec.tasks;
    std::vector<RatedBin> selected;
    if (auto kept = kept_.find(gang.spec.id); kept != kept_.end())
        for (Bin* bin : kept->second)
            if (selected.size() < members && !bin->reserved &&
                sched::machine_allowed(gang.spec, zone, bin->type, bin->zone, bin->spot))
                selected.push_back({kept_rating, bin});
    for (const RatedBin& rated : bins_by_time(gang, zone)) {
        if (selected.size() >= members) break;
        const bool taken =
            rated.bin->reserved || std::any_of(selected.begin(), selected.end(),
                                               [&](const RatedBin& other) { return other.bin == rated.bin; });
        if (!taken) selected.push_back(rated);
    }
    return selected;
}

// A gang that may go to any zone, all its members to the same, goes to the one that will have room for the
// last of them first.
std::vector<RatedBin> GangReservations::select_in_best_zone(const Job& gang) {
    std::vector<RatedBin> best = select(gang, gang.assigned_zone);
    if (!gang.spec.one_zone || state_cache_.required_zone(gang)) return best;
    const std::size_t members = gang.spec.tasks;
    for (const auto& zone : settings_.zones) {
        if (gang.assigned_zone == zone) continue;
        std::vector<RatedBin> other = select(gang, zone);
        if (other.size() < members) continue;
        if (best.size() < members || other.back().rating < best.back().rating) best = std::move(other);
    }
    return best;
}

}  // namespace zincdyke::autoscaler
