// Partitions: controllers, zones and machines that are cut off, in one direction or in both.
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

TEST(Partitions, JobsFinishWhenOneControllerIsCutOffAndMessagesAreHeld) {
    for (int victim = 0; victim < 3; ++victim) {
        DeploymentOptions o;
        o.seed = 40 + static_cast<std::uint64_t>(victim);
        SimulatedDeployment deployment(o);
        deployment.run(3);
        auto ids = submit_jobs(deployment, 1, 3, 8, 12);
        deployment.run(9);
        std::string n = deployment.controller_name(victim);
        for (const char* other : {"state", "cloud", "n0", "n1", "n2"})
            if (other != n) deployment.set_link(n, other, LinkState::hold);
        deployment.run(30);
        for (const char* other : {"state", "cloud", "n0", "n1", "n2"})
            if (other != n) deployment.set_link(n, other, LinkState::up);
        EXPECT_TRUE(all_reach_final_state(deployment, ids, 150));
        expect_no_violations(deployment);
    }
}

TEST(Partitions, ControllerCutFromPeersTransfersItsJobs) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.set_link("n0", "n1", LinkState::drop);
    deployment.set_link("n0", "n2", LinkState::drop);
    // More than the cut-off relay's own machines will take: it transfers its jobs rather than leave them
    // waiting.
    std::vector<std::string> ids;
    for (int i = 1; i <= 6; ++i) {
        ids.push_back(job_id(i));
        deployment.submit(deployment.job(job_id(i), 5, 1, 6), 0);
    }
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 150));
    expect_no_violations(deployment);
}

// Heartbeats arrive and nothing goes back: what was written into answers did not reach the machine. It gets
// no more tasks, those it had are found gone with its lease though it is heard all along, and in the end it
// is returned.
TEST(Partitions, MachineThatReceivesNothingGetsNoTasksAndIsReturned) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 6, 1, 60));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 6; }, 60));
    std::string machine;
    for (auto& [id, m] : deployment.workers.all())
        if (deployment.store.placed_tasks(id) > 0) machine = id;
    deployment.network.parties_without_inbound.insert(machine);
    deployment.run(26);
    EXPECT_EQ(deployment.store.placed_tasks(machine), 0);
    // Work for every machine there is: this one must be left out as long as it does not answer.
    auto ids = submit_jobs(deployment, 10, 6, 8, 8);
    for (int i = 0; i < 40; ++i) {
        deployment.run(0.5);
        EXPECT_EQ(deployment.store.placed_tasks(machine), 0);
    }
    EXPECT_TRUE(deployment.run_until([&] { return !deployment.workers.all().contains(machine); }, 40));
    ids.push_back(job_id(1));
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 150));
    expect_no_violations(deployment);
}

// Receives nothing from its first heartbeat on: it is told to run a task at most twice before the task goes
// elsewhere.
TEST(Partitions, MachineThatReceivesNothingFromItsBootGetsNoTasks) {
    SimulatedDeployment deployment;
    deployment.run(3);
    const std::string machine = deployment.workers.add("small", "a", false, 0.1).id;
    deployment.network.parties_without_inbound.insert(machine);
    deployment.run(2);
    auto ids = submit_jobs(deployment, 1, 2, 4, 6);
    for (int i = 0; i < 60; ++i) {
        deployment.run(0.5);
        EXPECT_EQ(deployment.store.placed_tasks(machine), 0);
    }
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 30));
    expect_no_violations(deployment);
}

// A controller is left with its workers alone, and nobody else knows their addresses any more: they learn the
// new term by the cloud's list, or they would run a cancelled job for as long as the cut lasts.
TEST(Partitions, WorkersOfAControllerCutFromStoreAndPeersMoveToTheNewLeader) {
    for (int alone = 0; alone < 3; ++alone) {
        SimulatedDeployment deployment;
        deployment.run(3);
        deployment.submit(deployment.job(job_id(1), 16, 1, 500));
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 16; }, 60));
        deployment.store.rejected_clients.insert(deployment.controller_name(alone));
        for (int n = 0; n < 3; ++n)
            if (n != alone) {
                deployment.set_link(deployment.controller_name(alone), deployment.controller_name(n),
                                    LinkState::drop);
                deployment.crash_controller(n);
            }
        deployment.run(0.5);
        for (int n = 0; n < 3; ++n)
            if (n != alone) deployment.start_controller(n);
        // Kept alive meanwhile, and moved to the new leader as they run: nothing is returned or started
        // again.
        deployment.run(28);
        EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 16);
        EXPECT_EQ(deployment.checker.starts, 16);
        deployment.cancel(job_id(1), (alone + 1) % 3);
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.last_phase(job_id(1)) == "withdrawn"; }, 15));
        EXPECT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 0; }, 12));
        deployment.store.rejected_clients.clear();
        for (int n = 0; n < 3; ++n)
            if (n != alone)
                deployment.set_link(deployment.controller_name(alone), deployment.controller_name(n),
                                    LinkState::up);
        deployment.run(10);
        auto ids = submit_jobs(deployment, 10, 3, 4);
        EXPECT_TRUE(all_reach_final_state(deployment, ids, 60));
        expect_no_violations(deployment);
    }
}

