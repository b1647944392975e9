#include "supply/supply.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "sched/logic.h"

namespace zd {
namespace {
constexpr Duration tick_every = std::chrono::milliseconds(500);
constexpr std::size_t most_returned = 100;   // machines in one call, by the protocol
constexpr std::uint32_t most_rented = 50;    // likewise
constexpr std::size_t most_told = 1000;      // machines in one message to a peer
constexpr std::size_t many_machines = 1500;  // from here on plans are made half as often
constexpr double gang_patience_s = 15;       // before machines are kept for a gang
constexpr Duration fresh_beat = std::chrono::seconds(3);
}  // namespace

Supply::Supply(Env& env, const Settings& settings, const Policy& policy, StoreClient& store, Model& model,
               Cluster& cluster, CloudClient& cloud, SendPeer send)
    : env_(env),
      settings_(settings),
      policy_(policy),
      store_(store),
      model_(model),
      cluster_(cluster),
      cloud_(cloud),
      send_(std::move(send)) {}

void Supply::start() { tick(); }

void Supply::on_beat(const NodeName& from, const wire::Beat& b) {
    Mono now = env_.now();
    for (const auto& m : b.machines) {
        // Only the owner's word counts: one back from a cut still told of machines it had lost, as silent.
        if (model_.parts()[model_.part_of(m.id)].owner != from) continue;
        if (gone_.contains(m.id)) {
            // Its owner missed the word of the return, and still counts tasks on it.
            if (m.busy_tasks > 0 && cluster_.is_supplier()) send_(from, wire::Gone{{m.id}});
            continue;
        }
        known_[m.id] = {m, from, now};
        // A machine that reports is there, whatever the lagging list says: unexpected ones are used or
        // returned.
        if (m.silent || m.address.empty()) continue;
        auto [it, fresh] = rented_.try_emplace(m.id);
        Rented& r = it->second;
        if (fresh) {
            r.first_seen = now;
            log::info("event=machine_adopted machine={} type={}", m.id.v, m.type);
        }
        r.type = m.type;
        r.zone = m.zone;
        r.spot = m.spot;
        r.phase = wire::MachinePhase::running;
        r.ever_up = true;
        r.last_listed = now;
    }
}

void Supply::tick() {
    env_.after(rented_.size() < many_machines ? tick_every : 2 * tick_every, [this] { tick(); });
    Mono now = env_.now();
    if (!cluster_.is_supplier()) {
        active_ = noted_ = false;
        drained_.clear();
        placed_since_.clear();
        // Any node may learn the machine types once, so that a first submission need not wait for an
        // election.
        return;
    }
    if (!active_) {
        active_ = true;
        listed_ = false;
        active_since_ = now;
        list_due_ = types_due_ = now;
        renting_.clear();
    }
    if (now >= types_due_) read_types();
    if (now >= list_due_ && !listing_) {
        // A list that lags tells little more when it is read often; its pages cost calls and time.
        list_due_ = now + seconds(std::max({2.0, 2.0 / settings_.cloud_rps, settings_.list_lag_s / 3}));
        read_list("", {});
    }
    std::erase_if(gone_,
                  [&](const auto& g) { return now - g.second > seconds(settings_.list_lag_s * 3 + 30); });
    std::erase_if(known_, [&](const auto& k) { return now - k.second.at > seconds(60); });
    if (listed_) {
        if (!drained_.empty()) {
            auto all = std::exchange(drained_, {});
            give_back({all.begin(), all.end()}, "idle");
        }
        plan();
        clean_strays();
    }
}

void Supply::read_types() {
    types_due_ = env_.now() + seconds(model_.types().empty() ? 1.0 : 30.0);
    cloud_.types([this](std::optional<std::vector<wire::MachineType>> t) {
        if (!t || t->empty() || !cluster_.is_supplier()) return;
        Json v = wire::types_to_json(*t);
        if (v == wire::types_to_json(model_.types())) return;
        Txn txn;
        txn.conditions.push_back({keys::types, model_.version(keys::types)});
        txn.writes.push_back({keys::types, v, std::nullopt});
        store_.commit(txn, Urgency::lease, [this, v](CommitResult r) {
            if (r.outcome == Outcome::ok) model_.apply({keys::types, v, r.revision});
        });
    });
}

void Supply::read_list(const std::string& after, std::set<MachineId> seen) {
    listing_ = true;
    cloud_.list(after, [this, seen = std::move(seen)](std::optional<wire::MachinePage> page) mutable {
        listing_ = false;
        if (!page || !cluster_.is_supplier()) return;
        Mono now = env_.now();
        for (const auto& m : page->machines) {
            seen.insert(m.id);
            if (gone_.contains(m.id)) continue;
            auto [it, fresh] = rented_.try_emplace(m.id);
            Rented& r = it->second;
            if (fresh) {
                r.first_seen = now;
                r.age_s = m.age_s;
            }
            r.type = m.type;
            r.zone = m.zone;
            r.spot = m.spot;
            r.last_listed = now;
            r.address = m.address;
            // A list is older than what the machine itself said.
            if (!r.ever_up || m.phase == wire::MachinePhase::failed) r.phase = m.phase;
        }
        if (page->more && !page->machines.empty()) {
            read_list(page->machines.back().id.v, std::move(seen));
            return;
        }
        listed_ = true;
        tell_sighted();
        // Not listed long after it was: gone. The list proves nothing about its tasks, only what we may count
        // on.
        std::erase_if(rented_, [&](const auto& r) {
            return !seen.contains(r.first) &&
                   now - r.second.last_listed > seconds(settings_.list_lag_s * 3 + 5) &&
                   now - r.second.first_seen > seconds(settings_.list_lag_s * 3 + 5);
        });
    });
}

void Supply::tell_sighted() {
    const Mono now = env_.now();
    wire::Sighted s;
    for (const auto& [id, r] : rented_) {
        if (r.phase != wire::MachinePhase::running || r.address.empty() || r.returning) continue;
        auto k = known_.find(id);
        if (k != known_.end() && now - k->second.at < fresh_beat && !k->second.beat.silent &&
            !k->second.beat.address.empty())
            continue;
        s.machines.push_back({id, r.address});
    }
    while (!s.machines.empty()) {
        wire::Sighted part;
        const std::size_t n = std::min(most_told, s.machines.size());
        part.machines.assign(s.machines.end() - static_cast<std::ptrdiff_t>(n), s.machines.end());
        s.machines.resize(s.machines.size() - n);
        for (const auto& to : settings_.all_nodes()) send_(to, part);
    }
}

void Supply::plan() {
    Mono now = env_.now();
    supply::PlanInput in;
    in.types = &model_.types();
    if (model_.types().empty()) return;
    // So many requests at a time as leave the cloud's rate to lists and returns as well.
    in.most_new = most_rented * static_cast<std::size_t>(std::max(1.0, std::ceil(settings_.cloud_rps / 4)));
    std::vector<MachineId> silent, slow, failed;
    const WallMs wall = env_.wall();
    auto give_up = [&](const wire::MachineBeat& b) {
        // Out of touch beyond its lease: its tasks are lost anyway, but a cut may still end. One that its
        // present owner never heard can't be proven empty but by its return.
        const double keep_s = b.address.empty() ? 3 : policy_.silent_keep_s;
        return b.silent && b.silent_ms > (settings_.lease_s + keep_s) * 1000;
    };
    for (auto& [id, r] : rented_) {
        if (r.returning || gone_.contains(id)) continue;
        const auto* type = model_.type(r.type);
        if (type == nullptr) continue;
        if (r.phase == wire::MachinePhase::failed) {
            failed.push_back(id);
            continue;
        }
        auto k = known_.find(id);
        const bool fresh = k != known_.end() && now - k->second.at < fresh_beat;
        if (fresh && give_up(k->second.beat)) {
            silent.push_back(id);
            continue;
        }
        const bool heard = fresh && !k->second.beat.address.empty();
        supply::Bin bin{id, r.type, r.zone, r.spot, {}, false, {}};
        if (heard) {
            r.unheard_since = {};
            const auto& b = k->second.beat;
            if (!b.usable) continue;
            Room free = type->room;
            for (const auto& ref : model_.on_machine(id)) {
                const Job* j = model_.job(ref.job);
                if (j == nullptr) continue;
                free -= j->spec.need;
                bin.slots.push_back({std::max(3.0, j->spec.estimate_s * 0.7), j->spec.need});
            }
            bin.slots.push_back({0, free});
        } else if (r.phase == wire::MachinePhase::running) {
            // Up by the cloud's word: not slow to boot, whatever its age. After an election or a restart its
            // owner may not have heard it yet; one that nobody hears for long can't be used and is returned.
            if (r.unheard_since == Mono{}) r.unheard_since = now;
            if (!r.ever_up && now - r.unheard_since > seconds(settings_.lease_s + policy_.silent_keep_s + 10))
                silent.push_back(id);
            if (now - r.unheard_since > seconds(5)) continue;
            bin.slots.push_back({1.0, type->room});
        } else if (!r.ever_up) {
            double age = r.age_s + to_s(now - r.first_seen);
            if (age > type->boot_s * policy_.boot_limit + 5) {
                slow.push_back(id);
                continue;
            }
            bin.slots.push_back({std::max(1.0, type->boot_s - age), type->room});
        } else {
            continue;
        }
        in.bins.push_back(std::move(bin));
    }
    // Machines that only placements tell of, and that nobody hears: their return is the only proof.
    for (const auto& [id, k] : known_)
        if (!rented_.contains(id) && now - k.at < fresh_beat && k.beat.busy_tasks > 0 && give_up(k.beat))
            silent.push_back(id);
    for (const auto& [kind, n] : renting_) {
        const auto* type = model_.type(kind.type);
        for (std::uint32_t i = 0; type != nullptr && i < n; ++i)
            in.bins.push_back(
                {MachineId(), kind.type, kind.zone, kind.spot, {{type->boot_s, type->room}}, false, {}});
    }
    for (const auto& [kind, until] : refused_until_)
        if (until > now) in.refused.insert(kind);

    std::vector<const Job*> jobs;
    for (const auto& [id, j] : model_.jobs())
        if (!j.cancelled && j.pending() > 0) jobs.push_back(&j);
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        return a->submitted < b->submitted;
    });
    std::map<TeamName, TeamUse> use;
    for (const Job* j : jobs) {
        const Team* t = model_.team_settings(j->spec.team);
        if (t == nullptr) continue;
        auto [u, fresh] = use.try_emplace(j->spec.team);
        if (fresh) u->second = model_.team(j->spec.team);
        // What the team's limit keeps waiting needs no machine yet.
        auto n = static_cast<std::int64_t>(j->pending());
        if (t->cpu_max > 0 && j->spec.need.cpu > 0)
            n = std::min(n, (t->cpu_max - u->second.cpu) / j->spec.need.cpu);
        if (t->gpu_max > 0 && j->spec.need.gpu > 0)
            n = std::min(n, (t->gpu_max - u->second.gpu) / j->spec.need.gpu);
        if (n <= 0) continue;
        u->second.cpu += n * j->spec.need.cpu;
        u->second.gpu += n * j->spec.need.gpu;
        double waited = static_cast<double>(wall.v - j->submitted.v) / 1000.0;
        double patient = std::max(0.0, supply::patience(settings_, j->spec) * policy_.patience - waited);
        supply::Demand d;
        d.spec = &j->spec;
        d.pin = j->pinned_zone;
        d.tasks = static_cast<TaskIndex>(n);
        // A service frees its room only when it is cancelled: nothing is planned after it.
        d.run_s = j->spec.shape == wire::Shape::service ? 1e6 : std::max(1.0, j->spec.estimate_s);
        d.patience_s = patient;
        in.demands.push_back(std::move(d));
    }
    note_placed();
    reserve(in);
    in.demands = supply::merge(std::move(in.demands));
    supply::Plan p = supply::make_plan(std::move(in));
    tell_reserved();
    // A new supplier sees what its predecessor rented only when the list has caught up.
    const bool caught_up = now - active_since_ > seconds(std::min(8.0, settings_.list_lag_s + 1)) ||
                           active_since_ - Mono{} < seconds(1);
    if (caught_up)
        for (const auto& [kind, n] : p.rent)
            if (!renting_.contains(kind))
                for (std::uint32_t left = n; left > 0; left -= std::min(left, most_rented))
                    rent(kind, std::min(left, most_rented));
    for (auto& [id, r] : rented_) {
        auto k = known_.find(id);
        if (r.returning || k == known_.end() || now - k->second.at > fresh_beat || p.wanted.contains(id))
            continue;
        const auto& b = k->second.beat;
        if (b.silent || b.busy_tasks > 0 || now - r.drain_asked < seconds(2)) continue;
        const auto* type = model_.type(r.type);
        double keep_s = type != nullptr
                            ? std::max(policy_.idle_keep_s, type->boot_s * policy_.idle_keep_boots)
                            : policy_.idle_keep_s;
        if (b.idle_ms < keep_s * 1000) continue;
        r.drain_asked = now;
        send_(k->second.owner, wire::Drain{id});
    }
    if (!silent.empty()) give_back(std::move(silent), "silent");
    if (!slow.empty()) give_back(std::move(slow), "slow_boot");
    if (!failed.empty()) give_back(std::move(failed), "failed");
}

