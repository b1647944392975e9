// Standing services: replicas that run until the job is cancelled and are put back wherever one goes.
#include "jobs/restart_backoff.h"
#include "sched/logic.h"
#include "story.h"

namespace zincdyke::testing {
namespace {

using zincdyke::RestartBackoff;
using zincdyke::SteadyTime;

Json service(World& w, int n, int replicas, double ends_after_s = 1e6, const std::string& team = "red") {
    Json body = w.job(id_of(n), replicas, 1, ends_after_s, team);
    body["shape"] = "service";
    body["rank"] = "critical";
    body["guess_s"] = 0;
    body["loaners"] = false;
    return body;
}

bool all_run(World& w, int n, int replicas, double most) {
    return w.run_until([&] { return w.on_machines(id_of(n)) == replicas; }, most);
}

std::string machine_of(World& w, int n) {
    for (const auto& [id, worker] : w.workers())
        for (const auto& [key, task] : worker.tasks)
            if (task.job == id_of(n) && task.phase == "running") return id;
    return "";
}

void expect_never_done(World& w, int n) {
    w.poll(id_of(n));
    w.run(3);
    EXPECT_NE(w.told(id_of(n)), "done");
    w.cancel(id_of(n));
    EXPECT_TRUE(told_all(w, {id_of(n)}, 30));
    EXPECT_TRUE(w.run_until([&] { return w.on_machines(id_of(n)) == 0; }, 10));
    expect_rules(w);
}

// Each way in which a replica can go: it runs again elsewhere within what noticing and starting take.
TEST(Service, ReplicaIsPutBackAfterItsMachineIsLost) {
    World w;
    w.run(3);
    w.submit(service(w, 1, 3));
    ASSERT_TRUE(all_run(w, 1, 3, 60));
    w.kill_machine(machine_of(w, 1));
    ASSERT_LT(w.on_machines(id_of(1)), 3);
    EXPECT_TRUE(all_run(w, 1, 3, 35));
    expect_never_done(w, 1);
}

TEST(Service, ReplicaMovesBeforeItsMachineIsTaken) {
    World::Options o;
    o.boot_s = 2;
    World w(o);
    w.run(3);
    Json body = service(w, 1, 1);
    body["loaners"] = true;
    w.submit(body);
    ASSERT_TRUE(all_run(w, 1, 1, 60));
    const std::string before = machine_of(w, 1);
    w.notice(before, 15);
    w.run(20);
    // Had it stayed until the machine was taken, its lease would still keep it from starting elsewhere.
    EXPECT_EQ(w.on_machines(id_of(1)), 1);
    EXPECT_NE(machine_of(w, 1), before);
    expect_never_done(w, 1);
}

TEST(Service, ReplicaThatEndsWellRunsAgain) {
    World w;
    w.run(3);
    w.submit(service(w, 1, 2, 40));
    ASSERT_TRUE(all_run(w, 1, 2, 60));
    w.run(41);
    EXPECT_TRUE(all_run(w, 1, 2, 10));
    w.run(45);
    EXPECT_TRUE(all_run(w, 1, 2, 10));
    expect_never_done(w, 1);
}

// One that fails at once everywhere is tried less and less often, and others use the same machines meanwhile.
TEST(Service, ReplicaThatFailsIsHeldBackMoreEachTime) {
    World w;
    w.run(3);
    w.bad_jobs.insert(id_of(1));
    w.submit(service(w, 1, 1, 1));
    w.submit(service(w, 2, 2));
    ASSERT_TRUE(all_run(w, 2, 2, 60));
    w.run(120);
    const auto commits = w.store.commits;
    w.run(60);
    EXPECT_LE(w.store.commits - commits, 12U);
    w.submit(w.job(id_of(3), 4, 1, 5));
    EXPECT_TRUE(told_all(w, {id_of(3)}, 60));
    EXPECT_EQ(w.on_machines(id_of(2)), 2);
    expect_never_done(w, 2);
}

TEST(Service, BackoffGrowsAndForgets) {
    RestartBackoff backoff;
    SteadyTime now{};
    const auto pause_after = [&](int ran_s) {
        backoff.placed(0, now);
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
TEST(Service, ReplicasAreSpreadOverMachines) {
    const zincdyke::Resources room{8000, 0, 64000};
    std::vector<zincdyke::sched::Candidate> machines{
        {zincdyke::MachineId("host-000001"), "a", room, room, true, 0, 0},
        {zincdyke::MachineId("host-000002"), "a", room, room, true, 0, 0},
        {zincdyke::MachineId("host-000003"), "a", room, room, false, 0, 0}};
    std::map<std::string, int> taken;
    for (const auto& offer : zincdyke::sched::rank(machines, {1000, 0, 1000}, 5, {.spread_replicas = true}))
        ++taken[offer.machine.value()];
    EXPECT_EQ(taken,
              (std::map<std::string, int>{{"host-000001", 2}, {"host-000002", 2}, {"host-000003", 1}}));
}

// All replicas run at the same time: together they must fit the limit.
TEST(Service, MoreThanTheLimitIsRefused) {
    World w;
    w.run(3);
    EXPECT_EQ(w.ask(0, "POST", "/api/jobs", service(w, 1, 13, 1e6, "blue").dump()).status, 422);
    EXPECT_EQ(w.ask(1, "POST", "/api/jobs", service(w, 2, 12, 1e6, "blue").dump()).status, 201);
    EXPECT_EQ(w.ask(2, "POST", "/api/jobs", service(w, 2, 12, 1e6, "blue").dump()).status, 200);
}

class ServiceAmid : public ::testing::TestWithParam<int> {};
// Running replicas outlive the upgrade of every controller, an outage and lower limits; those cancelled in
// any of these are gone in time.
TEST_P(ServiceAmid, UpgradeOutageAndShrink) {
    World::Options o;
    o.seed = static_cast<std::uint64_t>(GetParam()) + 20;
    o.value_kb = 8;
    o.next_value_kb = 2;
    o.next_txn_ops = 4;
    o.next_write_rps = 30;
    o.production_nodes = {0, 1, 2};
    World w(o);
    w.run(3);
    for (int n = 1; n <= 4; ++n) w.submit(service(w, n, 3));
    for (int n = 1; n <= 4; ++n) ASSERT_TRUE(all_run(w, n, 3, 60));
    int fewest = 3;
    const auto run = [&](double s) {
        for (double t = 0; t < s; t += 0.5) {
            w.run(0.5);
            fewest = std::min(fewest, w.on_machines(id_of(4)));
        }
    };
    for (int i = 0; i < 3; ++i) {
        w.upgrade((i + GetParam()) % 3, 2);
        if (i == 1) w.cancel(id_of(1));
        run(5);
    }
    w.store.outage = true;
    run(3);
    w.cancel(id_of(2));
    run(5);
    w.store.outage = false;
    run(5);
    w.store.lower_limits(2048, 4, 30);
    w.cancel(id_of(3));
    run(20);
    EXPECT_EQ(fewest, 3);
    EXPECT_TRUE(told_all(w, {id_of(1), id_of(2), id_of(3)}, 30));
    run(30);
    for (int n = 1; n <= 3; ++n) EXPECT_EQ(w.on_machines(id_of(n)), 0);
    expect_never_done(w, 4);
}
INSTANTIATE_TEST_SUITE_P(Seeds, ServiceAmid, ::testing::Range(0, 4));

}  // namespace
}  // namespace zincdyke::testing
