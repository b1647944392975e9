// Controllers read all records anew, slowly and at any time, while starts, releases and cancellations are
// committed, messages between controllers are held back and machines hang: the guarantees hold.
#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

constexpr double step_s = 0.02;

// Plays faults that make a controller's records older than what it knew, or a message older than them.
class ReloadFaultInjector {
  public:
    explicit ReloadFaultInjector(SimulatedDeployment& deployment) : deployment_(deployment) {}

    // Runs for `duration_s`. Machines hang in the moment in which a task is placed on them, until about the
    // end of their lease, and the records are read anew around the release of their tasks.
    void run(double duration_s) {
        const double end = deployment_.now() + duration_s;
        while (deployment_.now() < end) {
            hang_machines_with_new_tasks();
            if (happens(0.01)) reload(pick(3));
            if (happens(0.003)) hold_link();
            deployment_.run(step_s);
        }
    }

    bool happens(double probability) { return deployment_.random.happens(probability); }
    int pick(int n) { return static_cast<int>(deployment_.random.draw() % static_cast<std::uint64_t>(n)); }

  private:
    void hang_machines_with_new_tasks() {
        for (const auto& id : machine_ids(deployment_)) {
            const int placed = deployment_.store.placed_tasks(id);
            const bool is_new = placed > std::exchange(placed_before_[id], placed);
            if (!is_new || deployment_.workers.all().at(id).hung || !happens(0.25)) continue;
            const double duration_s = 9.8 + 1.6 * deployment_.chance();
            deployment_.workers.hang(id, duration_s);
            const int leader = leader_of(deployment_, id);
            if (leader < 0) continue;
            const double reload_after_s = duration_s - 0.9 * deployment_.chance();
            deployment_.after(reload_after_s, [this, leader] { reload(leader); });
        }
    }
    // The controller's watch cannot be continued. The list is answered late, and sometimes the store rejects
    // the controller from then on for a while.
    void reload(int controller) {
        const std::string name = deployment_.controller_name(controller);
        const double delay_s = 0.9 * deployment_.chance();
        deployment_.store.compacted_clients.insert(name);
        deployment_.faults.list_response_delay_s = delay_s;
        if (happens(0.5)) return;
        deployment_.after(delay_s + 0.1 * deployment_.chance(),
                          [this, name] { deployment_.store.rejected_clients.insert(name); });
        deployment_.after(delay_s + 0.3 + 2 * deployment_.chance(),
                          [this, name] { deployment_.store.rejected_clients.erase(name); });
    }
    void hold_link() {
        const int controller = pick(3);
        const std::string one = deployment_.controller_name(controller);
        const std::string other = deployment_.controller_name((controller + 1) % 3);
        deployment_.set_link(one, other, LinkState::hold);
        deployment_.after(1 + 24 * deployment_.chance(),
                          [this, one, other] { deployment_.set_link(one, other, LinkState::up); });
    }

    SimulatedDeployment& deployment_;
    std::map<std::string, int> placed_before_;  // tasks placed on each machine, as of the previous step
};

class ReloadFaults : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(ReloadFaults, GuaranteesHold) {
    DeploymentOptions options = options_with_seed(GetParam());
    options.list_page_size = 1000;
    options.cloud_capacity = 10;
    options.boot_s = 1;
    SimulatedDeployment deployment(options);
    ReloadFaultInjector faults(deployment);
    deployment.run(3);
    std::vector<std::string> ids;
    for (int round = 0; round < 12; ++round) {
        for (int i = 0; i < 4; ++i) {
            ids.push_back(job_id(10 * round + i));
            Json job = deployment.job(ids.back(), 1 + faults.pick(3), 1 + faults.pick(3), 4 + faults.pick(20),
                                      faults.happens(0.5) ? "red" : "blue");
            job["one_zone"] = faults.happens(0.5);
            deployment.submit(job);
        }
        faults.run(3);
        for (const auto& id : ids)
            if (deployment.is_accepted(id) && deployment.last_phase(id) == "running" && faults.happens(0.1))
                deployment.cancel(id);
        poll_accepted(deployment, ids);
        faults.run(5);
        poll_accepted(deployment, ids);
    }
    deployment.run(30);
    expect_recovery(deployment, ids, 300);
}
// ZINCDYKE_SEEDS asks for a longer hunt by hand; the usual run has a fixed dozen.
std::uint64_t reload_seeds() {
    const char* count = std::getenv("ZINCDYKE_SEEDS");
    return count != nullptr ? std::stoull(count) : 12;
}
INSTANTIATE_TEST_SUITE_P(Seeds, ReloadFaults, ::testing::Range<std::uint64_t>(964, 964 + reload_seeds()));

}  // namespace
}  // namespace zincdyke::testing