// A gang starts whole or not at all: behind smaller work that takes each place as it comes free it would wait
// for ever. One that has waited too long gets machines of its own, which come free one after another; the
// longest waiting first.
void Supply::reserve_for_gangs(supply::PlanInput& in, std::map<MachineId, sched::Reservation>& chosen) {
    std::vector<const Job*> late;
    const WallMs wall = env_.wall();
    for (const auto& [id, j] : model_.jobs())
        if (j.spec.shape == wire::Shape::gang && !j.cancelled && j.pending() == j.spec.tasks &&
            static_cast<double>(wall.v - j.submitted.v) > gang_patience_s * 1000 &&
            model_.team_has_room(j.spec.team, j.spec.need, j.spec.tasks))
            late.push_back(&j);
    std::sort(late.begin(), late.end(), [](const Job* a, const Job* b) {
        if (a->spec.rank != b->spec.rank) return a->spec.rank < b->spec.rank;
        return a->submitted < b->submitted;
    });
    if (late.empty()) return;
    // Not more than a quarter of what there is stands still for them at once, but always enough for the
    // first.
    std::size_t left = std::max<std::size_t>(in.bins.size() / 4, late.front()->spec.tasks);
    // What is kept for a gang stays so: moving on would begin the waiting anew.
    std::map<JobId, std::vector<supply::Bin*>> kept;
    for (auto& b : in.bins)
        if (auto r = reserved_.find(b.id); !b.id.empty() && r != reserved_.end() && !r->second.job.empty())
            kept[r->second.job].push_back(&b);
    // Gangs come in few shapes. The machines of each are ordered once, by when they will have room for one
    // member: looked up for each of hundreds of gangs this took a fifth of the supplier's time.
    using Order = std::vector<std::pair<double, supply::Bin*>>;
    std::map<std::string, Order> orders;
    auto order_of = [&](const Job& j, const std::optional<std::string>& zone) -> const Order& {
        std::string key = std::to_string(j.spec.need.cpu) + " " + std::to_string(j.spec.need.gpu) + " " +
                          std::to_string(j.spec.need.ram) + (j.spec.spot ? "|s" : "|o") + "@" +
                          zone.value_or("");
        if (j.spec.types)
            for (const auto& t : *j.spec.types) key += "," + t;
        auto [it, fresh] = orders.try_emplace(key);
        if (!fresh) return it->second;
        for (auto& b : in.bins) {
            const auto* t = model_.type(b.type);
            if (b.id.empty() || t == nullptr || !t->room.fits(j.spec.need) ||
                !sched::machine_allowed(j.spec, zone, b.type, b.zone, b.spot))
                continue;
            std::vector<supply::Slot> slots = b.slots;
            std::sort(slots.begin(), slots.end(),
                      [](const auto& x, const auto& y) { return x.free_at < y.free_at; });
            Room room;
            double when = 0;
            for (const auto& s : slots) {
                room += s.room;
                when = s.free_at;
                if (room.fits(j.spec.need)) break;
            }
            it->second.emplace_back(when, &b);
        }
        std::stable_sort(it->second.begin(), it->second.end(),
                         [](const auto& x, const auto& y) { return x.first < y.first; });
        return it->second;
    };
    auto take = [&](const Job& j, const std::optional<std::string>& zone) {
        Order out;
        if (auto k = kept.find(j.spec.id); k != kept.end())
            for (auto* b : k->second)
                if (out.size() < j.spec.tasks && !b->reserved &&
                    sched::machine_allowed(j.spec, zone, b->type, b->zone, b->spot))
                    out.emplace_back(-1, b);
        for (const auto& [when, b] : order_of(j, zone)) {
            if (out.size() >= j.spec.tasks) break;
            if (!b->reserved &&
                std::none_of(out.begin(), out.end(), [&](const auto& o) { return o.second == b; }))
                out.emplace_back(when, b);
        }
        return out;
    };
    for (const Job* j : late) {
        if (left == 0) break;
        if (j->spec.tasks > left) continue;
        const sched::Reservation mark{j->spec.job_class, j->spec.rank, 0, j->spec.id};
        Order order = take(*j, j->pinned_zone);
        // One that may go to any zone, all its members to the same, goes to the one that will have room for
        // the last of them first.
        if (!model_.bound_zone(*j) && j->spec.one_zone)
            for (const auto& z : settings_.zones) {
                if (j->pinned_zone == z) continue;
                Order other = take(*j, z);
                if (other.size() < j->spec.tasks) continue;
                if (order.size() < j->spec.tasks || other.back().first < order.back().first)
                    order = std::move(other);
            }
        if (order.size() < j->spec.tasks) continue;
        for (std::size_t i = 0; i < j->spec.tasks; ++i) {
            order[i].second->reserved = mark;
            chosen[order[i].second->id] = mark;
        }
        left -= j->spec.tasks;
        make_room(order, j->spec.tasks, j->spec.tasks, j->spec, mark);
    }
}

