// Random faults across an upgrade: controllers of both versions, arrays of several pages, gangs and services,
// late and lost commits, and limits that drop at a random moment after the level has risen.
#include <cstdlib>

#include "cluster/format_level.h"
#include "deployment_helpers.h"

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
    static DeploymentOptions options() {
        DeploymentOptions o;
        o.seed = GetParam();
        o.zones = {"a", "b"};
        o.max_value_kb = 8;
        o.next_max_value_kb = 2;
        o.next_max_operations = GetParam() % 4 == 0 ? 2 : 4;
        o.next_store_writes_per_s = 30;
        o.cloud_capacity = 60;
        o.production_controllers = {0, 1, 2};
        return o;
    }
    SimulatedDeployment deployment{options()};
    std::vector<std::string> finite;  // jobs that end by themselves
    std::vector<std::string> services;
    int next_job = 1;

    int pick(int n) { return static_cast<int>(deployment.random.draw() % static_cast<std::uint64_t>(n)); }

    void submit_any() {
        const std::string id = job_id(next_job++);
        Json body = deployment.job(id, 1 + pick(8), 1, 3 + pick(20), pick(3) == 0 ? "blue" : "red");
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
        deployment.submit(body);
        if (body["shape"] != "service") finite.push_back(id);
    }

    std::string any_machine() {
        std::vector<std::string> alive;
        for (const auto& [id, machine] : deployment.workers.all())
            if (machine.alive) alive.push_back(id);
        return alive.empty() ? "" : alive[deployment.random.draw() % alive.size()];
    }

    void cancel_any() {
        auto& ids = pick(2) == 0 && !services.empty() ? services : finite;
        if (ids.empty()) return;
        const std::string id = ids[deployment.random.draw() % ids.size()];
        if (deployment.is_accepted(id)) deployment.cancel(id);
    }

    void cut(const std::string& a, const std::string& b) {
        deployment.set_link(a, b, pick(2) == 0 ? LinkState::hold : LinkState::drop);
        deployment.after(2 + 12 * deployment.chance(),
                         [this, a, b] { deployment.set_link(a, b, LinkState::up); });
    }

    void any_fault() {
        const int n = pick(3);
        const std::string machine = any_machine();
        switch (pick(12)) {
            case 0:
            case 1:
                deployment.crash_controller(n);
                deployment.after(0.1 + 5 * deployment.chance(),
                                 [this, n] { deployment.start_controller(n); });
                break;
            case 2:
                cut(deployment.controller_name(n),
                    pick(2) == 0 ? "state" : deployment.controller_name((n + 1) % 3));
                break;
            case 3:
                deployment.store.outage = true;
                deployment.after(1 + 8 * deployment.chance(), [this] { deployment.store.outage = false; });
                break;
            case 4:
                deployment.store.rejected_clients.insert(deployment.controller_name(n));
                deployment.after(2 + 12 * deployment.chance(), [this, n] {
                    deployment.store.rejected_clients.erase(deployment.controller_name(n));
                });
                break;
            case 5:
                if (!machine.empty()) deployment.workers.hang(machine, 2 + 15 * deployment.chance());
                break;
            case 6:
                if (!machine.empty()) deployment.workers.crash(machine);
                break;
            case 7:
                if (!machine.empty()) cut(machine, deployment.controller_name(n));
                break;
            case 8:
                deployment.freeze_controller(n, 1 + 8 * deployment.chance());
                break;
            case 9:
                if (!machine.empty())
                    deployment.workers.announce_preemption(machine, 5 + 10 * deployment.chance());
                break;
            default:
                cancel_any();
                break;
        }
    }

    // Upgraded at random moments; a controller that is down by a fault is replaced as well.
    void plan_upgrades() {
        for (int i = 0; i < 3; ++i)
            deployment.after(5 + 40 * deployment.chance(),
                             [this, i] { deployment.upgrade_controller(i, 0.2 + 3 * deployment.chance()); });
    }

    bool all_at_new_level() {
        for (int i = 0; i < 3; ++i)
            if (!deployment.is_running(i) || deployment.controller(i).state_cache().fleet_format_level() <
                                                 zincdyke::FormatLevel::small_pages)
                return false;
        return true;
    }

    void end_troubles() {
        deployment.faults.late_commits = deployment.faults.lost_commit_responses =
            deployment.faults.duplicate_heartbeats = deployment.faults.duplicate_requests =
                deployment.faults.late_commands = 0;
        deployment.store.outage = false;
        deployment.store.rejected_clients.clear();
        for (int i = 0; i < 3; ++i) {
            deployment.start_controller(i);
            for (const std::string& other : {std::string("state"), deployment.controller_name((i + 1) % 3)})
                deployment.set_link(deployment.controller_name(i), other, LinkState::up);
        }
    }
};

TEST_P(UpgradeFaults, GuaranteesHold) {
    deployment.run(3);
    plan_upgrades();
    deployment.faults.late_commits = deployment.faults.lost_commit_responses = 0.03;
    deployment.faults.duplicate_heartbeats = deployment.faults.duplicate_requests =
        deployment.faults.late_commands = 0.05;
    bool lowered = false;
    for (int step = 0; step < steps; ++step) {
        if (step % 4 == 0) submit_any();
        if (step % 3 == 0) any_fault();
        if (!lowered && all_at_new_level() && pick(4) == 0) {
            deployment.store.lower_limits(2048, GetParam() % 4 == 0 ? 2 : 4, 30);
            lowered = true;
        }
        deployment.run(step_s);
    }
    end_troubles();
    deployment.run(30);  // what was held or begun by a fault is over
    for (const auto& id : services)
        if (deployment.is_accepted(id)) deployment.cancel(id);
    std::vector<std::string> all = finite;
    all.insert(all.end(), services.begin(), services.end());
    expect_recovery(deployment, all, settle_s);
    EXPECT_TRUE(all_at_new_level());
    EXPECT_LE(deployment.store.rejected_transactions, 20U);
}
INSTANTIATE_TEST_SUITE_P(Seeds, UpgradeFaults, ::testing::Range<std::uint64_t>(900, 900 + seeds()));

}  // namespace
}  // namespace zincdyke::testing
