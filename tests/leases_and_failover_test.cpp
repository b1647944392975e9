// Leases and failover: controllers and machines crash, hang and return; nothing runs twice and work
// continues.
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

class ControllerCrash : public ::testing::TestWithParam<int> {};
// A controller, or all of them, dies at one step after another of a job's life; running work outlives it.
TEST_P(ControllerCrash, JobsFinishWhateverTheMoment) {
    DeploymentOptions o;
    o.seed = static_cast<std::uint64_t>(GetParam()) + 10;
    SimulatedDeployment deployment(o);
    deployment.run(3);
    auto ids = submit_jobs(deployment, 1, 3, 8, 15);
    deployment.run(0.02 + 1.37 * GetParam());
    const bool all = GetParam() % 3 == 2;
    for (int n = 0; n < (all ? 3 : 1 + GetParam() % 2); ++n) deployment.crash_controller(n);
    deployment.run(0.5 + 0.7 * GetParam());
    for (int n = 0; n < 3; ++n) deployment.start_controller(n);
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 200));
    expect_no_violations(deployment);
}
INSTANTIATE_TEST_SUITE_P(Steps, ControllerCrash, ::testing::Range(0, 12));

TEST(Failover, RunningTasksSurviveCrashOfAllControllers) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 6, 1, 100));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 6; }, 60));
    for (int n = 0; n < 3; ++n) deployment.crash_controller(n);
    deployment.run(4);
    for (int n = 0; n < 3; ++n) deployment.start_controller(n);
    deployment.run(15);
    EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 6);
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 150));
    EXPECT_EQ(deployment.checker.starts, 6);
    expect_no_violations(deployment);
}

// Found by the random faults: a lease expires while the key-value store is away, so its end cannot be
// committed yet, and the worker is back in a new session. Told to start its old task again, it would have run
// beside the successor.
TEST(Leases, TaskWhoseLeaseExpiredDuringStoreOutageIsNotRestartedInPlace) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 4, 1, 60));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 4; }, 60));
    deployment.store.outage = true;
    std::string machine = deployment.workers.all().begin()->first;
    for (int n = 0; n < 3; ++n) deployment.set_link(machine, deployment.controller_name(n), LinkState::drop);
    deployment.run(14);
    for (int n = 0; n < 3; ++n) deployment.set_link(machine, deployment.controller_name(n), LinkState::up);
    deployment.run(6);
    EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 0);
    deployment.store.outage = false;
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 200));
    EXPECT_EQ(deployment.checker.starts, 8);
    expect_no_violations(deployment);
}

// Found by the random faults: an end judged under one term, queued while the controller was cut off, must not
// be committed under the controller's next term: between the two another leader renewed the lease. The moment
// decides whether the queue is looked at between the two terms, so several are tried.
TEST(Leases, ExpiryJudgedInAnEarlierTermIsNotCommitted) {
    for (int moment = 0; moment < 12; ++moment) {
        SimulatedDeployment deployment;
        deployment.run(3);
        deployment.submit(deployment.job(job_id(1), 12, 1, 90));
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 12; }, 60));
        // n0 is refused by the key-value store and loses its workers: it judges their leases expired. Others
        // serve them.
        deployment.store.rejected_clients.insert("n0");
        std::vector<std::string> machines;
        for (auto& [id, m] : deployment.workers.all()) machines.push_back(id);
        for (const auto& m : machines) deployment.set_link(m, "n0", LinkState::drop);
        deployment.run(20 + 0.03 * moment);
        EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 12);
        for (const auto& m : machines) deployment.set_link(m, "n0", LinkState::up);
        deployment.store.rejected_clients.clear();
        EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 200));
        EXPECT_EQ(deployment.checker.starts, 12);
        expect_no_violations(deployment);
    }
}

TEST(Leases, TasksAreReplacedWhenMachineHangsPastItsLease) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 4, 1, 30));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 4; }, 60));
    deployment.workers.hang(deployment.workers.all().begin()->first, 14);
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 150));
    expect_no_violations(deployment);
}

