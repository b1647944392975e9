// Cancellation: tasks stop in time, whatever the leader can read or reach, and nothing else is lost.
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

TEST(Cancellation, TasksStopInTime) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 8, 1, 500));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 8; }, 60));
    deployment.cancel(job_id(1));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.last_phase(job_id(1)) == "withdrawn"; }, 10));
    EXPECT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 0; }, 10));
    deployment.run(40);
    EXPECT_EQ(deployment.request(0, "GET", "/api/jobs/" + job_id(1)).status, 200);
    EXPECT_EQ(deployment.request(1, "POST", "/api/jobs/" + job_id(999) + "/cancel").status, 404);
    expect_no_violations(deployment);
}

// A cancellation reaches workers that cannot be talked to through the loss of their tasks' lease, at the
// latest.
TEST(Cancellation, TasksStopByLeaseExpiryWhenWorkersAreUnreachable) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 6, 1, 500));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 6; }, 60));
    for (auto& [id, worker] : deployment.workers.all())
        for (int n = 0; n < 3; ++n) deployment.set_link(id, deployment.controller_name(n), LinkState::hold);
    deployment.cancel(job_id(1));
    deployment.run(27);
    for (auto& [id, worker] : deployment.workers.all())
        for (int n = 0; n < 3; ++n) deployment.set_link(id, deployment.controller_name(n), LinkState::up);
    deployment.run(30);
    EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 0);
    expect_no_violations(deployment);
}

// Left with one worker alone, a leader must not start what it committed before: the job may be cancelled by
// now, and it would never hear of it.
TEST(Cancellation, LeaderWithoutStoreDoesNotStartTaskOfCancelledJob) {
    DeploymentOptions o;
    o.cloud_capacity = 1;
    SimulatedDeployment deployment(o);
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 1, 1, 3));
    ASSERT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 40));
    ASSERT_EQ(deployment.workers.all().size(), 1U);
    const std::string machine = deployment.workers.all().begin()->first;
    int leader = 0;
    while (!deployment.controller(leader).cluster().leader_term(zincdyke::MachineId(machine))) ++leader;
    // A start is committed, and its command has not reached the machine.
    for (int n = 0; n < 3; ++n) deployment.set_link(machine, deployment.controller_name(n), LinkState::drop);
    const std::string job = job_id(2);
    deployment.submit(deployment.job(job, 1, 1, 300), leader);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.store.placed_tasks(machine) == 1; }, 2));
    for (int n = 0; n < 3; ++n)
        if (n != leader)
            deployment.set_link(deployment.controller_name(leader), deployment.controller_name(n),
                                LinkState::drop);
    deployment.set_link(deployment.controller_name(leader), "state", LinkState::drop);
    deployment.cancel(job, (leader + 1) % 3);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.last_phase(job) == "withdrawn"; }, 4));
    deployment.run(3);
    deployment.set_link(machine, deployment.controller_name(leader), LinkState::up);
    FakeWorker& m = deployment.workers.all().at(machine);
    m.controller = static_cast<std::size_t>(leader);  // its next try, still within its lease
    m.heartbeat_in_flight = 0;
    m.next_heartbeat_at = deployment.now();
    for (int i = 0; i < 40; ++i) {
        deployment.run(1);
        EXPECT_EQ(deployment.workers.executing_tasks(job), 0);
    }
    expect_no_violations(deployment);
}

// A cancellation, a question and a repeated submission meet the end of the last task, at one moment after
// another.
TEST(Cancellation, FinalPhaseIsStableWhenCancelledAsTheLastTaskEnds) {
    for (int moment = 0; moment < 40; ++moment) {
        SimulatedDeployment deployment(options_with_seed(static_cast<std::uint64_t>(moment)));
        deployment.run(3);
        const Json j = deployment.job(job_id(1), 2, 1, 6);
        deployment.submit(j);
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 2; }, 60));
        deployment.run(6 - 2.2 + 0.03 * moment);  // a cancellation is sent 2 s later
        deployment.cancel(job_id(1));
        deployment.after(2, [&deployment, j] { deployment.submit(j); });
        deployment.after(2.01, [&deployment] { deployment.poll(job_id(1)); });
        deployment.run(4);
        EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 20));
        const std::string end = deployment.last_phase(job_id(1));
        for (int i = 0; i < 4; ++i) {
            deployment.poll(job_id(1));
            deployment.run(2);
            EXPECT_EQ(deployment.last_phase(job_id(1)), end);
        }
        expect_no_violations(deployment);
    }
}