// Stopping what saves loses nothing. Of the rest only tasks of lower rank that have just begun are stopped:
// most of their time so far went into their image, which stays.
std::optional<double> Supply::loss_of(const MachineId& id, const sched::Reservation& r) const {
    double loss = 0;
    for (const auto& ref : model_.on_machine(id)) {
        const Job* j = model_.job(ref.job);
        if (j == nullptr || j->spec.rank <= r.rank || j->spec.shape != wire::Shape::array)
            return std::nullopt;
        if (sched::yields(j->spec, r)) continue;
        auto since = placed_since_.find({ref, model_.task(ref).attempt});
        if (since == placed_since_.end()) return std::nullopt;
        const double ran = to_s(env_.now() - since->second);
        if (ran > policy_.preempt_loss_s) return std::nullopt;
        loss += ran;
    }
    return loss;
}

void Supply::note_placed() {
    const Mono now = env_.now();
    std::map<std::pair<TaskRef, Attempt>, Mono> still;
    for (const auto& [id, placed] : model_.machines())
        for (const auto& ref : placed) {
            const std::pair key{ref, model_.task(ref).attempt};
            auto it = placed_since_.find(key);
            // What was there before this supplier was elected may have run for long.
            still.emplace(key, it != placed_since_.end() ? it->second
                               : noted_                  ? now
                                                         : now - std::chrono::hours(1));
        }
    placed_since_ = std::move(still);
    noted_ = true;
}