TEST(Leases, TasksContinueWhenMachineHangsWithinItsLease) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 4, 1, 30));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 4; }, 60));
    deployment.workers.hang(deployment.workers.all().begin()->first, 6);
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 150));
    EXPECT_EQ(deployment.checker.starts, 4);
    expect_no_violations(deployment);
}

TEST(Failover, JobsFinishWhenSpotMachinesAreTakenWithAndWithoutNotice) {
    SimulatedDeployment deployment;
    deployment.run(3);
    auto ids = submit_jobs(deployment, 1, 3, 8, 20);
    Json saver = deployment.job(job_id(50), 4, 1, 30);
    saver["mark_every_s"] = 5.0;
    saver["stow_s"] = 2.0;
    deployment.submit(saver);
    ids.push_back(job_id(50));
    deployment.run(15);
    std::vector<std::string> names;
    for (auto& [id, m] : deployment.workers.all()) names.push_back(id);
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (i % 3 == 0) deployment.workers.crash(names[i]);
        if (i % 3 == 1) deployment.workers.announce_preemption(names[i], 8);
    }
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 200));
    expect_no_violations(deployment);
}

TEST(Failover, JobsFinishWhenControllersAndMachinesCrashTogether) {
    SimulatedDeployment deployment;
    deployment.run(3);
    auto ids = submit_jobs(deployment, 1, 2, 6, 20);
    deployment.run(16);
    for (int n = 0; n < 3; ++n) deployment.crash_controller(n);
    std::vector<std::string> names;
    for (auto& [id, m] : deployment.workers.all()) names.push_back(id);
    for (const auto& n : names) deployment.workers.crash(n);
    deployment.run(3);
    for (int n = 0; n < 3; ++n) deployment.start_controller(n);
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 200));
    expect_no_violations(deployment);
}

// A heartbeat held on its way arrives after the lease that it belongs to expired: nothing is placed on its
// dead machine.
TEST(Leases, LateHeartbeatDoesNotReviveCrashedMachine) {
    for (int leader = 0; leader < 3; ++leader) {
        SimulatedDeployment deployment;
        deployment.run(3);
        // Not all machines are full: a copy that revived one would bring new tasks to it.
        deployment.submit(deployment.job(job_id(1), 9, 1, 200));
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 9; }, 60));
        std::vector<std::string> dead;
        for (auto& [id, m] : deployment.workers.all()) {
            deployment.set_link(id, deployment.controller_name(leader), LinkState::hold);
            dead.push_back(id);
        }
        deployment.run(3);
        for (const auto& id : dead)
            if (deployment.workers.all().at(id).controller == static_cast<std::size_t>(leader))
                deployment.workers.crash(id);
        deployment.run(14);
        std::set<std::string> gone;
        for (const auto& id : dead)
            if (deployment.workers.all().contains(id) && !deployment.workers.all().at(id).alive)
                gone.insert(id);
        // There is work that waits for a machine.
        deployment.submit(deployment.job(job_id(2), 60, 1, 30));
        deployment.run(0.3);
        for (const auto& id : dead)
            deployment.set_link(id, deployment.controller_name(leader), LinkState::up);
        for (int i = 0; i < 30; ++i) {
            deployment.run(0.5);
            for (const auto& id : gone) EXPECT_EQ(deployment.store.placed_tasks(id), 0) << id;
        }
        deployment.cancel(job_id(1));
        deployment.cancel(job_id(2));
        EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1), job_id(2)}, 30));
        expect_no_violations(deployment);
    }
}