// Jobs are cancelled in the seconds in which one controller's work changes hands, because it ends or because
// no heartbeat reaches it any more: tasks are gone in time, and none of them starts once the commands under
// way are through.
TEST(Cancellation, TasksStopInTimeWhileAShardChangesItsLeader) {
    for (int moment = 0; moment < 12; ++moment)
        for (const bool ends : {true, false}) {
            SimulatedDeployment deployment(options_with_seed(static_cast<std::uint64_t>(moment) + 1));
            deployment.run(3);
            // Some run, others are started all the time.
            const std::string runs = job_id(1), starts = job_id(2), stays = job_id(3);
            deployment.submit(deployment.job(runs, 16, 1, 500));
            deployment.submit(deployment.job(stays, 6, 1, 40));
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(runs) == 16; }, 60));
            deployment.submit(deployment.job(starts, 100, 1, 1.5));
            deployment.run(3);
            const auto machines = machine_ids(deployment);
            std::vector<std::string> of_others;
            for (const auto& id : machines)
                if (leader_of(deployment, id) != 0) of_others.push_back(id);
            if (ends)
                deployment.crash_controller(0);
            else
                set_links(deployment, "n0", machines, LinkState::drop);
            // A cancellation is sent 2 s later.
            deployment.run(0.6 * moment);
            deployment.cancel(runs, 1);
            deployment.cancel(starts, 2);
            ASSERT_TRUE(deployment.run_until(
                [&] {
                    return deployment.last_phase(runs) == "withdrawn" &&
                           deployment.last_phase(starts) == "withdrawn";
                },
                15));
            // The others' machines are told at once, not with their next heartbeat.
            deployment.run(0.4);
            EXPECT_EQ(tasks_on_machines(deployment, of_others, {runs, starts}), 0) << moment << " " << ends;
            EXPECT_TRUE(deployment.run_until(
                [&] {
                    return deployment.workers.executing_tasks(runs) +
                               deployment.workers.executing_tasks(starts) ==
                           0;
                },
                14))
                << moment << " " << ends;
            if (ends)
                deployment.start_controller(0);
            else
                set_links(deployment, "n0", machines, LinkState::up);
            deployment.run(12);
            EXPECT_LT(deployment.checker.latest_start_after_cancellation_s, 1.5) << moment << " " << ends;
            expect_recovery(deployment, {runs, starts, stays}, 100);
        }
}

// Two jobs with tasks on machines of every leader: one to be cancelled, one that must run on.
struct CancellationFixture {
    SimulatedDeployment deployment;
    const std::string off = job_id(1), on = job_id(2);
    explicit CancellationFixture(std::uint64_t seed) : deployment(options(seed)) {
        deployment.run(3);
        deployment.submit(deployment.job(off, 24, 1, 500));
        deployment.submit(deployment.job(on, 24, 1, 500));
        EXPECT_TRUE(deployment.run_until(
            [&] {
                return deployment.workers.executing_tasks(off) == 24 &&
                       deployment.workers.executing_tasks(on) == 24;
            },
            60));
    }
    static DeploymentOptions options(std::uint64_t seed) {
        DeploymentOptions o;
        o.seed = seed;
        return o;
    }
    // The key-value store refuses n0 alone; the cancellation is confirmed by n1.
    void confirmed_elsewhere() {
        deployment.store.rejected_clients.insert("n0");
        deployment.run(0.5);
        deployment.cancel(off, 1);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.last_phase(off) == "withdrawn"; }, 8));
    }
    void outage(double for_s) {
        deployment.store.outage = true;
        deployment.store.rejected_clients.clear();
        deployment.run(for_s);
        deployment.store.outage = false;
    }
    void cut_from_peers(LinkState l) {
        deployment.set_link("n0", "n1", l);
        deployment.set_link("n0", "n2", l);
    }
    // Of the tasks that nobody cancelled, none was lost.
    void expect_all_kept() {
        EXPECT_EQ(deployment.workers.executing_tasks(on), 24);
        EXPECT_EQ(deployment.checker.starts, 48);
    }
    void finish() {
        deployment.store.rejected_clients.clear();
        deployment.run(25);
        deployment.checker.faults_ended_at = deployment.now();
        EXPECT_EQ(deployment.workers.executing_tasks(off), 0);
        deployment.cancel(on);
        EXPECT_TRUE(all_reach_final_state(deployment, {on}, 40));
        EXPECT_TRUE(all_reach_final_state(deployment, submit_jobs(deployment, 50, 2, 4), 60));
        expect_no_violations(deployment);
    }
};