// Classes whose aim for the wait is shorter than a boot can only be met by machines that stand ready: those
// that run them now, and as many more as arrive, by the recent rate, while another machine would boot.
void Supply::reserve(supply::PlanInput& in) {
    const WallMs wall = env_.wall();
    for (const auto& [id, j] : model_.jobs())
        if (!j.cancelled) arrivals_[j.spec.job_class].note(j.spec, j.submitted, j.spec.zone);
    std::map<MachineId, sched::Reservation> chosen;
    const Mono now = env_.now();
    std::erase_if(clearing_, [&](const auto& c) { return now - c.second > seconds(12); });
    reserve_for_gangs(in, chosen);
    std::vector<supply::Demand> standing;
    for (auto& [name, a] : arrivals_) {
        a.forget(wall);
        const wire::MachineType* type = nullptr;
        for (const auto& t : model_.types())
            if (sched::type_allowed(a.spec, t) && (type == nullptr || t.price < type->price)) type = &t;
        double within = 1e9;
        for (const auto& o : settings_.objectives)
            if (o.kind == "wait" && o.job_class == name) within = std::min(within, o.within_s);
        if (type == nullptr || within > type->boot_s * 1.5 || a.times.empty()) continue;
        const double boot = type->boot_s + a.spec.image_gb / type->fetch_gb_per_s;
        const double expected = std::ceil(a.machines_per_s(wall) * boot * policy_.reserve);
        const auto ready =
            static_cast<std::size_t>(std::clamp(expected, policy_.reserve > 0 ? 1.0 : 0.0,
                                                std::max(50.0, static_cast<double>(in.bins.size()) / 4)));
        std::size_t waiting = 0;
        for (const auto& d : in.demands)
            if (d.spec->job_class == name) waiting += d.tasks;
        std::vector<std::pair<double, supply::Bin*>> order;
        std::size_t running = 0;
        const auto shares = a.image_shares();
        const sched::Reservation mark{name, a.spec.rank, std::min(within * 0.4, 10.0)};
        for (auto& b : in.bins) {
            if (b.id.empty() || b.reserved || !sched::machine_allowed(a.spec, a.pin, b.type, b.zone, b.spot))
                continue;
            const auto* t = model_.type(b.type);
            if (t == nullptr || !t->room.fits(a.spec.need)) continue;
            bool runs = false;
            for (const auto& ref : model_.on_machine(b.id))
                if (const Job* j = model_.job(ref.job); j != nullptr && j->spec.job_class == name)
                    runs = true;
            running += runs ? 1 : 0;
            const bool was = reserved_.contains(b.id), busy = !model_.on_machine(b.id).empty();
            // Of the busy ones those first that lose least when they are cleared.
            const double loss = busy && !runs ? loss_of(b.id, mark).value_or(1e6) : 0;
            // Of the idle ones those first that hold the images which the class asks for most: a gang with
            // room waits for the fetch of its image alone.
            double held = 0;
            if (!busy)
                model_.each_image(b.id, t->cache_gb, [&](const std::string& image) {
                    if (auto s = shares.find(image); s != shares.end()) held += s->second;
                });
            order.emplace_back(runs                       ? 0
                               : clearing_.contains(b.id) ? 0.5
                               : !busy                    ? 2 - held - (was ? 0.1 : 0)
                                                          : (was ? 3 : 4) + loss,
                               &b);
        }
        std::stable_sort(order.begin(), order.end(),
                         [](const auto& x, const auto& y) { return x.first < y.first; });
        const std::size_t want = running + waiting + ready;
        const std::size_t yielding = make_room(order, std::min(want, order.size()), waiting, a.spec, mark);
        // While tasks of the class wait, nobody else uses its machines, however soon it would yield: of a
        // machine being cleared, the first half that came free was taken again before the second was.
        sched::Reservation kept = mark;
        if (waiting > 0) kept.save_s = 0;
        for (std::size_t i = 0; i < std::min(want, order.size()); ++i) {
            order[i].second->reserved = kept;
            chosen[order[i].second->id] = kept;
        }
        supply::Demand d;
        d.spec = &a.spec;
        d.pin = a.pin;
        d.tasks = static_cast<TaskIndex>(ready - std::min(ready, yielding));
        d.run_s = std::max(1.0, a.spec.estimate_s);
        standing.push_back(std::move(d));
    }
    for (auto& d : standing) in.demands.push_back(std::move(d));
    reserved_ = std::move(chosen);
}

