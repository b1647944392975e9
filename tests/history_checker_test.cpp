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
        c.machine_added("m1", {"small", "a", false});
        c.machine_added("m2", {"small", "b", true});
        JobProperties f;
        f.team = "blue";
        f.tasks = 2;
        f.cpu = 1;
        f.spot = true;
        c.job_submitted("job-1", f);
        c.response_received(0, "job-1", true, 201, "queued");
    }
    bool found(const std::string& rule) {
        return c.violations.size() == 1 && c.violations[0].rfind(rule + ":", 0) == 0;
    }
};

TEST_F(HistoryCheckerTest, AcceptsACorrectHistory) {
    c.task_started(1, "job-1", 0, "m1");
    c.task_stopped("job-1", 0, "m1");
    c.task_started(2, "job-1", 0, "m2");
    c.task_completed("job-1", 0);
    c.task_completed("job-1", 1);
    c.response_received(3, "job-1", false, 200, "done");
    c.finish();
    EXPECT_TRUE(c.violations.empty());
}
TEST_F(HistoryCheckerTest, DetectsAcceptedJobWithoutAnswer) {
    c.faults_ended_at = 10;
    c.poll_sent(1, "job-1");
    c.poll_sent(80, "job-1");
    EXPECT_TRUE(c.violations.empty());
    c.poll_sent(86, "job-1");
    EXPECT_TRUE(found("forgotten"));
}
TEST_F(HistoryCheckerTest, DetectsGroupServedByLessThanHalf) {
    c.task_started(1, "job-1", 0, "m1");
    c.check_service_quality();
    EXPECT_FALSE(c.violations.empty());
    for (const auto& b : c.violations) EXPECT_EQ(b.rfind("half_served:", 0), 0U) << b;
}
TEST_F(HistoryCheckerTest, DetectsLargeJobStartedTooLate) {
    for (int t = 0; t < 2; ++t) {
        c.task_started(250, "job-1", t, "m1");
        c.task_completed("job-1", t);
    }
    c.check_service_quality();
    EXPECT_TRUE(found("four_minutes"));
}
TEST_F(HistoryCheckerTest, DetectsTaskOnTwoMachines) {
    c.task_started(1, "job-1", 0, "m1");
    c.task_started(2, "job-1", 0, "m2");
    EXPECT_TRUE(found("ran_twice"));
}
TEST_F(HistoryCheckerTest, DetectsExceededQuota) {
    JobProperties f;
    f.team = "blue";
    f.cpu = 3.5;
    f.spot = true;
    c.job_submitted("job-2", f);
    c.task_started(1, "job-1", 0, "m1");
    c.task_started(1, "job-2", 0, "m2");
    EXPECT_TRUE(found("quota"));
}
TEST_F(HistoryCheckerTest, DetectsTaskOnForbiddenSpotMachine) {
    JobProperties f;
    f.team = "blue";
    f.cpu = 1;
    c.job_submitted("job-3", f);
    c.task_started(1, "job-3", 0, "m2");
    EXPECT_TRUE(found("wrong_place"));
}
TEST_F(HistoryCheckerTest, DetectsOneZoneJobInTwoZones) {
    JobProperties f;
    f.team = "blue";
    f.tasks = 2;
    f.cpu = 1;
    f.one_zone = f.spot = true;
    c.job_submitted("job-3", f);
    c.task_started(1, "job-3", 0, "m1");
    c.task_started(1, "job-3", 1, "m2");
    EXPECT_TRUE(found("wrong_place"));
}
TEST_F(HistoryCheckerTest, DetectsTaskOfCancelledJobStillRunning) {
    c.cancellation_requested("job-1");
    c.task_started(1, "job-1", 0, "m1");
    c.response_received(2, "job-1", false, 200, "withdrawn");
    c.tick(31);
    EXPECT_TRUE(c.violations.empty());
    c.tick(33);
    EXPECT_TRUE(found("ran_cancelled"));
}
TEST_F(HistoryCheckerTest, DetectsAcceptedJobAnsweredAsUnknown) {
    c.response_received(1, "job-1", false, 404, "");
    EXPECT_TRUE(found("forgotten"));
}
TEST_F(HistoryCheckerTest, DetectsAnswerAboutAJobNeverSubmitted) {
    c.response_received(1, "job-9", false, 200, "queued");
    EXPECT_TRUE(found("invented"));
}
TEST_F(HistoryCheckerTest, DetectsDoneReportedTooEarly) {
    c.task_completed("job-1", 0);
    c.response_received(1, "job-1", false, 200, "done");
    EXPECT_TRUE(found("not_done"));
}
TEST_F(HistoryCheckerTest, DetectsChangedFinalPhase) {
    c.task_completed("job-1", 0);
    c.task_completed("job-1", 1);
    c.response_received(1, "job-1", false, 200, "done");
    c.response_received(2, "job-1", false, 200, "running");
    EXPECT_TRUE(found("went_back"));
}
TEST_F(HistoryCheckerTest, DetectsCancellationThatNobodyAskedFor) {
    c.response_received(2, "job-1", false, 200, "withdrawn");
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
    deployment.checker.faults_ended_at = deployment.now();
    deployment.run(80);
    EXPECT_TRUE(deployment.checker.violations.empty());
    deployment.run(20);
    ASSERT_FALSE(deployment.checker.violations.empty());
    EXPECT_EQ(deployment.checker.violations[0].rfind("waited: " + job_id(2), 0), 0U)
        << deployment.checker.violations[0];
}

}  // namespace
}  // namespace zincdyke::testing
