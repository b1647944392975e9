// Standing services: replicas that run until the job is cancelled and are put back wherever one goes.
#include "deployment_helpers.h"
#include "jobs/restart_backoff.h"
#include "sched/placement_rules.h"

namespace zincdyke::testing {
namespace {

using zincdyke::RestartBackoff;
using zincdyke::SteadyTime;

Json service(SimulatedDeployment& deployment, int n, int replicas, double ends_after_s = 1e6,
             const std::string& team = "red") {
    Json body = deployment.job(job_id(n), replicas, 1, ends_after_s, team);
    body["shape"] = "service";
    body["rank"] = "critical";
    body["guess_s"] = 0;
    body["loaners"] = false;
    return body;
}

bool all_run(SimulatedDeployment& deployment, int n, int replicas, double most) {
    return deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(n)) == replicas; },
                                most);
}

std::string machine_of(SimulatedDeployment& deployment, int n) {
    for (const auto& [id, worker] : deployment.workers.all())
        for (const auto& [key, task] : worker.tasks)
            if (task.job == job_id(n) && task.phase == "running") return id;
    return "";
}

void expect_never_done(SimulatedDeployment& deployment, int n) {
    deployment.poll(job_id(n));
    deployment.run(3);
    EXPECT_NE(deployment.last_phase(job_id(n)), "done");
    deployment.cancel(job_id(n));
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(n)}, 30));
    EXPECT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(n)) == 0; }, 10));
    expect_no_violations(deployment);
}

// Each way in which a replica can go: it runs again elsewhere within what noticing and starting take.
TEST(Services, ReplicaIsReplacedAfterMachineLoss) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(service(deployment, 1, 3));
    ASSERT_TRUE(all_run(deployment, 1, 3, 60));
    deployment.workers.crash(machine_of(deployment, 1));
    ASSERT_LT(deployment.workers.executing_tasks(job_id(1)), 3);
    EXPECT_TRUE(all_run(deployment, 1, 3, 35));
    expect_never_done(deployment, 1);
}

TEST(Services, ReplicaMovesBeforePreemption) {
    DeploymentOptions o;
    o.boot_s = 2;
    SimulatedDeployment deployment(o);
    deployment.run(3);
    Json body = service(deployment, 1, 1);
    body["loaners"] = true;
    deployment.submit(body);
    ASSERT_TRUE(all_run(deployment, 1, 1, 60));
    const std::string before = machine_of(deployment, 1);
    deployment.workers.announce_preemption(before, 15);
    deployment.run(20);
    // Had it stayed until the machine was taken, its lease would still keep it from starting elsewhere.
    EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 1);
    EXPECT_NE(machine_of(deployment, 1), before);
    expect_never_done(deployment, 1);
}

TEST(Services, ReplicaThatExitsSuccessfullyIsRestarted) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(service(deployment, 1, 2, 40));
    ASSERT_TRUE(all_run(deployment, 1, 2, 60));
    deployment.run(41);
    EXPECT_TRUE(all_run(deployment, 1, 2, 10));
    deployment.run(45);
    EXPECT_TRUE(all_run(deployment, 1, 2, 10));
    expect_never_done(deployment, 1);
}

// One that fails at once everywhere is tried less and less often, and others use the same machines meanwhile.
TEST(Services, FailingReplicaIsRestartedWithGrowingBackoff) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.workers.tasks.failing_jobs.insert(job_id(1));
    deployment.submit(service(deployment, 1, 1, 1));
    deployment.submit(service(deployment, 2, 2));
    ASSERT_TRUE(all_run(deployment, 2, 2, 60));
    deployment.run(120);
    const auto commits = deployment.store.commits;
    deployment.run(60);
    EXPECT_LE(deployment.store.commits - commits, 12U);
    deployment.submit(deployment.job(job_id(3), 4, 1, 5));
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(3)}, 60));
    EXPECT_EQ(deployment.workers.executing_tasks(job_id(2)), 2);
    expect_never_done(deployment, 2);
}

TEST(Services, BackoffGrowsAndResets) {
    RestartBackoff backoff;
    SteadyTime now{};
    const auto pause_after = [&](int ran_s) {
        backoff.on_replica_placed(0, now);
        now += zincdyke::seconds(ran_s);
        const SteadyTime earliest = backoff.earliest_start(0, now);
        EXPECT_EQ(backoff.earliest_start(0, now), earliest);  // asking again changes nothing
        return zincdyke::to_seconds(earliest - now);
    };
    EXPECT_EQ(pause_after(1), 0);
    EXPECT_EQ(pause_after(1), 2);
    EXPECT_EQ(pause_after(1), 4);
    for (int i = 0; i < 10; ++i) pause_after(1);
    EXPECT_EQ(pause_after(1), 60);
    EXPECT_EQ(pause_after(100), 0);
    EXPECT_EQ(pause_after(1), 0);
}

