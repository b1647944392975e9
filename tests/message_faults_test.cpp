// Messages that come late or twice: commits, commands, heartbeats and requests of users.
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

// Every commit that was carried out arrives once more, long after the jobs are closed: none revives a job, a
// page or a controller's old claim.
TEST(MessageFaults, DuplicateCommitsChangeNothing) {
    SimulatedDeployment deployment;
    deployment.store.record_commits = true;
    deployment.run(3);
    auto ids = submit_jobs(deployment, 1, 4, 6);
    ids.push_back(job_id(50));
    Json gang = deployment.job(ids.back(), 3, 2, 6, "blue");
    gang["shape"] = "group";
    deployment.submit(gang);
    deployment.submit(deployment.job(job_id(60), 5, 1, 300));
    ids.push_back(job_id(60));
    deployment.run(20);
    deployment.cancel(job_id(60));
    deployment.crash_controller(1);
    deployment.run(6);
    deployment.start_controller(1);
    ASSERT_TRUE(all_reach_final_state(deployment, ids, 90));
    deployment.run(10);
    deployment.store.record_commits = false;
    auto part = [&](const std::string& prefix) {
        std::map<std::string, Json> out;
        for (const auto& [k, v] : deployment.store.data)
            if (k.rfind(prefix, 0) == 0) out[k] = v.value;
        return out;
    };
    const auto parts = part("z/p/"), ends = part("f/"), teams = part("z/q/");
    ASSERT_GT(deployment.store.recorded_commits.size(), 30U);
    ASSERT_EQ(ends.size(), ids.size());
    for (const auto& req : std::vector<HttpRequest>(deployment.store.recorded_commits))
        deployment.store.handle("n0", req, [](const HttpResponse&) {});
    deployment.run(1);
    EXPECT_TRUE(part("z/j/").empty());
    EXPECT_TRUE(part("z/t/").empty());
    EXPECT_EQ(part("z/p/"), parts);
    EXPECT_EQ(part("f/"), ends);
    EXPECT_EQ(part("z/q/"), teams);
    deployment.run(15);
    for (int n = 0; n < 3; ++n)
        EXPECT_TRUE(
            deployment.controller(n).cluster().is_live(zincdyke::NodeName(deployment.controller_name(n))));
    EXPECT_TRUE(all_reach_final_state(deployment, submit_jobs(deployment, 80, 2, 4), 60));
    expect_no_violations(deployment);
}

// Users, cloud, workers and key-value store get what they carried out once more, up to a minute and a half
// later.
TEST(MessageFaults, DuplicateRequestsOfEveryKindAreHarmless) {
    SimulatedDeployment deployment;
    deployment.faults.duplicate_requests = 0.5;
    deployment.run(3);
    std::vector<std::string> ids;
    for (int i = 0; i < 12; ++i) {
        auto more = submit_jobs(deployment, 10 * i, 2, 5, 4);
        ids.insert(ids.end(), more.begin(), more.end());
        if (i % 4 == 1) deployment.cancel(ids.back());
        for (const auto& id : ids)
            if (deployment.is_accepted(id)) deployment.poll(id);
        deployment.run(10);
    }
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 100));
    deployment.run(100);
    for (const auto& id : ids) deployment.poll(id);
    deployment.run(3);
    EXPECT_TRUE(deployment.workers.all().empty());  // no repeated rental left a machine behind
    for (const auto& [k, v] : deployment.store.data)
        EXPECT_TRUE(k.rfind("z/j/", 0) != 0 && k.rfind("z/t/", 0) != 0) << k;
    expect_no_violations(deployment);
}