// Duplicates of heartbeats come after the return of their machine: it is not revived by them.
TEST(Leases, DuplicateHeartbeatsDoNotReviveReturnedMachines) {
    SimulatedDeployment deployment;
    deployment.run(3);
    auto ids = submit_jobs(deployment, 1, 2, 8, 5);
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 60));
    std::vector<std::string> machines;
    for (auto& [id, m] : deployment.workers.all()) {
        machines.push_back(id);
        for (std::size_t n = 0; n < 3; ++n)
            for (double d : {50.0, 51.0, 52.0, 54.0}) deployment.workers.duplicate_heartbeat(id, n, d);
    }
    const double copies_at = deployment.now() + 50;
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.all().empty(); }, 49));
    deployment.run(copies_at - deployment.now() - 0.1);
    ids = submit_jobs(deployment, 10, 2, 8, 5);
    for (int i = 0; i < 20; ++i) {
        deployment.run(0.5);
        for (const auto& id : machines) EXPECT_EQ(deployment.store.placed_tasks(id), 0) << id;
    }
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 60));
    expect_no_violations(deployment);
}

// Duplicates of old heartbeats to controllers that took over, restarted or saw the lease expire: none of them
// proves anything, so that nothing is started twice and nothing that runs is given up.
TEST(Leases, DuplicateHeartbeatsAreNoEvidenceAfterFailover) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 8, 1, 45));
    // Heartbeats of before the tasks were there, as duplicates for after the takeover and for after the
    // restart.
    ASSERT_TRUE(deployment.run_until(
        [&] { return deployment.is_accepted(job_id(1)) && !deployment.workers.all().empty(); }, 20));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) > 0; }, 60));
    for (auto& [id, m] : deployment.workers.all())
        for (std::size_t n = 0; n < 3; ++n)
            for (double d : {6.0, 9.0, 14.0, 21.0, 30.0}) deployment.workers.duplicate_heartbeat(id, n, d);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 8; }, 60));
    deployment.crash_controller(0);
    deployment.run(8);
    deployment.start_controller(0);
    deployment.crash_controller(1);
    deployment.run(0.3);
    deployment.start_controller(1);
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 150));
    EXPECT_EQ(deployment.checker.starts, 8);
    expect_no_violations(deployment);
}

// Back within its session's length, a controller still looks alive: whatever it held, a shard of a controller
// that is away included, it must take up again itself.
TEST(Failover, EveryShardHasOneLeaderAfterQuickRestarts) {
    for (int away = 0; away < 5; ++away)
        for (int second = 0; second < 5; ++second) {
            if (second == away) continue;
            DeploymentOptions o;
            o.controllers = 5;
            SimulatedDeployment deployment(o);
            deployment.run(3);
            // Two go; one comes back, so that the hash now names another controller for the shard of the
            // first.
            deployment.crash_controller(away);
            deployment.crash_controller(second);
            deployment.run(7);
            deployment.start_controller(second);
            deployment.run(3);
            for (int n = 0; n < 5; ++n)
                if (n != away) deployment.crash_controller(n);
            deployment.run(0.2);
            for (int n = 0; n < 5; ++n)
                if (n != away) deployment.start_controller(n);
            deployment.run(4);
            for (std::uint32_t part = 0; part < 5; ++part) {
                int leaders = 0;
                for (int n = 0; n < 5; ++n)
                    leaders += n != away && deployment.controller(n).cluster().term(part) ? 1 : 0;
                EXPECT_EQ(leaders, 1) << "part " << part << " away " << away << " second " << second;
            }
        }
}

// What a controller sent before its end arrives after its return: its record must not go with the lease of
// the previous process.
TEST(Failover, HeldMessagesOfThePreviousProcessDoNotEndItsSession) {
    for (int moment = 0; moment < 24; ++moment) {
        SimulatedDeployment deployment;
        deployment.run(0.001 * moment);
        deployment.set_link("n0", "state", LinkState::hold);
        deployment.run(0.05);
        deployment.crash_controller(0);
        deployment.run(0.1);
        deployment.start_controller(0);
        deployment.run(0.3);
        deployment.set_link("n0", "state", LinkState::up);
        deployment.run(12);
        EXPECT_TRUE(deployment.store.data.contains("z/n/n0"));
        EXPECT_TRUE(deployment.controller(0).cluster().term(0));
        auto ids = submit_jobs(deployment, 1, 2, 4);
        EXPECT_TRUE(all_reach_final_state(deployment, ids, 60));
        expect_no_violations(deployment);
    }
}

