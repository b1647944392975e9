// Stories of cancellations that an owner cannot read: the tasks are gone in time all the same, and nothing
// else is lost.
#include <gtest/gtest.h>

#include <algorithm>

#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

// Two jobs with tasks on machines of every owner: one to be cancelled, one that must run on.
struct CancelStory {
    SimulatedDeployment deployment;
    const std::string off = job_id(1), on = job_id(2);
    explicit CancelStory(std::uint64_t seed) : deployment(options(seed)) {
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
    // The state service refuses n0 alone; the cancellation is confirmed by n1.
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
        deployment.checker.troubles_over = deployment.now();
        EXPECT_EQ(deployment.workers.executing_tasks(off), 0);
        deployment.cancel(on);
        EXPECT_TRUE(all_reach_final_state(deployment, {on}, 40));
        EXPECT_TRUE(all_reach_final_state(deployment, submit_jobs(deployment, 50, 2, 4), 60));
        expect_no_violations(deployment);
    }
};

class Gap : public ::testing::TestWithParam<std::uint64_t> {};

// The state service refuses one owner alone, another controller confirms a cancellation, then nobody is
// served for longer than `cancel_s`, while workers report to the first.
TEST_P(Gap, CancelledTasksAreGone) {
    CancelStory s(GetParam());
    s.confirmed_elsewhere();
    s.outage(60);
    s.expect_all_kept();
    s.finish();
}

// The owner hears nothing of its peers either: it stops renewing leases in time, whoever's tasks they are.
TEST_P(Gap, AlsoWhenCutFromPeers) {
    CancelStory s(GetParam());
    s.cut_from_peers(LinkState::drop);
    s.confirmed_elsewhere();
    s.outage(60);
    s.cut_from_peers(LinkState::up);
    s.finish();
}

// Its peers' beats of before come after a minute: they tell nothing of the time in which they were held.
TEST_P(Gap, AlsoWhenBeatsComeLate) {
    CancelStory s(GetParam());
    s.cut_from_peers(LinkState::hold);
    s.deployment.run(1);
    s.confirmed_elsewhere();
    s.deployment.store.outage = true;
    s.deployment.store.rejected_clients.clear();
    // What was held arrives, and is held again at once: beats of before the confirmation among it, none of
    // after.
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
// not vouch for what it told in its life before.
TEST_P(Gap, AlsoWhenTheConfirmingControllerEnds) {
    for (const double back : {0.2, 20.0}) {
        CancelStory s(GetParam());
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
TEST_P(Gap, AlsoWhenToldByAPoll) {
    CancelStory s(GetParam());
    SimulatedDeployment& deployment = s.deployment;
    deployment.store.rejected_clients.insert("n0");
    deployment.run(0.3);
    deployment.checker.asked_to_cancel(s.off);
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
TEST_P(Gap, PlainOutageCostsNothing) {
    CancelStory s(GetParam());
    s.outage(60);
    EXPECT_EQ(s.deployment.workers.executing_tasks(s.off), 24);
    s.expect_all_kept();
    s.deployment.cancel(s.off);
    EXPECT_TRUE(all_reach_final_state(s.deployment, {s.off}, 20));
    s.finish();
}

// What the rule costs: where a controller ended in the outage, nobody vouches for what it told before. Leases
// are renewed until the slack is used up and then run out, all of them, and what they held starts anew after
// the outage.
TEST_P(Gap, WithoutAVouchLeasesRunOut) {
    CancelStory s(GetParam());
    SimulatedDeployment& deployment = s.deployment;
    // Those of the controller that ends can't be taken over without the state service and are lost with their
    // leases.
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
TEST_P(Gap, HungMachinesGoOnWithoutIt) {
    for (const double hang : {6.0, 15.0, 28.0}) {
        CancelStory s(GetParam());
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

INSTANTIATE_TEST_SUITE_P(Seeds, Gap, ::testing::Values(1, 2, 3));

// A confirmed cancellation is halted at once, not with the next check-in: nothing of it starts any more.
TEST(Cancel, HaltedAtOnce) {
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