// Direct commands are held up for 2 to 16 s and then carried out, others' answers come late, and machines
// hang with commands on their way and go on; controllers change and jobs are cancelled meanwhile.
TEST(MessageFaults, LateCommandsAndResponsesAreSafe) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        std::vector<std::string> ids{job_id(1)};
        deployment.submit(deployment.job(job_id(1), 12, 1, 90));
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 12; }, 60));
        deployment.faults.late_commands = 0.5;
        deployment.faults.late_command_responses = 0.5;
        for (int round = 0; round < 6; ++round) {
            ids.push_back(job_id(10 + round));
            deployment.submit(deployment.job(ids.back(), 8, 1, 20));
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(ids.back()) > 0; }, 40));
            deployment.cancel(ids.back());
            deployment.run(1.9);
            std::size_t i = 0;
            for (const auto& id : machine_ids(deployment))
                if (++i % 3 == seed % 3) deployment.workers.hang(id, 1 + 4 * deployment.chance());
            const int n = round % 3;
            deployment.crash_controller(n);
            deployment.run(round % 2 == 0 ? 0.3 : 5.5);
            deployment.start_controller(n);
            poll_accepted(deployment, ids);
            deployment.run(3);
        }
        deployment.faults.late_commands = deployment.faults.late_command_responses = 0;
        deployment.run(20);
        expect_recovery(deployment, ids, 120);
        // No machine hung for a lease: the long tasks ran on.
        EXPECT_EQ(deployment.checker.start_count(job_id(1)), 12) << seed;
    }
}

// Tasks are stopped for gangs that wait, by direct commands of which most are held up until the same task is
// back under another attempt: what comes late stops nothing that was started since.
TEST(MessageFaults, LateStopCommandsDoNotStopNewerAttempts) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        DeploymentOptions o = options_with_seed(seed);
        o.cloud_capacity = 6;
        SimulatedDeployment deployment(o);
        for (int m = 0; m < 6; ++m) deployment.workers.add("small", "a", false, 0.1);
        deployment.run(3);
        Json low = deployment.job(job_id(1), 24, 1, 60);
        low["rank"] = "best_effort";
        low["mark_every_s"] = 4.0;
        low["stow_s"] = 1.0;
        deployment.submit(low);
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 24; }, 30));
        deployment.faults.late_commands = 0.8;
        std::vector<std::string> ids{job_id(1)};
        for (int round = 0; round < 3; ++round) {
            ids.push_back(job_id(2 + round));
            Json gang = deployment.job(ids.back(), 3, 4, 5);
            gang["shape"] = "group";
            gang["rank"] = "critical";
            deployment.submit(gang);
            EXPECT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(ids.back()) == 3; }, 40))
                << seed;
            if (round == 1) {
                const int ends = autoscaler_leader(deployment);
                deployment.crash_controller(ends);
                deployment.run(0.3);
                deployment.start_controller(ends);
            }
        }
        deployment.run(18);
        deployment.faults.late_commands = 0;
        expect_recovery(deployment, ids, 200);
        // Three machines of four tasks each are cleared for each gang.
        EXPECT_GT(deployment.checker.start_count(job_id(1)), 24) << seed;
        EXPECT_LE(deployment.checker.start_count(job_id(1)), 24 + 3 * 12) << seed;
    }
}

// Heartbeats are held back until a new leader has acted, and then arrive there: they end, revive and start
// nothing, and free no capacity of a team at its limit whose cancelled tasks are on machines that hang.
TEST(MessageFaults, HeartbeatsReplayedToTheNextLeaderAreNoEvidence) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.faults.heartbeats_replayed_to_next_leader = 0.4;
        deployment.run(3);
        std::vector<std::string> ids{job_id(1)};
        deployment.submit(deployment.job(job_id(1), 12, 1, 200));
        for (int round = 0; round < 6; ++round) {
            const std::string limited = job_id(10 + round);
            ids.push_back(limited);
            deployment.submit(deployment.job(limited, 12, 1, 300, "blue"));
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(limited) == 12; }, 60))
                << seed << round;
            deployment.run(2);
            deployment.cancel(limited);
            deployment.run(1.95);
            std::size_t i = 0;
            for (const auto& id : machine_ids(deployment))
                if (++i % 2 == seed % 2) deployment.workers.hang(id, 3 + 3 * deployment.chance());
            const int n = round % 3;
            deployment.crash_controller(n);
            deployment.run(round % 2 == 0 ? 0.3 : 5);
            deployment.start_controller(n);
            poll_accepted(deployment, ids);
        }
        deployment.run(10);
        deployment.faults.heartbeats_replayed_to_next_leader = 0;
        expect_recovery(deployment, ids, 220);
        EXPECT_EQ(deployment.checker.start_count(job_id(1)), 12) << seed;
    }
}

}  // namespace
}  // namespace zincdyke::testing