// The record that the previous process wrote comes once more, after the new one's: it ends with the old
// lease, while the controller is up and holds its own.
TEST(Failover, SessionRecordOnThePreviousLeaseIsWrittenAgain) {
    SimulatedDeployment deployment;
    deployment.run(3);
    const std::uint64_t old = deployment.store.lease_of("z/n/n0");
    ASSERT_GT(old, 0U);
    deployment.crash_controller(0);
    deployment.run(0.2);
    deployment.start_controller(0);
    deployment.run(0.5);
    ASSERT_NE(deployment.store.lease_of("z/n/n0"), old);
    const Json late = {{"if", Json::array()},
                       {"writes", {{{"set", "z/n/n0"}, {"value", Json::object()}, {"tether", old}}}}};
    deployment.store.handle("n0", {"POST", "/commit", late.dump()},
                            [](const HttpResponse& r) { EXPECT_EQ(r.status, 200); });
    deployment.run(10);
    EXPECT_TRUE(deployment.store.data.contains("z/n/n0"));
    EXPECT_TRUE(deployment.controller(0).cluster().term(0));
    auto ids = submit_jobs(deployment, 1, 2, 4);
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 60));
    expect_no_violations(deployment);
}

// All controllers are away for longer than a lease, and come back one after the other.
TEST(Failover, JobsFinishWhenAllControllersAreDownLongerThanALease) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.faults.duplicate_heartbeats = 0.3;
        deployment.run(3);
        auto ids = submit_jobs(deployment, 1, 3, 8, 30);
        deployment.run(15);
        for (int n = 0; n < 3; ++n) deployment.crash_controller(n);
        deployment.run(14);
        for (int n = 0; n < 3; ++n) {
            deployment.start_controller(n);
            deployment.run(2);
        }
        deployment.run(45);
        deployment.faults.duplicate_heartbeats = 0;
        expect_recovery(deployment, ids);
    }
}

// Machines hang with commands on their way and go on, within their lease and beyond, while leaders change
// and change back.
TEST(Failover, CommandsHeldByHungMachinesAreSafeAcrossLeaderChanges) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        auto ids = submit_jobs(deployment, 1, 3, 6, 20);
        deployment.run(6);
        for (int round = 0; round < 6; ++round) {
            std::vector<std::string> machines;
            for (auto& [id, m] : deployment.workers.all()) machines.push_back(id);
            for (std::size_t i = static_cast<std::size_t>(round) % 2; i < machines.size(); i += 2)
                deployment.workers.hang(machines[i], 3 + 9 * deployment.chance());
            const int n = round % 3;
            deployment.crash_controller(n);
            deployment.run(round % 2 == 0 ? 0.3 : 7);
            deployment.start_controller(n);
            if (round == 2) deployment.cancel(ids.back());
            auto more = submit_jobs(deployment, 100 + 10 * round, 1, 4, 6);
            ids.insert(ids.end(), more.begin(), more.end());
            deployment.run(5);
        }
        deployment.run(14);
        expect_recovery(deployment, ids);
    }
}

// A leader ends while machines with long tasks can't be reached, and others don't hear the new leader's
// answers.
TEST(Failover, LeaderCrashIsSafeWhileMachinesAreUnreachable) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        std::vector<std::string> ids{job_id(1)};
        deployment.submit(deployment.job(job_id(1), 20, 1, 70));
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 20; }, 60));
        int i = 0;
        std::vector<std::string> cut;
        for (auto& [id, m] : deployment.workers.all()) {
            if (++i % 3 == 0) cut.push_back(id);
            if (i % 3 == 1) deployment.network.parties_without_inbound.insert(id);
        }
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n)
                deployment.set_link(id, deployment.controller_name(n), LinkState::hold);
        deployment.crash_controller(static_cast<int>(seed) % 3);
        deployment.run(16);
        deployment.network.parties_without_inbound.clear();
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n) deployment.set_link(id, deployment.controller_name(n), LinkState::up);
        deployment.start_controller(static_cast<int>(seed) % 3);
        deployment.run(5);
        expect_recovery(deployment, ids);
    }
}

