// A team's limit is kept by the one controller that holds the team's lock, whatever becomes of its requests.
#include <gtest/gtest.h>

#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

// More work of a limited team than it may run at a time.
std::vector<std::string> submit_beyond_the_limit(SimulatedDeployment& deployment, int first, int jobs) {
    std::vector<std::string> ids;
    for (int i = 0; i < jobs; ++i) {
        ids.push_back(job_id(first + i));
        deployment.submit(deployment.job(ids.back(), 3 + i % 4, 1 + i % 3, 6, "blue"));
    }
    return ids;
}

std::string holder_of_blue(SimulatedDeployment& deployment) {
    const auto record = deployment.store.data.find("z/q/blue");
    return record == deployment.store.data.end() ? "" : record->second.value.value("node", "");
}

// Starts change only the pages of their jobs: the record is written when the lock changes hands, not with
// each start.
TEST(TeamLock, StartsDoNotWriteTheRecord) {
    SimulatedDeployment deployment;
    deployment.run(3);
    auto ids = submit_beyond_the_limit(deployment, 1, 4);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(ids[0]) > 0; }, 40));
    const auto version = deployment.store.data.at("z/q/blue").revision;
    auto more = submit_beyond_the_limit(deployment, 20, 4);
    ids.insert(ids.end(), more.begin(), more.end());
    ASSERT_TRUE(all_reach_final_state(deployment, ids, 120));
    EXPECT_EQ(deployment.store.data.at("z/q/blue").revision, version);
    expect_no_violations(deployment);
}

// The holder ends: another takes the lock soon and goes on; back, it takes it again.
TEST(TeamLock, IsAcquiredFromAHolderThatCrashes) {
    SimulatedDeployment deployment;
    deployment.run(3);
    auto ids = submit_beyond_the_limit(deployment, 1, 6);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(ids[0]) > 0; }, 40));
    const std::string first = holder_of_blue(deployment);
    ASSERT_FALSE(first.empty());
    const int index = first.back() - '0';
    deployment.crash_controller(index);
    auto more = submit_beyond_the_limit(deployment, 20, 3);
    ids.insert(ids.end(), more.begin(), more.end());
    EXPECT_TRUE(deployment.run_until([&] { return holder_of_blue(deployment) != first; }, 15));
    deployment.run(6);
    deployment.start_controller(index);
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 150));
    expect_no_violations(deployment);
}

// Two that can't reach each other both have starts of the team to commit: each gets its turn.
TEST(TeamLock, AlternatesBetweenControllersCutFromEachOther) {
    SimulatedDeployment deployment;
    deployment.run(3);
    auto ids = submit_beyond_the_limit(deployment, 1, 4);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(ids[0]) > 0; }, 40));
    for (const char* other : {"n1", "n2"}) deployment.set_link("n0", other, LinkState::drop);
    for (int i = 0; i < 6; ++i) {
        auto more = submit_beyond_the_limit(deployment, 10 * (i + 2), 3);
        ids.insert(ids.end(), more.begin(), more.end());
        deployment.run(4);
    }
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 240));
    for (const char* other : {"n1", "n2"}) deployment.set_link("n0", other, LinkState::up);
    expect_no_violations(deployment);
}

// The start of a whole job has no answer; more urgent work takes the team's capacity meanwhile, and then the
// start would be carried out after all. Its page is as it was: only the lock's new token stops it.
TEST(TeamLock, LateStartIsFencedAfterItsCapacityWasUsed) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        for (int i = 0; i < 8; ++i) deployment.workers.add("small", "a", false, 0.5);
        deployment.submit(
            deployment.job(job_id(100), 8, 1, 400));  // keeps the machines, and leaves room on them
        deployment.submit(deployment.job(job_id(101), 1, 1, 1, "blue"));  // the lock is held from here on
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(100)) == 8; }, 60));
        ASSERT_TRUE(all_reach_final_state(deployment, {job_id(101)}, 60));
        deployment.submit(deployment.job(job_id(1), 12, 1, 60, "blue"));
        while (!deployment.is_accepted(job_id(1)) && deployment.now() < 200) deployment.run(0.004);
        deployment.faults.late_commits = 1;
        deployment.run(0.25);
        deployment.faults.late_commits = 0;
        Json urgent = deployment.job(job_id(2), 12, 1, 60, "blue");
        urgent["rank"] = "critical";
        deployment.submit(urgent);
        EXPECT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(2)) == 12; }, 15))
            << seed;
        EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1), job_id(2)}, 300)) << seed;
        expect_no_violations(deployment);
    }
}

// Commits are carried out seconds after their time, without an answer, while the team is always at its limit,
// holders end and are cut off: no late start may go beyond the limit.
class LateStarts : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(LateStarts, KeepToTheQuota) {
    DeploymentOptions o;
    o.seed = GetParam();
    SimulatedDeployment deployment(o);
    deployment.run(3);
    std::vector<std::string> ids;
    deployment.faults.late_commits = 0.35;
    for (int i = 0; i < 10; ++i) {
        auto more = submit_beyond_the_limit(deployment, 10 * i, 4);
        ids.insert(ids.end(), more.begin(), more.end());
        const std::string holder = holder_of_blue(deployment);
        const int index = holder.empty() ? i % 3 : holder.back() - '0';
        if (i % 4 == 1) deployment.set_link(deployment.controller_name(index), "state", LinkState::hold);
        if (i % 4 == 3) deployment.crash_controller(index);
        if (const auto& id = ids[ids.size() - 2]; i % 4 == 2 && deployment.is_accepted(id))
            deployment.cancel(id);
        deployment.run(6);
        for (int n = 0; n < 3; ++n) {
            deployment.set_link(deployment.controller_name(n), "state", LinkState::up);
            deployment.start_controller(n);
        }
    }
    deployment.faults.late_commits = 0;
    deployment.run(14);
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 400));
    expect_no_violations(deployment);
    // No capacity of the team leaked.
    deployment.run(3);
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(deployment.controller(n).state_cache().quota_usage(zincdyke::TeamName("blue")).cpu, 0) << n;
}
INSTANTIATE_TEST_SUITE_P(Seeds, LateStarts, ::testing::Range<std::uint64_t>(1, 9));

// The key-value store is read anew while starts are committed: what the list lacks of them is waited for.
TEST(TeamLock, StateReloadedWhileStartingKeepsTheQuota) {
    DeploymentOptions o;
    o.list_page_size = 2;  // a list takes long, and its first pages are old when it ends
    SimulatedDeployment deployment(o);
    deployment.run(3);
    std::vector<std::string> ids;
    for (int i = 0; i < 8; ++i) {
        auto more = submit_beyond_the_limit(deployment, 10 * i, 5);
        ids.insert(ids.end(), more.begin(), more.end());
        deployment.run(1.5);
        deployment.store.max_watch_response_bytes = 600;  // longer answers of the watch don't get through
        deployment.run(2.5);
        deployment.store.max_watch_response_bytes = 0;
    }
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 400));
    expect_no_violations(deployment);
}

}  // namespace
}  // namespace zincdyke::testing
