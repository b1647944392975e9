// Placement: constraints, shares among jobs, faulty machines, and jobs too large or too many for the
// machines.
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

TEST(Placement, ArraysAndGangsFinishAndIdleMachinesAreReturned) {
    SimulatedDeployment deployment;
    deployment.run(3);
    auto ids = submit_jobs(deployment, 1, 5, 6);
    Json gang = deployment.job(job_id(90), 3, 2, 10);
    gang["shape"] = "group";
    gang["one_zone"] = true;
    deployment.submit(gang);
    ids.push_back(job_id(90));
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 120));
    expect_no_violations(deployment);
    // What is idle is returned.
    deployment.run(90);
    EXPECT_TRUE(deployment.workers.all().empty());
}

TEST(Placement, SpreadOneZoneAndPinnedConstraintsHold) {
    DeploymentOptions o;
    o.zones = {"a", "b"};
    SimulatedDeployment deployment(o);
    deployment.run(3);
    Json spread = deployment.job(job_id(1), 5, 1, 8);
    spread["apart"] = true;
    Json together = deployment.job(job_id(2), 6, 2, 8);
    together["one_zone"] = true;
    Json fixed = deployment.job(job_id(3), 4, 1, 8);
    fixed["field"] = "b";
    fixed["breeds"] = {"gpu"};
    fixed["loaners"] = false;
    for (const auto& j : {spread, together, fixed}) deployment.submit(j);
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1), job_id(2), job_id(3)}, 200));
    expect_no_violations(deployment);
}

TEST(Placement, FaultyMachineIsAvoidedAndFailingJobIsContained) {
    SimulatedDeployment deployment;
    deployment.workers.new_machines_are_faulty = true;
    deployment.workers.add("small", "a", false, 0.1);
    deployment.workers.new_machines_are_faulty = false;
    deployment.run(5);
    deployment.workers.tasks.failing_jobs.insert(job_id(7));
    auto ids = submit_jobs(deployment, 1, 4, 4, 5);
    deployment.submit(deployment.job(job_id(7), 1));
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 150));
    deployment.cancel(job_id(7));
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(7)}, 30));
    expect_no_violations(deployment);
}

TEST(Placement, JobOfHundredThousandTasksStartsAndIsCancelled) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 100'000, 4, 100'000));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.is_accepted(job_id(1)); }, 10));
    deployment.run(20);
    EXPECT_GT(deployment.workers.executing_tasks(job_id(1)), 20);
    deployment.cancel(job_id(1));
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 30));
    deployment.run(20);
    EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 0);
    expect_no_violations(deployment);
}

// Under small jobs that never cease, a large array and a gang of four start all the same, and finish.
TEST(Placement, LargeJobsStartUnderALastingBurstOfSmallOnes) {
    DeploymentOptions o;
    o.cloud_capacity = 8;
    SimulatedDeployment deployment(o);
    deployment.run(3);
    std::vector<std::string> ids;
    int next = 100;
    for (int step = 0; step < 150; ++step) {
        if (step == 10) {
            Json large = deployment.job(job_id(1), 60, 1, 10);
            large["ilk"] = "large";
            deployment.submit(large);
            Json gang = deployment.job(job_id(2), 4, 4, 20);
            gang["shape"] = "group";
            gang["ilk"] = "gang";
            deployment.submit(gang);
            ids = {job_id(1), job_id(2)};
        }
        // More than the machines can do, as long as it lasts.
        ids.push_back(job_id(next));
        deployment.submit(deployment.job(job_id(next++), 10, 1, 6.5));
        if (step % 2 == 0)
            for (const auto& id : ids)
                if (deployment.is_accepted(id)) deployment.poll(id);
        deployment.run(2);
    }
    deployment.run(100);
    for (const auto& id : {job_id(1), job_id(2)}) EXPECT_TRUE(deployment.checker.all_done(id)) << id;
    deployment.checker.check_service_quality();
    expect_no_violations(deployment);
}

// Jobs bound to one zone, arrays too, lose machines there, and the zone gives no more: they go on elsewhere.
TEST(Placement, OneZoneJobsMoveWhenTheirZoneLosesItsMachines) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        DeploymentOptions o = options_with_seed(seed, {"a", "b"});
        o.cloud_capacity = 8;
        SimulatedDeployment deployment(o);
        for (int i = 0; i < 8; ++i) deployment.workers.add("small", i < 4 ? "a" : "b", false, 0.1);
        deployment.run(4);
        std::vector<std::string> ids;
        for (int i = 1; i <= 4; ++i) {
            Json j = deployment.job(job_id(i), 2, 4, 30);
            j["one_zone"] = true;
            if (i % 2 == 0) j["shape"] = "group";
            deployment.submit(j);
            ids.push_back(job_id(i));
        }
        deployment.run(6);
        o.cloud_capacity = 4;
        deployment.cloud.capacity = 4;  // what is lost does not come again
        std::vector<std::string> lost;
        for (auto& [id, m] : deployment.workers.all())
            if (m.zone == "a") lost.push_back(id);
        for (const auto& id : lost) deployment.workers.crash(id);
        expect_recovery(deployment, ids);
    }
}

}  // namespace
}  // namespace zincdyke::testing