// The tasks of a job of three end far apart, each under other leaders; its user asks, repeats the submission,
// and all is told as it is.
TEST(Failover, TasksEndingUnderDifferentLeadersAreAllCounted) {
    DeploymentOptions o = options_with_seed(3);
    o.cloud_capacity = 1;
    SimulatedDeployment deployment(o);
    deployment.run(3);
    const Json j = deployment.job(job_id(1), 3, 4, 12);  // one at a time
    deployment.submit(j);
    for (int end = 1; end <= 3; ++end) {
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.checker.done_tasks(job_id(1)) >= end; }, 60));
        for (int n = 0; n < 3; ++n) deployment.crash_controller(n);
        deployment.run(end == 2 ? 4 : 0.2);
        for (int n = 0; n < 3; ++n) deployment.start_controller(n);
        deployment.submit(j);
        deployment.poll(job_id(1));
        deployment.run(2);
    }
    expect_recovery(deployment, {job_id(1)}, 30);
    deployment.submit(j);
    deployment.run(2);
    EXPECT_EQ(deployment.last_phase(job_id(1)), "done");
    EXPECT_EQ(deployment.checker.starts, 3);
}

// Leaders change ten times in two minutes, an outage of the key-value store among them, with cancellations
// and questions.
TEST(Failover, JobsFinishAcrossTenLeaderChanges) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        std::vector<std::string> ids;
        for (int change = 0; change < 10; ++change) {
            auto more = submit_jobs(deployment, 10 * change, 2, 4, 15);
            ids.insert(ids.end(), more.begin(), more.end());
            if (change == 4) deployment.store.outage = true;
            if (change == 7) deployment.store.outage = false;
            const int n = change % 3;
            deployment.crash_controller(n);
            deployment.run(change % 2 == 0 ? 0.4 : 6);
            deployment.start_controller(n);
            for (const auto& id : ids)
                if (deployment.is_accepted(id)) deployment.poll(id);
            deployment.run(6);
            if (change % 3 == 1 && deployment.is_accepted(ids[ids.size() - 2]))
                deployment.cancel(ids[ids.size() - 2]);
        }
        deployment.run(10);
        expect_recovery(deployment, ids);
    }
}

// A controller transfers its shard, because no heartbeat reaches it, and reclaims it; then all end, and one
// alone returns within a second: no running task is lost, and the one serves all.
TEST(Failover, OneControllerServesAllAfterTransferReclaimAndCrashOfAll) {
    for (int back = 0; back < 3; ++back)
        for (const double away : {0.3, 0.9}) {
            SimulatedDeployment deployment(options_with_seed(static_cast<std::uint64_t>(back) + 1));
            deployment.run(3);
            const std::string runs = job_id(1), more = job_id(2);
            deployment.submit(deployment.job(runs, 40, 1, 200));
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(runs) == 40; }, 60));
            const auto machines = machine_ids(deployment);
            auto owns_some = [&](int n) {
                return std::any_of(machines.begin(), machines.end(),
                                   [&](const auto& id) { return leader_of(deployment, id) == n; });
            };
            set_links(deployment, "n0", machines, LinkState::drop);
            EXPECT_TRUE(deployment.run_until([&] { return !owns_some(0); }, 15));
            set_links(deployment, "n0", machines, LinkState::up);
            EXPECT_TRUE(deployment.run_until([&] { return owns_some(0); }, 40));
            for (int n = 0; n < 3; ++n) deployment.crash_controller(n);
            deployment.run(away);
            deployment.start_controller(back);
            deployment.submit(deployment.job(more, 4, 1, 10), back);
            EXPECT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(more) == 4; }, 20));
            EXPECT_EQ(deployment.workers.executing_tasks(runs), 40);
            deployment.run(15);
            for (int n = 0; n < 3; ++n) deployment.start_controller(n);
            expect_recovery(deployment, {runs, more}, 220);
            EXPECT_EQ(deployment.checker.starts, 44);
        }
}

}  // namespace
}  // namespace zincdyke::testing