// Each owner hears of its own machines.
void Supply::tell_reserved() {
    std::map<NodeName, std::vector<wire::ReservedMachine>> by_owner;
    for (const auto& n : settings_.all_nodes()) by_owner[n];
    for (const auto& [id, r] : reserved_) {
        auto owner = by_owner.find(model_.parts()[model_.part_of(id)].owner);
        if (owner == by_owner.end()) continue;
        owner->second.push_back(
            {id, r.job_class, r.rank, static_cast<std::uint32_t>(r.save_s * 1000), r.job});
    }
    for (auto& [n, machines] : by_owner) {
        wire::Reserve m;
        for (auto& e : machines) {
            m.machines.push_back(std::move(e));
            if (m.machines.size() < most_told) continue;
            send_(n, std::exchange(m, wire::Reserve{false, {}}));
        }
        if (m.first || !m.machines.empty()) send_(n, std::move(m));
    }
}

// Among the first `n` of the machines kept for a class, clears as many as its waiting tasks lack; returns how
// many more could be cleared without loss of work.
std::size_t Supply::make_room(const std::vector<std::pair<double, supply::Bin*>>& order, std::size_t n,
                              std::size_t waiting, const wire::JobSpec& spec, const sched::Reservation& r) {
    std::size_t yielding = 0;
    std::vector<std::pair<double, MachineId>> can;
    for (std::size_t i = 0; i < n; ++i) {
        const supply::Bin& b = *order[i].second;
        const bool free_now = std::any_of(b.slots.begin(), b.slots.end(), [&](const auto& s) {
            return s.free_at <= 0 && s.room.fits(spec.need);
        });
        if (free_now || clearing_.contains(b.id)) {
            if (waiting > 0) --waiting;
            continue;
        }
        if (auto loss = loss_of(b.id, r); loss && !model_.on_machine(b.id).empty())
            can.emplace_back(*loss, b.id);
    }
    std::stable_sort(can.begin(), can.end(), [](const auto& x, const auto& y) { return x.first < y.first; });
    for (const auto& [loss, id] : can) {
        if (waiting == 0) {
            if (loss == 0) ++yielding;
            continue;
        }
        --waiting;
        clearing_[id] = env_.now();
        auto k = known_.find(id);
        for (const auto& ref : model_.on_machine(id)) {
            log::info("event=preempt task={} machine={} for_class={} loss_s={:.1f}", ref.str(), id.v,
                      r.job_class, loss);
            if (k != known_.end())
                send_(k->second.owner, wire::Preempt{ref.job, ref.task, model_.task(ref).attempt});
        }
    }
    return yielding;
}