class CancellationWithoutStore : public ::testing::TestWithParam<std::uint64_t> {};

// The key-value store refuses one leader alone, another controller confirms a cancellation, then nobody is
// served for longer than `cancel_s`, while workers report to the first.
TEST_P(CancellationWithoutStore, TasksStopInTimeWhenStoreRejectsTheLeader) {
    CancellationFixture s(GetParam());
    s.confirmed_elsewhere();
    s.outage(60);
    s.expect_all_kept();
    s.finish();
}

// The leader hears nothing of its peers either: it stops renewing leases in time, whoever's tasks they are.
TEST_P(CancellationWithoutStore, TasksStopInTimeWhenTheLeaderIsAlsoCutFromPeers) {
    CancellationFixture s(GetParam());
    s.cut_from_peers(LinkState::drop);
    s.confirmed_elsewhere();
    s.outage(60);
    s.cut_from_peers(LinkState::up);
    s.finish();
}

// Its peers' heartbeats of before come after a minute: they tell nothing of the time in which they were held.
TEST_P(CancellationWithoutStore, TasksStopInTimeWhenPeerHeartbeatsAreLate) {
    CancellationFixture s(GetParam());
    s.cut_from_peers(LinkState::hold);
    s.deployment.run(1);
    s.confirmed_elsewhere();
    s.deployment.store.outage = true;
    s.deployment.store.rejected_clients.clear();
    // What was held arrives, and is held again at once: heartbeats of before the confirmation among it, none
    // of after.
    for (int i = 0; i < 12; ++i) {
        s.deployment.run(3);
        s.cut_from_peers(LinkState::up);
        s.deployment.run(0.0005);
        s.cut_from_peers(LinkState::hold);
    }
    s.deployment.run(24);
    s.deployment.store.outage = false;
    s.cut_from_peers(LinkState::up);
    s.finish();
}

// Whoever confirmed it ends before anybody else has heard of it, and is back, knowing nothing of it: it must
// not acknowledge what its previous process answered.
TEST_P(CancellationWithoutStore, TasksStopInTimeWhenTheConfirmingControllerCrashes) {
    for (const double back : {0.2, 20.0}) {
        CancellationFixture s(GetParam());
        s.deployment.store.rejected_clients.insert("n2");
        s.deployment.set_link("n1", "n0", LinkState::drop);
        s.deployment.set_link("n1", "n2", LinkState::drop);
        s.confirmed_elsewhere();
        s.deployment.store.outage = true;
        s.deployment.store.rejected_clients.clear();
        s.deployment.crash_controller(1);
        s.deployment.set_link("n1", "n0", LinkState::up);
        s.deployment.set_link("n1", "n2", LinkState::up);
        s.deployment.run(back);
        s.deployment.start_controller(1);
        s.deployment.run(60 - back);
        s.deployment.store.outage = false;
        s.finish();
    }
}

// The commit's answer is lost; the user hears of the cancellation by a question to a third controller.
TEST_P(CancellationWithoutStore, TasksStopInTimeWhenConfirmedByAPoll) {
    CancellationFixture s(GetParam());
    SimulatedDeployment& deployment = s.deployment;
    deployment.store.rejected_clients.insert("n0");
    deployment.run(0.3);
    deployment.checker.cancellation_requested(s.off);
    Json record = deployment.store.data.at("z/j/" + s.off).value;
    record["x"] = true;
    deployment.set_link("n2", "n0", LinkState::drop);  // nor does n0 hear of it at once
    const Json commit = {{"if", Json::array()}, {"writes", {{{"set", "z/j/" + s.off}, {"value", record}}}}};
    deployment.store.handle("n1", {"POST", "/commit", commit.dump()},
                            [](const HttpResponse& r) { EXPECT_EQ(r.status, 200); });
    deployment.poll(s.off, 2);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.last_phase(s.off) == "withdrawn"; }, 1));
    deployment.store.outage = true;
    deployment.store.rejected_clients.clear();
    deployment.run(0.2);
    deployment.set_link("n2", "n0", LinkState::up);
    deployment.run(60);
    deployment.store.outage = false;
    s.expect_all_kept();
    s.finish();
}