// A zone with its workers and a controller is cut off for longer than a lease, cancellations fall into it,
// and jobs bound to one zone, arrays too, are in it.
class ZonePartition : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(ZonePartition, JobsMoveToTheReachableZone) {
    for (const LinkState cut : {LinkState::drop, LinkState::hold}) {
        SimulatedDeployment deployment(options_with_seed(GetParam(), {"a", "b"}));
        deployment.run(3);
        std::vector<std::string> ids;
        for (int i = 1; i <= 6; ++i) {
            Json j = deployment.job(job_id(i), i % 2 == 0 ? 3 : 6, 2, 40);
            j["one_zone"] = true;
            if (i % 2 == 0) j["shape"] = "group";
            deployment.submit(j);
            ids.push_back(job_id(i));
        }
        deployment.submit(deployment.job(job_id(9), 12, 1, 300));
        ids.push_back(job_id(9));
        deployment.run(18);
        std::vector<std::string> inside{"n0"}, outside{"n1", "n2", "state", "cloud"};
        for (auto& [id, m] : deployment.workers.all()) (m.zone == "b" ? inside : outside).push_back(id);
        auto all = [&](LinkState l) {
            for (const auto& i : inside)
                for (const auto& o : outside) deployment.set_link(i, o, l);
        };
        all(cut);
        deployment.run(4);
        deployment.cancel(job_id(9), 1);
        const std::string late = job_id(20);
        Json j = deployment.job(late, 3, 3, 10);
        j["one_zone"] = true;
        j["shape"] = "group";
        deployment.submit(j, 1);
        // Those who come during the cut are not bound to the zone that nobody reaches.
        EXPECT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(late) == 3; }, 25));
        deployment.run(30);
        all(LinkState::up);
        ids.push_back(late);
        expect_recovery(deployment, ids);
    }
}
INSTANTIATE_TEST_SUITE_P(Seeds, ZonePartition, ::testing::Range<std::uint64_t>(1, 13));

// Machines that reach no controller while direct commands reach them: cancelled tasks are stopped at once,
// the others are lost with their lease and started elsewhere, never beside the first.
TEST(Partitions, CancelledTasksStopOnMachinesWhoseHeartbeatsFail) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        deployment.submit(deployment.job(job_id(1), 8, 1, 500));
        deployment.submit(deployment.job(job_id(2), 8, 1, 40));
        ASSERT_TRUE(deployment.run_until(
            [&] {
                return deployment.workers.executing_tasks(job_id(1)) == 8 &&
                       deployment.workers.executing_tasks(job_id(2)) == 8;
            },
            60));
        for (auto& [id, m] : deployment.workers.all())
            deployment.workers.machines_without_heartbeats.insert(id);
        deployment.cancel(job_id(1), 0);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.last_phase(job_id(1)) == "withdrawn"; }, 4));
        deployment.run(0.5);
        EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 0);
        EXPECT_EQ(deployment.workers.executing_tasks(job_id(2)), 8);
        if (seed == 2) deployment.crash_controller(1);
        deployment.run(24);
        deployment.workers.machines_without_heartbeats.clear();
        deployment.start_controller(1);
        deployment.run(5);
        expect_recovery(deployment, {job_id(1), job_id(2)});
    }
}

// A controller is cut from the key-value store and from its peers, not from workers and users; jobs are
// cancelled through the others, and its workers' heartbeats come late to them.
TEST(Partitions, CancelledTasksStopOnWorkersOfAControllerCutFromStoreAndPeers) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        for (const LinkState cut : {LinkState::drop, LinkState::hold}) {
            SimulatedDeployment deployment(options_with_seed(seed));
            deployment.run(3);
            deployment.submit(deployment.job(job_id(1), 16, 1, 500));
            deployment.submit(deployment.job(job_id(2), 8, 1, 50));
            ASSERT_TRUE(deployment.run_until(
                [&] {
                    return deployment.workers.executing_tasks(job_id(1)) == 16 &&
                           deployment.workers.executing_tasks(job_id(2)) == 8;
                },
                60));
            for (const char* o : {"state", "n1", "n2"}) deployment.set_link("n0", o, cut);
            deployment.faults.duplicate_heartbeats = 0.3;
            deployment.faults.duplicate_heartbeat_delay_s = 20;
            deployment.run(1);
            deployment.cancel(job_id(1), 1);
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.last_phase(job_id(1)) == "withdrawn"; }, 8));
            deployment.run(40);
            EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 0);
            for (const char* o : {"state", "n1", "n2"}) deployment.set_link("n0", o, LinkState::up);
            deployment.faults.duplicate_heartbeats = 0;
            deployment.run(22);
            expect_recovery(deployment, {job_id(1), job_id(2)});
        }
}

}  // namespace
}  // namespace zincdyke::testing