// One lost machine should not take most of a service: its replicas go to several, holders of the image first.
TEST(Services, ReplicasAreSpreadOverMachines) {
    const zincdyke::Resources room{8000, 0, 64000};
    std::vector<zincdyke::sched::Candidate> machines{
        {zincdyke::MachineId("host-000001"), "a", room, room, true, 0, 0},
        {zincdyke::MachineId("host-000002"), "a", room, room, true, 0, 0},
        {zincdyke::MachineId("host-000003"), "a", room, room, false, 0, 0}};
    std::map<std::string, int> taken;
    for (const auto& offer :
         zincdyke::sched::make_offers(machines, {1000, 0, 1000}, 5, {.spread_replicas = true}))
        ++taken[offer.machine.value()];
    EXPECT_EQ(taken,
              (std::map<std::string, int>{{"host-000001", 2}, {"host-000002", 2}, {"host-000003", 1}}));
}

// All replicas run at the same time: together they must fit the limit.
TEST(Services, MoreReplicasThanTheQuotaAreRejected) {
    SimulatedDeployment deployment;
    deployment.run(3);
    EXPECT_EQ(
        deployment.request(0, "POST", "/api/jobs", service(deployment, 1, 13, 1e6, "blue").dump()).status,
        422);
    EXPECT_EQ(
        deployment.request(1, "POST", "/api/jobs", service(deployment, 2, 12, 1e6, "blue").dump()).status,
        201);
    EXPECT_EQ(
        deployment.request(2, "POST", "/api/jobs", service(deployment, 2, 12, 1e6, "blue").dump()).status,
        200);
}

class ServicesUnderFaults : public ::testing::TestWithParam<int> {};
// Running replicas outlive the upgrade of every controller, an outage and lower limits; those cancelled in
// any of these are gone in time.
TEST_P(ServicesUnderFaults, ReplicasSurviveUpgradeOutageAndLowerLimits) {
    DeploymentOptions o;
    o.seed = static_cast<std::uint64_t>(GetParam()) + 20;
    o.max_value_kb = 8;
    o.next_max_value_kb = 2;
    o.next_max_operations = 4;
    o.next_store_writes_per_s = 30;
    o.production_controllers = {0, 1, 2};
    SimulatedDeployment deployment(o);
    deployment.run(3);
    for (int n = 1; n <= 4; ++n) deployment.submit(service(deployment, n, 3));
    for (int n = 1; n <= 4; ++n) ASSERT_TRUE(all_run(deployment, n, 3, 60));
    int fewest = 3;
    const auto run = [&](double s) {
        for (double t = 0; t < s; t += 0.5) {
            deployment.run(0.5);
            fewest = std::min(fewest, deployment.workers.executing_tasks(job_id(4)));
        }
    };
    for (int i = 0; i < 3; ++i) {
        deployment.upgrade_controller((i + GetParam()) % 3, 2);
        if (i == 1) deployment.cancel(job_id(1));
        run(5);
    }
    deployment.store.outage = true;
    run(3);
    deployment.cancel(job_id(2));
    run(5);
    deployment.store.outage = false;
    run(5);
    deployment.store.lower_limits(2048, 4, 30);
    deployment.cancel(job_id(3));
    run(20);
    EXPECT_EQ(fewest, 3);
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1), job_id(2), job_id(3)}, 30));
    run(30);
    for (int n = 1; n <= 3; ++n) EXPECT_EQ(deployment.workers.executing_tasks(job_id(n)), 0);
    expect_never_done(deployment, 4);
}
INSTANTIATE_TEST_SUITE_P(Seeds, ServicesUnderFaults, ::testing::Range(0, 4));

TEST(Services, RunUntilCancelled) {
    SimulatedDeployment deployment;
    deployment.run(3);
    Json service = deployment.job(job_id(1), 3, 1, 10'000);
    service["shape"] = "service";
    service.erase("guess_s");
    deployment.submit(service);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 3; }, 60));
    deployment.run(60);
    EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 3);
    deployment.cancel(job_id(1));
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 20));
    EXPECT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 0; }, 10));
    expect_no_violations(deployment);
}

}  // namespace
}  // namespace zincdyke::testing