void Supply::Arrivals::note(const wire::JobSpec& s, WallMs at, const std::optional<std::string>& zone) {
    if (times.contains({at, s.id})) return;
    if (times.empty() || at > times.rbegin()->first.first) {
        spec = s;
        pin = zone;
    }
    if (first == WallMs{}) first = at;
    times.emplace(std::make_pair(at, s.id), Arrival{s.shape == wire::Shape::gang ? s.tasks : 1, s.image});
    if (times.size() > 500) times.erase(times.begin());
}

void Supply::Arrivals::forget(WallMs now) {
    while (!times.empty() && times.begin()->first.first.v + window_ms < now.v) times.erase(times.begin());
}

double Supply::Arrivals::machines_per_s(WallMs now) const {
    double tasks = 0;
    for (const auto& [when, a] : times) tasks += a.tasks;
    return tasks / window_s(now);
}

std::map<std::string, double> Supply::Arrivals::image_shares() const {
    std::map<std::string, double> shares;
    double all = 0;
    for (const auto& [when, a] : times) {
        shares[a.image] += a.tasks;
        all += a.tasks;
    }
    for (auto& [image, share] : shares) share /= all;
    return shares;
}

double Supply::Arrivals::window_s(WallMs now) const {
    return std::clamp(static_cast<double>(now.v - first.v) / 1000.0, 30.0, window_ms / 1000.0);
}

