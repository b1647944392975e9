#include "supply/plan.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <queue>
#include <tuple>
#include <utility>

#include "sched/logic.h"

namespace zd::supply {
namespace {
constexpr std::size_t most_considered = 50'000;  // tasks: a plan must not stall the loop
constexpr std::size_t most_apart = 64;           // demands planned one by one
constexpr double amounts_alike = 1.15, patience_alike_s = 10;

double fetch_time(const wire::JobSpec& s, const wire::MachineType& t) {
    return s.image_gb / t.fetch_gb_per_s;
}

// The slots that one demand may use, the soonest first. Looked up once for all of its tasks: a search through
// all machines for each task took a third of a controller's share at nine hundred of them.
class Openings {
  public:
    Openings(std::vector<Bin>& bins, const Demand& d, const std::vector<wire::MachineType>& types)
        : bins_(bins), demand_(d), types_(types) {
        for (std::size_t b = 0; b < bins.size(); ++b) add_bin(b);
    }
    void add_bin(std::size_t b) {
        const Bin& bin = bins_[b];
        const wire::MachineType* type = usable_type(bin);
        if (type == nullptr) return;
        if (bin.reserved && !sched::may_use(*demand_.spec, *bin.reserved)) return;
        for (std::size_t i = 0; i < bin.slots.size(); ++i) add(bin.slots[i], b, i, type);
    }
    // Puts one task into the slot that is free first, if that is early enough.
    bool place(double patience_s) {
        while (!heap_.empty()) {
            const Entry e = heap_.top();
            Slot& slot = bins_[e.bin].slots[e.slot];
            if (!slot.room.fits(demand_.spec->need)) {
                heap_.pop();
                continue;
            }
            if (e.free_at > patience_s) return false;
            Bin& bin = bins_[e.bin];
            const bool first = !std::exchange(bin.used, true);
            slot.room -= demand_.spec->need;
            bin.slots.push_back({e.free_at + demand_.run_s + (first ? fetch_time(*demand_.spec, *e.type) : 0),
                                 demand_.spec->need});
            add(bin.slots.back(), e.bin, bin.slots.size() - 1, e.type);
            return true;
        }
        return false;
    }

  private:
    struct Entry {
        double free_at = 0;
        std::size_t bin = 0, slot = 0;
        const wire::MachineType* type = nullptr;
        bool operator<(const Entry& o) const {  // the top of the heap is the soonest, then the first listed
            return std::tie(o.free_at, o.bin, o.slot) < std::tie(free_at, bin, slot);
        }
    };
    void add(const Slot& s, std::size_t bin, std::size_t slot, const wire::MachineType* type) {
        if (s.room.fits(demand_.spec->need)) heap_.push({s.free_at, bin, slot, type});
    }
    // Machines come in few kinds: each is judged once.
    const wire::MachineType* usable_type(const Bin& b) {
        for (const auto& [like, type] : kinds_)
            if (like->type == b.type && like->zone == b.zone && like->spot == b.spot) return type;
        const wire::MachineType* found = nullptr;
        auto t = std::find_if(types_.begin(), types_.end(), [&](const auto& o) { return o.name == b.type; });
        if (t != types_.end() && sched::machine_allowed(*demand_.spec, demand_.pin, b.type, b.zone, b.spot) &&
            sched::worth_using(*demand_.spec, *t, types_))
            found = &*t;
        seen_.push_back({b.type, b.zone, b.spot});
        kinds_.emplace_back(&seen_.back(), found);
        return found;
    }
    std::vector<Bin>& bins_;
    const Demand& demand_;
    const std::vector<wire::MachineType>& types_;
    std::deque<Kind> seen_;
    std::vector<std::pair<const Kind*, const wire::MachineType*>> kinds_;
    std::priority_queue<Entry> heap_;
};
}  // namespace

std::vector<Demand> merge(std::vector<Demand> demands) {
    if (demands.size() <= most_apart) return demands;
    auto step = [](std::int64_t v) {
        return v <= 0 ? 0 : static_cast<int>(std::log(static_cast<double>(v)) / std::log(amounts_alike));
    };
    std::vector<Demand> out;
    std::map<std::string, std::size_t> at;
    for (const auto& d : demands) {
        const wire::JobSpec& s = *d.spec;
        std::string key = s.job_class + "|" + std::to_string(static_cast<int>(s.rank)) +
                          (s.spot ? "s" : "o") + "@" + d.pin.value_or("") + "@" + s.zone.value_or("") + "|" +
                          std::to_string(step(s.need.cpu)) + "," + std::to_string(step(s.need.gpu)) + "," +
                          std::to_string(step(s.need.ram)) + "," +
                          std::to_string(static_cast<int>(d.patience_s / patience_alike_s));
        if (s.types)
            for (const auto& t : *s.types) key += "," + t;
        auto [it, fresh] = at.emplace(key, out.size());
        if (fresh) {
            out.push_back(d);
            continue;
        }
        Demand& o = out[it->second];
        const double n = o.tasks, m = d.tasks;
        o.run_s = (o.run_s * n + d.run_s * m) / std::max(1.0, n + m);
        o.patience_s = std::min(o.patience_s, d.patience_s);
        o.tasks += d.tasks;
        if (s.need.cpu > o.spec->need.cpu) o.spec = d.spec;  // what fits the larger fits both
    }
    return out;
}

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
        if (soonest < std::numeric_limits<double>::max())
            d.patience_s = std::max(d.patience_s, soonest + 0.1);
        TaskIndex left = d.tasks;
        if (left == 0 || considered >= most_considered) continue;
        Openings openings(in.bins, d, *in.types);
        while (left > 0 && considered < most_considered) {
            ++considered;
            if (openings.place(d.patience_s)) {
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
                auto at_once = [&](std::int64_t has, std::int64_t need) {
                    return need > 0 ? has / need : many;
                };
                std::int64_t side =
                    std::min({at_once(t.room.cpu, d.spec->need.cpu), at_once(t.room.gpu, d.spec->need.gpu),
                              at_once(t.room.ram, d.spec->need.ram)});
                double turns = std::max(1.0, 1 + (d.patience_s - t.boot_s) / std::max(1.0, d.run_s));
                double takes = std::min(static_cast<double>(many), static_cast<double>(side) * turns);
                double hours = t.boot_s + fetch_time(*d.spec, t) +
                               d.run_s * std::max(1.0, takes / static_cast<double>(side));
                for (const auto& z : t.zones)
                    for (bool spot : {true, false}) {
                        Kind k{t.name, z, spot};
                        if (!sched::machine_allowed(*d.spec, d.pin, t.name, z, spot) ||
                            in.refused.contains(k))
                            continue;
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
            in.bins.push_back({MachineId(),
                               best->type,
                               best->zone,
                               best->spot,
                               {{best_type->boot_s, best_type->room}},
                               true,
                               {}});
            // Nothing is there sooner than a boot takes: what is rented for this task serves it however
            // patient it is.
            openings.add_bin(in.bins.size() - 1);
            if (!openings.place(std::max(d.patience_s, best_type->boot_s + 0.1))) break;
            --left;
        }
    }
    for (const auto& b : in.bins)
        if (b.used && !b.id.empty()) plan.wanted.insert(b.id);
    return plan;
}

}  // namespace zd::supply
