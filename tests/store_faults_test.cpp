// Faults of the key-value store: outages, rejected controllers, slow, lost and late responses.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "consistent_read_checker.h"
#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

TEST(StoreFaults, RunningTasksSurviveOutageOfHalfAMinute) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 6, 1, 100));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 6; }, 60));
    deployment.store.outage = true;
    deployment.run(5);
    // Told at once when to come back.
    auto r = deployment.request(0, "POST", "/api/jobs", deployment.job(job_id(2), 1).dump(), 0.01);
    EXPECT_EQ(r.status, 503);
    EXPECT_GE(r.retry_after_s, 0);
    deployment.run(25);
    EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 6);
    deployment.store.outage = false;
    deployment.submit(deployment.job(job_id(3), 2));
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1), job_id(3)}, 150));
    EXPECT_EQ(deployment.checker.starts, 8);
    expect_no_violations(deployment);
}

TEST(StoreFaults, JobsFinishWhenStoreRejectsOneController) {
    SimulatedDeployment deployment;
    deployment.run(3);
    auto ids = submit_jobs(deployment, 1, 2, 10, 40);
    deployment.run(15);
    deployment.store.rejected_clients.insert("n1");
    auto more = submit_jobs(deployment, 20, 3, 4);
    ids.insert(ids.end(), more.begin(), more.end());
    deployment.run(35);
    deployment.store.rejected_clients.clear();
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 150));
    expect_no_violations(deployment);
}

// Back from a cut, a controller finds more changes than it takes in one answer: asked for again and again,
// they kept it out for good. It reads the state in pages instead.
TEST(StoreFaults, StateIsReloadedWhenWatchResponseIsTooLong) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.set_link("n0", "state", LinkState::drop);
    auto ids = submit_jobs(deployment, 1, 12, 8, 4);
    deployment.run(25);
    deployment.store.max_watch_response_bytes = 4000;
    deployment.set_link("n0", "state", LinkState::up);
    EXPECT_TRUE(deployment.run_until([&] { return deployment.controller(0).cluster().is_up_to_date(); }, 6));
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 60));
    expect_no_violations(deployment);
}

// The key-value store answers slowly, refuses one controller alone, then all for longer than `cancel_s`,
// while users cancel and ask.
TEST(StoreFaults, CancellationsHoldWhenStoreIsSlowThenRejectsThenIsDown) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        auto ids = submit_jobs(deployment, 1, 6, 6, 60);
        deployment.run(14);
        deployment.faults.store_response_delay_s = 1.2;
        for (int i = 0; i < 3; ++i) deployment.cancel(ids[static_cast<std::size_t>(i)]);
        deployment.run(5);
        deployment.store.rejected_clients.insert(deployment.controller_name(static_cast<int>(seed) % 3));
        deployment.run(4);
        deployment.cancel(ids[3]);
        deployment.run(3);
        deployment.store.outage = true;
        for (int i = 0; i < 12; ++i) {
            for (const auto& id : ids)
                if (deployment.is_accepted(id)) deployment.poll(id);
            deployment.run(3);
        }
        deployment.store.outage = false;
        deployment.store.rejected_clients.clear();
        deployment.run(5);
        deployment.faults.store_response_delay_s = 0;
        deployment.run(3);
        expect_recovery(deployment, ids);
    }
}

// Commits get no answer and are carried out late, after newer ones of the same controller, while controllers
// restart.
class LateCommits : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(LateCommits, DoNotOverwriteNewerState) {
    SimulatedDeployment deployment(options_with_seed(GetParam()));
    deployment.run(3);
    std::vector<std::string> ids;
    deployment.faults.late_commits = 0.3;
    for (int i = 0; i < 12; ++i) {
        auto more = submit_jobs(deployment, 10 * i, 2, 4, 5);
        more.push_back(job_id(10 * i + 5));
        deployment.submit(deployment.job(more.back(), 5, 1, 6, "blue"));
        ids.insert(ids.end(), more.begin(), more.end());
        if (i % 4 == 1 && deployment.is_accepted(ids[ids.size() - 3])) deployment.cancel(ids[ids.size() - 3]);
        if (i % 5 == 3) {
            deployment.crash_controller(i % 3);
            deployment.run(0.3);
            deployment.start_controller(i % 3);
        }
        for (const auto& id : ids)
            if (deployment.is_accepted(id)) deployment.poll(id);
        deployment.run(5);
    }
    deployment.faults.late_commits = 0;
    deployment.run(14);
    expect_recovery(deployment, ids);
    // No capacity of the limited team leaked, whoever starts its next task.
    deployment.run(3);
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(deployment.controller(n).state_cache().quota_usage(zincdyke::TeamName("blue")).cpu, 0) << n;
}
INSTANTIATE_TEST_SUITE_P(Seeds, LateCommits, ::testing::Range<std::uint64_t>(1, 7));

// Commits are carried out at once and only their answers are lost, while users read at all controllers what
// they wrote: nothing is accepted, started, ended or cancelled twice, and no controller answers anything
// older.
TEST(StoreFaults, LostCommitResponsesCauseNoDuplicateEffects) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        ConsistentReadChecker reads(deployment);
        std::vector<Json> jobs;
        std::vector<std::string> ids;
        deployment.faults.lost_commit_responses = 0.3;
        for (int i = 0; i < 8; ++i) {
            jobs.push_back(deployment.job(job_id(i), 3, 1, 4, i % 2 == 0 ? "red" : "blue"));
            ids.push_back(job_id(i));
            deployment.submit(jobs.back());
            reads.watch(jobs, 2);
            if (i % 4 == 2 && deployment.is_accepted(ids.back())) deployment.cancel(ids.back());
            reads.watch(jobs, 3);
        }
        reads.watch(jobs, 12);
        deployment.faults.lost_commit_responses = 0;
        EXPECT_GT(reads.successful_responses, 500);
        expect_recovery(deployment, ids, 60);
        EXPECT_LE(deployment.checker.starts, 24) << seed;
        expect_no_quota_in_use(deployment, {"blue"});
    }
}

}  // namespace
}  // namespace zincdyke::testing