void Supply::rent(const supply::Kind& k, std::uint32_t count) {
    // Unique for ever: no two processes share an incarnation, and none counts backwards.
    std::string name = settings_.node.v + "." + std::to_string(cluster_.incarnation().v) + "." +
                       std::to_string(++next_hire_);
    renting_[k] += count;
    log::info("event=rent request={} type={} zone={} spot={} count={}", name, k.type, k.zone, k.spot, count);
    cloud_.rent(
        name, k.type, k.zone, k.spot, count,
        [this, k, count, name](CloudClient::Rent r, std::vector<MachineId> got) {
            Mono now = env_.now();
            if (auto it = renting_.find(k);
                it != renting_.end() && (it->second -= std::min(it->second, count)) == 0)
                renting_.erase(it);
            for (const auto& id : got) {
                auto [it, fresh] = rented_.try_emplace(id);
                if (!fresh) continue;
                it->second.type = k.type;
                it->second.zone = k.zone;
                it->second.spot = k.spot;
                it->second.first_seen = it->second.last_listed = now;
            }
            log::info("event=rented request={} outcome={} machines={}", name, static_cast<int>(r),
                      got.size());
            if (r == CloudClient::Rent::no_capacity || (r == CloudClient::Rent::ok && got.size() < count))
                refused_until_[k] = now + seconds(policy_.refused_pause_s);
            else if (r != CloudClient::Rent::ok)
                refused_until_[k] =
                    now + seconds(r == CloudClient::Rent::unknown ? settings_.list_lag_s * 2 + 2 : 2);
        });
}

