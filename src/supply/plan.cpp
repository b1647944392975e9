#include "supply/plan.h"

#include <algorithm>
#include <limits>

#include "sched/logic.h"

namespace zd::supply {
namespace {
constexpr std::size_t most_considered = 3000;  // tasks: a plan must not stall the loop

double fetch_time(const wire::JobSpec& s, const wire::MachineType& t) { return s.image_gb / t.fetch_gb_per_s; }

// Puts one task into the slot that is free first, if that is early enough.
bool place(std::vector<Bin>& bins, const Demand& d, const std::vector<wire::MachineType>& types) {
    Bin* best = nullptr;
    std::size_t slot = 0;
    double when = std::numeric_limits<double>::max();
    for (auto& b : bins) {
        if (!sched::machine_allowed(*d.spec, d.pin, b.type, b.zone, b.spot)) continue;
        if (b.reserved && !sched::may_use(*d.spec, *b.reserved)) continue;
        auto kind = std::find_if(types.begin(), types.end(), [&](const auto& t) { return t.name == b.type; });
        if (kind == types.end() || !sched::worth_using(*d.spec, *kind, types)) continue;
        for (std::size_t i = 0; i < b.slots.size(); ++i)
            if (b.slots[i].free_at < when && b.slots[i].room.fits(d.spec->need)) {
                best = &b;
                slot = i;
                when = b.slots[i].free_at;
            }
    }
    if (best == nullptr || when > d.patience_s) return false;
    auto type = std::find_if(types.begin(), types.end(), [&](const auto& t) { return t.name == best->type; });
    const bool first = !best->used;
    best->used = true;
    Slot after{when + d.run_s + (first && type != types.end() ? fetch_time(*d.spec, *type) : 0), d.spec->need};
    best->slots[slot].room -= d.spec->need;
    best->slots.push_back(after);
    return true;
}
}  // namespace

double patience(const Settings& s, const wire::JobSpec& spec) {
    double most = spec.deadline_s ? std::max(5.0, (*spec.deadline_s - spec.estimate_s) * 0.3) : 60.0;
    for (const auto& o : s.objectives) {
        if (o.job_class != spec.job_class) continue;
        if (o.kind == "wait") most = std::min(most, o.within_s * 0.35);
        if (o.kind == "finished") most = std::min(most, std::max(5.0, (o.within_s - spec.estimate_s) * 0.3));
    }
    return most;
}

Plan make_plan(PlanInput in) {
    Plan plan;
    std::size_t considered = 0, rented = 0;
    for (auto& d : in.demands) {
        // No machine rented now is there before its boot is over: until then, renting helps nobody.
        double soonest = std::numeric_limits<double>::max();
        for (const auto& t : *in.types)
            if (sched::type_allowed(*d.spec, t)) soonest = std::min(soonest, t.boot_s);
        if (soonest < std::numeric_limits<double>::max()) d.patience_s = std::max(d.patience_s, soonest + 0.1);
        TaskIndex left = d.tasks;
        while (left > 0 && considered < most_considered) {
            ++considered;
            if (place(in.bins, d, *in.types)) {
                --left;
                continue;
            }
            if (rented >= in.most_new) break;
            // The kind that costs least for each of the tasks that it would take on.
            std::optional<Kind> best;
            const wire::MachineType* best_type = nullptr;
            double least = std::numeric_limits<double>::max();
            for (const auto& t : *in.types) {
                if (!sched::type_allowed(*d.spec, t) || !sched::worth_using(*d.spec, t, *in.types)) continue;
                auto many = static_cast<std::int64_t>(left);
                auto at_once = [&](std::int64_t has, std::int64_t need) { return need > 0 ? has / need : many; };
                std::int64_t side = std::min({at_once(t.room.cpu, d.spec->need.cpu), at_once(t.room.gpu, d.spec->need.gpu),
                                              at_once(t.room.ram, d.spec->need.ram)});
                double turns = std::max(1.0, 1 + (d.patience_s - t.boot_s) / std::max(1.0, d.run_s));
                double takes = std::min(static_cast<double>(many), static_cast<double>(side) * turns);
                double hours = t.boot_s + fetch_time(*d.spec, t) + d.run_s * std::max(1.0, takes / static_cast<double>(side));
                for (const auto& z : t.zones)
                    for (bool spot : {true, false}) {
                        Kind k{t.name, z, spot};
                        if (!sched::machine_allowed(*d.spec, d.pin, t.name, z, spot) || in.refused.contains(k)) continue;
                        double cost = (spot ? t.spot_price : t.price) * hours / takes;
                        if (cost < least) {
                            least = cost;
                            best = k;
                            best_type = &t;
                        }
                    }
            }
            if (!best) break;
            ++plan.rent[*best];
            ++rented;
            in.bins.push_back({MachineId(), best->type, best->zone, best->spot, {{best_type->boot_s, best_type->room}}, true, {}});
            // Nothing is there sooner than a boot takes: what is rented for this task serves it however patient it is.
            Demand now = d;
            now.patience_s = std::max(d.patience_s, best_type->boot_s + 0.1);
            std::vector<Bin> fresh{in.bins.back()};
            if (!place(fresh, now, *in.types)) break;
            in.bins.back() = fresh.front();
            --left;
        }
    }
    for (const auto& b : in.bins)
        if (b.used && !b.id.empty()) plan.wanted.insert(b.id);
    return plan;
}

}  // namespace zd::supply
