// Team quotas: a limit is never exceeded, and no capacity within it is lost.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

const char* const both_teams_limited =
    "[[params.teams]]\nname = \"red\"\ncpus = 0\ncpus_max = 12\ngpus = 0\ngpus_max = 0\n"
    "[[params.teams]]\nname = \"blue\"\ncpus = 0\ncpus_max = 12\ngpus = 0\ngpus_max = 0\n";

TEST(Quotas, JobsBeyondTheLimitWaitAndFinish) {
    SimulatedDeployment deployment;
    deployment.run(3);
    std::vector<std::string> ids;
    for (int i = 0; i < 4; ++i) {
        ids.push_back(job_id(i));
        deployment.submit(deployment.job(ids.back(), 10, 1.5, 4, "blue"));
    }
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 240));
    expect_no_violations(deployment);
}

// A team at its limit when leaders change, some of its machines can't be asked, and a cancellation falls into
// that spell: the limit holds, and its capacity is neither lost nor given away.
TEST(Quotas, LimitHoldsAcrossLeaderChangeAndCancellation) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        deployment.submit(deployment.job(job_id(1), 12, 1, 500, "blue"));
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 12; }, 60));
        deployment.submit(deployment.job(job_id(2), 12, 1, 8, "blue"));
        deployment.run(3);
        std::vector<std::string> cut;
        for (auto& [id, m] : deployment.workers.all())
            if (cut.size() < 2 && deployment.store.placed_tasks(id) > 0) cut.push_back(id);
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n)
                deployment.set_link(id, deployment.controller_name(n),
                                    seed % 2 == 0 ? LinkState::hold : LinkState::drop);
        deployment.crash_controller(0);
        deployment.crash_controller(1);
        deployment.run(1);
        deployment.cancel(job_id(1), 2);
        deployment.run(5);
        deployment.start_controller(0);
        deployment.start_controller(1);
        deployment.run(20);
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n) deployment.set_link(id, deployment.controller_name(n), LinkState::up);
        deployment.run(3);
        expect_recovery(deployment, {job_id(1), job_id(2)}, 90);
    }
}

// Every team is at its limit while jobs are cancelled whose machines are cut off or hang, and leaders and
// the autoscaler leader change: the limits hold, what waited follows, and no capacity of a team is lost.
TEST(Quotas, LimitsOfAllTeamsHoldUnderPartitionsAndLeaderChanges) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        DeploymentOptions o = options_with_seed(seed);
        o.teams = both_teams_limited;
        SimulatedDeployment deployment(o);
        deployment.run(3);
        const std::vector<std::string> first{job_id(1), job_id(2)}, next{job_id(3), job_id(4)};
        for (std::size_t t = 0; t < 2; ++t)
            deployment.submit(deployment.job(first[t], 12, 1, 500, t == 0 ? "red" : "blue"));
        ASSERT_TRUE(deployment.run_until(
            [&] {
                return deployment.workers.executing_tasks(first[0]) == 12 &&
                       deployment.workers.executing_tasks(first[1]) == 12;
            },
            60));
        for (std::size_t t = 0; t < 2; ++t)
            deployment.submit(deployment.job(next[t], 14, 1, 8, t == 0 ? "red" : "blue"));
        deployment.run(3);
        EXPECT_EQ(deployment.checker.starts, 24);
        std::vector<std::string> cut;
        int i = 0;
        for (const auto& id : machine_ids(deployment)) {
            if (deployment.store.placed_tasks(id) == 0) continue;
            if (++i % 3 == 0) cut.push_back(id);
            if (i % 3 == 1) deployment.workers.hang(id, 4 + 20 * deployment.chance());
        }
        for (int n = 0; n < 3; ++n)
            set_links(deployment, deployment.controller_name(n), cut,
                      seed % 2 == 0 ? LinkState::hold : LinkState::drop);
        for (const auto& id : first) deployment.cancel(id, 2);
        deployment.run(1.5);
        deployment.crash_controller(0);
        deployment.crash_controller(1);
        ASSERT_TRUE(deployment.run_until(
            [&] {
                return deployment.last_phase(first[0]) == "withdrawn" &&
                       deployment.last_phase(first[1]) == "withdrawn";
            },
            10));
        deployment.run(4);
        deployment.start_controller(0);
        deployment.start_controller(1);
        // Capacity of tasks whose machines answer, or whose leases are over, is used again, the cut still
        // lasting.
        EXPECT_TRUE(deployment.run_until(
            [&] {
                return deployment.workers.executing_tasks(next[0]) > 0 &&
                       deployment.workers.executing_tasks(next[1]) > 0;
            },
            25));
        deployment.run(10);
        for (int n = 0; n < 3; ++n) set_links(deployment, deployment.controller_name(n), cut, LinkState::up);
        deployment.run(3);
        expect_recovery(deployment, {first[0], first[1], next[0], next[1]}, 90);
        expect_no_quota_in_use(deployment, {"red", "blue"});
    }
}

}  // namespace
}  // namespace zincdyke::testing