void Supply::on_drained(const wire::Drained& m) {
    // Together with others: a call for each machine spent the cloud's budget, and rents waited behind them.
    if (cluster_.is_supplier()) drained_.insert(m.machine);
}

void Supply::on_gone(const wire::Gone& m) {
    for (const auto& id : m.machines) {
        rented_.erase(id);
        known_.erase(id);
        gone_[id] = env_.now();
    }
}

void Supply::give_back(std::vector<MachineId> machines, const char* why) {
    std::erase_if(machines, [&](const auto& id) {
        auto it = rented_.find(id);
        return it != rented_.end() && it->second.returning;
    });
    if (machines.empty()) return;
    if (machines.size() > most_returned) machines.resize(most_returned);
    for (const auto& id : machines) {
        if (auto it = rented_.find(id); it != rented_.end()) it->second.returning = true;
        log::info("event=return machine={} reason={}", id.v, why);
    }
    cloud_.give_back(machines, [this, machines](bool ok) {
        if (!ok) {
            for (const auto& id : machines)
                if (auto it = rented_.find(id); it != rented_.end()) it->second.returning = false;
            return;
        }
        // The cloud's word that they are gone is proof for every owner.
        for (const auto& n : settings_.all_nodes()) send_(n, wire::Gone{machines});
    });
}

void Supply::clean_strays() {
    if (cleaning_ || model_.orphans().empty()) return;
    const std::string key = *model_.orphans().begin();
    std::string rest = key.substr(4);
    JobId id(rest.substr(0, rest.find('/')));
    Txn txn;
    // Only where the job is over for good: its final record is there and its live one is not.
    txn.conditions.push_back({keys::job(id), Revision{}});
    txn.writes.push_back({key, std::nullopt, std::nullopt});
    cleaning_ = true;
    store_.commit(txn, Urgency::user, [this, key](CommitResult r) {
        if (r.outcome == Outcome::ok) model_.apply({key, std::nullopt, r.revision});
        env_.after(seconds(1), [this] { cleaning_ = false; });
    });
}

}  // namespace zd
