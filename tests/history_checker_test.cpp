// The checker must be able to fail: it detects a violation of each rule.
#include "fakes/history_checker.h"

#include <gtest/gtest.h>

#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

struct HistoryCheckerTest : ::testing::Test {
    HistoryChecker c;
    void SetUp() override {
        c.limits["blue"] = {4, 0};
        c.machine("m1", {"small", "a", false});
        c.machine("m2", {"small", "b", true});
        JobFacts f;
        f.team = "blue";
        f.tasks = 2;
        f.cpu = 1;
        f.spot = true;
        c.submitted("job-1", f);
        c.told(0, "job-1", true, 201, "queued");
    }
    bool found(const std::string& rule) {
        return c.broken.size() == 1 && c.broken[0].rfind(rule + ":", 0) == 0;
    }
};

TEST_F(HistoryCheckerTest, AcceptsACorrectHistory) {
    c.task_on(1, "job-1", 0, "m1");
    c.task_off("job-1", 0, "m1");
    c.task_on(2, "job-1", 0, "m2");
    c.task_done("job-1", 0);
    c.task_done("job-1", 1);
    c.told(3, "job-1", false, 200, "done");
    c.finish();
    EXPECT_TRUE(c.broken.empty());
}
TEST_F(HistoryCheckerTest, DetectsAcceptedJobWithoutAnswer) {
    c.troubles_over = 10;
    c.asked(1, "job-1");
    c.asked(80, "job-1");
    EXPECT_TRUE(c.broken.empty());
    c.asked(86, "job-1");
    EXPECT_TRUE(found("forgotten"));
}
TEST_F(HistoryCheckerTest, DetectsGroupServedByLessThanHalf) {
    c.task_on(1, "job-1", 0, "m1");
    c.judge_service();
    EXPECT_FALSE(c.broken.empty());
    for (const auto& b : c.broken) EXPECT_EQ(b.rfind("half_served:", 0), 0U) << b;
}
TEST_F(HistoryCheckerTest, DetectsLargeJobStartedTooLate) {
    for (int t = 0; t < 2; ++t) {
        c.task_on(250, "job-1", t, "m1");
        c.task_done("job-1", t);
    }
    c.judge_service();
    EXPECT_TRUE(found("four_minutes"));
}
TEST_F(HistoryCheckerTest, DetectsTaskOnTwoMachines) {
    c.task_on(1, "job-1", 0, "m1");
    c.task_on(2, "job-1", 0, "m2");
    EXPECT_TRUE(found("ran_twice"));
}
TEST_F(HistoryCheckerTest, DetectsExceededQuota) {
    JobFacts f;
    f.team = "blue";
    f.cpu = 3.5;
    f.spot = true;
    c.submitted("job-2", f);
    c.task_on(1, "job-1", 0, "m1");
    c.task_on(1, "job-2", 0, "m2");
    EXPECT_TRUE(found("quota"));
}
TEST_F(HistoryCheckerTest, DetectsTaskOnForbiddenSpotMachine) {
    JobFacts f;
    f.team = "blue";
    f.cpu = 1;
    c.submitted("job-3", f);
    c.task_on(1, "job-3", 0, "m2");
    EXPECT_TRUE(found("wrong_place"));
}
TEST_F(HistoryCheckerTest, DetectsOneZoneJobInTwoZones) {
    JobFacts f;
    f.team = "blue";
    f.tasks = 2;
    f.cpu = 1;
    f.one_zone = f.spot = true;
    c.submitted("job-3", f);
    c.task_on(1, "job-3", 0, "m1");
    c.task_on(1, "job-3", 1, "m2");
    EXPECT_TRUE(found("wrong_place"));
}
TEST_F(HistoryCheckerTest, DetectsTaskOfCancelledJobStillRunning) {
    c.asked_to_cancel("job-1");
    c.task_on(1, "job-1", 0, "m1");
    c.told(2, "job-1", false, 200, "withdrawn");
    c.tick(31);
    EXPECT_TRUE(c.broken.empty());
    c.tick(33);
    EXPECT_TRUE(found("ran_cancelled"));
}
TEST_F(HistoryCheckerTest, DetectsAcceptedJobAnsweredAsUnknown) {
    c.told(1, "job-1", false, 404, "");
    EXPECT_TRUE(found("forgotten"));
}
TEST_F(HistoryCheckerTest, DetectsAnswerAboutAJobNeverSubmitted) {
    c.told(1, "job-9", false, 200, "queued");
    EXPECT_TRUE(found("invented"));
}
TEST_F(HistoryCheckerTest, DetectsDoneReportedTooEarly) {
    c.task_done("job-1", 0);
    c.told(1, "job-1", false, 200, "done");
    EXPECT_TRUE(found("not_done"));
}
TEST_F(HistoryCheckerTest, DetectsChangedFinalPhase) {
    c.task_done("job-1", 0);
    c.task_done("job-1", 1);
    c.told(1, "job-1", false, 200, "done");
    c.told(2, "job-1", false, 200, "running");
    EXPECT_TRUE(found("went_back"));
}
TEST_F(HistoryCheckerTest, DetectsCancellationThatNobodyAskedFor) {
    c.told(2, "job-1", false, 200, "withdrawn");
    EXPECT_TRUE(found("went_back"));
}
TEST_F(HistoryCheckerTest, DetectsRunWithoutAnyStart) {
    c.finish();
    EXPECT_TRUE(found("nothing_ran"));
}

// The monitor detects a job that waits beside free capacity: here because no controller is left to start it.
TEST(WaitingJobMonitor, DetectsJobThatWaitsBesideFreeCapacity) {
    SimulatedDeployment deployment;
    deployment.run(3);
    EXPECT_TRUE(all_reach_final_state(deployment, submit_jobs(deployment, 1, 1, 8, 4), 60));
    deployment.submit(deployment.job(job_id(2), 1, 1, 5));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.is_accepted(job_id(2)); }, 5));
    for (int n = 0; n < 3; ++n) deployment.crash_controller(n);
    for (auto& [id, m] : deployment.workers.all()) m.tasks.clear();
    deployment.checker.troubles_over = deployment.now();
    deployment.run(80);
    EXPECT_TRUE(deployment.checker.broken.empty());
    deployment.run(20);
    ASSERT_FALSE(deployment.checker.broken.empty());
    EXPECT_EQ(deployment.checker.broken[0].rfind("waited: " + job_id(2), 0), 0U)
        << deployment.checker.broken[0];
}

}  // namespace
}  // namespace zincdyke::testing