// Nobody is served for longer than `cancel_s`, and all controllers are up: no running task is lost.
TEST_P(CancellationWithoutStore, PlainOutageStopsNoTasks) {
    CancellationFixture s(GetParam());
    s.outage(60);
    EXPECT_EQ(s.deployment.workers.executing_tasks(s.off), 24);
    s.expect_all_kept();
    s.deployment.cancel(s.off);
    EXPECT_TRUE(all_reach_final_state(s.deployment, {s.off}, 20));
    s.finish();
}

// What the rule costs: where a controller ended in the outage, nobody acknowledges what it answered before.
// Leases are renewed until the slack is used up and then run out, all of them, and what they held starts anew
// after the outage.
TEST_P(CancellationWithoutStore, LeasesExpireWithoutCancellationAcks) {
    CancellationFixture s(GetParam());
    SimulatedDeployment& deployment = s.deployment;
    // Those of the controller that ends can't be taken over without the key-value store and are lost with
    // their leases.
    int theirs = 0, others = 0;
    for (auto& [id, m] : deployment.workers.all())
        for (const auto& [key, t] : m.tasks)
            if (t.job == s.on)
                ++(deployment.controller(2).cluster().leader_term(zincdyke::MachineId(id)) ? theirs : others);
    ASSERT_GT(others, 0);
    deployment.store.outage = true;
    deployment.run(3);
    deployment.crash_controller(2);
    const double slack =
        zincdyke::to_seconds(deployment.controller(0).cancellation_watermark().renewal_window());
    deployment.run(slack - 3);
    EXPECT_EQ(deployment.workers.executing_tasks(s.on), others);
    EXPECT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(s.on) == 0; },
                                     deployment.workers.lease_s() + 6));
    deployment.start_controller(2);
    deployment.run(2);
    deployment.store.outage = false;
    EXPECT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(s.on) == 24; }, 60));
    deployment.cancel(s.off);
    EXPECT_TRUE(all_reach_final_state(deployment, {s.off}, 20));
    s.finish();
}

// A machine hangs with a cancelled task, within its lease and beyond, and goes on.
TEST_P(CancellationWithoutStore, HungMachinesDropTheCancelledTasks) {
    for (const double hang : {6.0, 15.0, 28.0}) {
        CancellationFixture s(GetParam());
        std::vector<std::string> machines;
        for (auto& [id, m] : s.deployment.workers.all())
            if (machines.size() < 4 && s.deployment.store.placed_tasks(id) > 0) machines.push_back(id);
        s.deployment.cancel(s.off, 1);
        s.deployment.run(1.9);
        for (const auto& id : machines) s.deployment.workers.hang(id, hang);
        ASSERT_TRUE(s.deployment.run_until([&] { return s.deployment.last_phase(s.off) == "withdrawn"; }, 8));
        s.deployment.run(45);
        s.finish();
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancellationWithoutStore, ::testing::Values(1, 2, 3));

// A confirmed cancellation is stopped at once, not with the next heartbeat: none of its tasks starts any
// more.
TEST(Cancellation, TasksAreStoppedWithoutWaitingForAHeartbeat) {
    DeploymentOptions o;
    o.heartbeat_interval_s = 10;
    o.lease_s = 45;
    o.cancel_s = 70;
    SimulatedDeployment deployment(o);
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 24, 1, 500));
    ASSERT_TRUE(
        deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 24; }, 60));
    deployment.run(1);
    deployment.cancel(job_id(1));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.last_phase(job_id(1)) == "withdrawn"; }, 8));
    EXPECT_TRUE(
        deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 0; }, 0.5));
    expect_no_violations(deployment);
}

}  // namespace
}  // namespace zincdyke::testing
