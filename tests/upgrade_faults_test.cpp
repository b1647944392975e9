// Random faults across an upgrade: nodes of both versions, arrays of several pages, gangs and services, late
// and lost commits, and limits that drop at a random moment after the level has risen.
#include <cstdlib>

#include "cluster/format_level.h"
#include "story.h"

namespace zincdyke::testing {
namespace {

constexpr int steps = 60;
constexpr double step_s = 1;
constexpr double settle_s = 240;

std::uint64_t seeds() {
    const char* n = std::getenv("UPGRADE_SEEDS");
    return n != nullptr ? std::strtoull(n, nullptr, 10) : 25;
}

class UpgradeFaults : public ::testing::TestWithParam<std::uint64_t> {
  protected:
    static World::Options options() {
        World::Options o;
        o.seed = GetParam();
        o.zones = {"a", "b"};
        o.value_kb = 8;
        o.next_value_kb = 2;
        o.next_txn_ops = GetParam() % 4 == 0 ? 2 : 4;
        o.next_write_rps = 30;
        o.capacity = 60;
        o.production_nodes = {0, 1, 2};
        return o;
    }
    World w{options()};
    std::vector<std::string> finite;  // jobs that end by themselves
    std::vector<std::string> services;
    int next_job = 1;

    int pick(int n) { return static_cast<int>(w.rng() % static_cast<std::uint64_t>(n)); }

    void submit_any() {
        const std::string id = id_of(next_job++);
        Json body = w.job(id, 1 + pick(8), 1, 3 + pick(20), pick(3) == 0 ? "blue" : "red");
        switch (pick(6)) {
            case 0:
                body["shards"] = 120 + pick(120);
                body["vcpus"] = 0.25;
                body["crew"] = "red";
                break;
            case 1:
                body["shape"] = "group";
                body["shards"] = 1 + pick(3);
                body["one_zone"] = true;
                break;
            case 2:
            case 3:
                body["shape"] = "service";
                body["shards"] = 1 + pick(4);
                body["rank"] = "critical";
                body["real_s"] = pick(3) == 0 ? 8 : 1e6;
                services.push_back(id);
                break;
            case 4:
                body["apart"] = true;
                body["shards"] = 40 + pick(80);
                body["vcpus"] = 0.25;
                body["crew"] = "red";
                break;
            default:
                break;
        }
        w.submit(body);
        if (body["shape"] != "service") finite.push_back(id);
    }

    std::string any_machine() {
        std::vector<std::string> alive;
        for (const auto& [id, machine] : w.workers())
            if (machine.alive) alive.push_back(id);
        return alive.empty() ? "" : alive[w.rng() % alive.size()];
    }

    void cancel_any() {
        auto& ids = pick(2) == 0 && !services.empty() ? services : finite;
        if (ids.empty()) return;
        const std::string id = ids[w.rng() % ids.size()];
        if (w.accepted(id)) w.cancel(id);
    }

    void cut(const std::string& a, const std::string& b) {
        w.link(a, b, pick(2) == 0 ? Link::hold : Link::drop);
        w.at(2 + 12 * w.chance(), [this, a, b] { w.link(a, b, Link::up); });
    }

    void any_fault() {
        const int n = pick(3);
        const std::string machine = any_machine();
        switch (pick(12)) {
            case 0:
            case 1:
                w.crash(n);
                w.at(0.1 + 5 * w.chance(), [this, n] { w.start_node(n); });
                break;
            case 2:
                cut(w.name(n), pick(2) == 0 ? "state" : w.name((n + 1) % 3));
                break;
            case 3:
                w.store.outage = true;
                w.at(1 + 8 * w.chance(), [this] { w.store.outage = false; });
                break;
            case 4:
                w.store.refused.insert(w.name(n));
                w.at(2 + 12 * w.chance(), [this, n] { w.store.refused.erase(w.name(n)); });
                break;
            case 5:
                if (!machine.empty()) w.hang(machine, 2 + 15 * w.chance());
                break;
            case 6:
                if (!machine.empty()) w.kill_machine(machine);
                break;
            case 7:
                if (!machine.empty()) cut(machine, w.name(n));
                break;
            case 8:
                w.freeze(n, 1 + 8 * w.chance());
                break;
            case 9:
                if (!machine.empty()) w.notice(machine, 5 + 10 * w.chance());
                break;
            default:
                cancel_any();
                break;
        }
    }

    // Upgraded at random moments; a node that is down by a fault is replaced as well.
    void plan_upgrades() {
        for (int i = 0; i < 3; ++i)
            w.at(5 + 40 * w.chance(), [this, i] { w.upgrade(i, 0.2 + 3 * w.chance()); });
    }

    bool all_at_new_level() {
        for (int i = 0; i < 3; ++i)
            if (!w.up(i) || w.node(i).state_cache().format_level() < zincdyke::FormatLevel::small_pages)
                return false;
        return true;
    }

    void end_troubles() {
        w.late_writes = w.lost_answers = w.copies = w.repeats = w.late_commands = 0;
        w.store.outage = false;
        w.store.refused.clear();
        for (int i = 0; i < 3; ++i) {
            w.start_node(i);
            for (const std::string& other : {std::string("state"), w.name((i + 1) % 3)})
                w.link(w.name(i), other, Link::up);
        }
    }
};

TEST_P(UpgradeFaults, RulesHold) {
    w.run(3);
    plan_upgrades();
    w.late_writes = w.lost_answers = 0.03;
    w.copies = w.repeats = w.late_commands = 0.05;
    bool lowered = false;
    for (int step = 0; step < steps; ++step) {
        if (step % 4 == 0) submit_any();
        if (step % 3 == 0) any_fault();
        if (!lowered && all_at_new_level() && pick(4) == 0) {
            w.store.lower_limits(2048, GetParam() % 4 == 0 ? 2 : 4, 30);
            lowered = true;
        }
        w.run(step_s);
    }
    end_troubles();
    w.run(30);  // what was held or begun by a fault is over
    for (const auto& id : services)
        if (w.accepted(id)) w.cancel(id);
    std::vector<std::string> all = finite;
    all.insert(all.end(), services.begin(), services.end());
    expect_recovery(w, all, settle_s);
    EXPECT_TRUE(all_at_new_level());
    EXPECT_LE(w.store.refused_large, 20U);
}
INSTANTIATE_TEST_SUITE_P(Seeds, UpgradeFaults, ::testing::Range<std::uint64_t>(900, 900 + seeds()));

}  // namespace
}  // namespace zincdyke::testing
