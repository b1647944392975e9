// Stories of cancellations that an owner cannot read: the tasks are gone in time all the same, and nothing
// else is lost.
#include <gtest/gtest.h>

#include <algorithm>

#include "story.h"

namespace zincdyke::testing {
namespace {

// Two jobs with tasks on machines of every owner: one to be cancelled, one that must run on.
struct CancelStory {
    World w;
    const std::string off = id_of(1), on = id_of(2);
    explicit CancelStory(std::uint64_t seed) : w(options(seed)) {
        w.run(3);
        w.submit(w.job(off, 24, 1, 500));
        w.submit(w.job(on, 24, 1, 500));
        EXPECT_TRUE(w.run_until([&] { return w.on_machines(off) == 24 && w.on_machines(on) == 24; }, 60));
    }
    static World::Options options(std::uint64_t seed) {
        World::Options o;
        o.seed = seed;
        return o;
    }
    // The state service refuses n0 alone; the cancellation is confirmed by n1.
    void confirmed_elsewhere() {
        w.store.refused.insert("n0");
        w.run(0.5);
        w.cancel(off, 1);
        ASSERT_TRUE(w.run_until([&] { return w.told(off) == "withdrawn"; }, 8));
    }
    void outage(double for_s) {
        w.store.outage = true;
        w.store.refused.clear();
        w.run(for_s);
        w.store.outage = false;
    }
    void cut_from_peers(Link l) {
        w.link("n0", "n1", l);
        w.link("n0", "n2", l);
    }
    // Of the tasks that nobody cancelled, none was lost.
    void expect_all_kept() {
        EXPECT_EQ(w.on_machines(on), 24);
        EXPECT_EQ(w.checker.starts, 48);
    }
    void finish() {
        w.store.refused.clear();
        w.run(25);
        w.checker.troubles_over = w.now();
        EXPECT_EQ(w.on_machines(off), 0);
        w.cancel(on);
        EXPECT_TRUE(told_all(w, {on}, 40));
        EXPECT_TRUE(told_all(w, submit_some(w, 50, 2, 4), 60));
        expect_rules(w);
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
    s.cut_from_peers(Link::drop);
    s.confirmed_elsewhere();
    s.outage(60);
    s.cut_from_peers(Link::up);
    s.finish();
}

// Its peers' beats of before come after a minute: they tell nothing of the time in which they were held.
TEST_P(Gap, AlsoWhenBeatsComeLate) {
    CancelStory s(GetParam());
    s.cut_from_peers(Link::hold);
    s.w.run(1);
    s.confirmed_elsewhere();
    s.w.store.outage = true;
    s.w.store.refused.clear();
    // What was held arrives, and is held again at once: beats of before the confirmation among it, none of
    // after.
    for (int i = 0; i < 12; ++i) {
        s.w.run(3);
        s.cut_from_peers(Link::up);
        s.w.run(0.0005);
        s.cut_from_peers(Link::hold);
    }
    s.w.run(24);
    s.w.store.outage = false;
    s.cut_from_peers(Link::up);
    s.finish();
}

// Whoever confirmed it ends before anybody else has heard of it, and is back, knowing nothing of it: it must
// not vouch for what it told in its life before.
TEST_P(Gap, AlsoWhenTheConfirmingControllerEnds) {
    for (const double back : {0.2, 20.0}) {
        CancelStory s(GetParam());
        s.w.store.refused.insert("n2");
        s.w.link("n1", "n0", Link::drop);
        s.w.link("n1", "n2", Link::drop);
        s.confirmed_elsewhere();
        s.w.store.outage = true;
        s.w.store.refused.clear();
        s.w.crash(1);
        s.w.link("n1", "n0", Link::up);
        s.w.link("n1", "n2", Link::up);
        s.w.run(back);
        s.w.start_node(1);
        s.w.run(60 - back);
        s.w.store.outage = false;
        s.finish();
    }
}

// The commit's answer is lost; the user hears of the cancellation by a question to a third controller.
TEST_P(Gap, AlsoWhenToldByAPoll) {
    CancelStory s(GetParam());
    World& w = s.w;
    w.store.refused.insert("n0");
    w.run(0.3);
    w.checker.asked_to_cancel(s.off);
    Json record = w.store.data.at("z/j/" + s.off).first;
    record["x"] = true;
    w.link("n2", "n0", Link::drop);  // nor does n0 hear of it at once
    const Json commit = {{"if", Json::array()}, {"writes", {{{"set", "z/j/" + s.off}, {"value", record}}}}};
    w.store.handle("n1", {"POST", "/commit", commit.dump()},
                   [](const HttpResponse& r) { EXPECT_EQ(r.status, 200); });
    w.poll(s.off, 2);
    ASSERT_TRUE(w.run_until([&] { return w.told(s.off) == "withdrawn"; }, 1));
    w.store.outage = true;
    w.store.refused.clear();
    w.run(0.2);
    w.link("n2", "n0", Link::up);
    w.run(60);
    w.store.outage = false;
    s.expect_all_kept();
    s.finish();
}

// Nobody is served for longer than `cancel_s`, and all controllers are up: no running task is lost.
TEST_P(Gap, PlainOutageCostsNothing) {
    CancelStory s(GetParam());
    s.outage(60);
    EXPECT_EQ(s.w.on_machines(s.off), 24);
    s.expect_all_kept();
    s.w.cancel(s.off);
    EXPECT_TRUE(told_all(s.w, {s.off}, 20));
    s.finish();
}

// What the rule costs: where a controller ended in the outage, nobody vouches for what it told before. Leases
// are renewed until the slack is used up and then run out, all of them, and what they held starts anew after
// the outage.
TEST_P(Gap, WithoutAVouchLeasesRunOut) {
    CancelStory s(GetParam());
    World& w = s.w;
    // Those of the controller that ends can't be taken over without the state service and are lost with their
    // leases.
    int theirs = 0, others = 0;
    for (auto& [id, m] : w.workers())
        for (const auto& [key, t] : m.tasks)
            if (t.job == s.on) ++(w.node(2).cluster().leader_term(zincdyke::MachineId(id)) ? theirs : others);
    ASSERT_GT(others, 0);
    w.store.outage = true;
    w.run(3);
    w.crash(2);
    const double slack = zincdyke::to_seconds(w.node(0).cancellation_watermark().renewal_window());
    w.run(slack - 3);
    EXPECT_EQ(w.on_machines(s.on), others);
    EXPECT_TRUE(w.run_until([&] { return w.on_machines(s.on) == 0; }, w.lease_s + 6));
    w.start_node(2);
    w.run(2);
    w.store.outage = false;
    EXPECT_TRUE(w.run_until([&] { return w.on_machines(s.on) == 24; }, 60));
    w.cancel(s.off);
    EXPECT_TRUE(told_all(w, {s.off}, 20));
    s.finish();
}

// A machine hangs with a cancelled task, within its lease and beyond, and goes on.
TEST_P(Gap, HungMachinesGoOnWithoutIt) {
    for (const double hang : {6.0, 15.0, 28.0}) {
        CancelStory s(GetParam());
        std::vector<std::string> machines;
        for (auto& [id, m] : s.w.workers())
            if (machines.size() < 4 && s.w.placed_on(id) > 0) machines.push_back(id);
        s.w.cancel(s.off, 1);
        s.w.run(1.9);
        for (const auto& id : machines) s.w.hang(id, hang);
        ASSERT_TRUE(s.w.run_until([&] { return s.w.told(s.off) == "withdrawn"; }, 8));
        s.w.run(45);
        s.finish();
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Gap, ::testing::Values(1, 2, 3));

// A confirmed cancellation is halted at once, not with the next check-in: nothing of it starts any more.
TEST(Cancel, HaltedAtOnce) {
    World::Options o;
    o.report_s = 10;
    o.lease_s = 45;
    o.cancel_s = 70;
    World w(o);
    w.run(3);
    w.submit(w.job(id_of(1), 24, 1, 500));
    ASSERT_TRUE(w.run_until([&] { return w.on_machines(id_of(1)) == 24; }, 60));
    w.run(1);
    w.cancel(id_of(1));
    ASSERT_TRUE(w.run_until([&] { return w.told(id_of(1)) == "withdrawn"; }, 8));
    EXPECT_TRUE(w.run_until([&] { return w.on_machines(id_of(1)) == 0; }, 0.5));
    expect_rules(w);
}

}  // namespace
}  // namespace zincdyke::testing
