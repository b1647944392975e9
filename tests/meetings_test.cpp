// Two troubles meet: each meeting that the operators have named, brought about (docs/measurements.md,
// "Meetings of troubles").
#include <gtest/gtest.h>

#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

// A zone with its workers and a controller is cut off for longer than a lease, cancellations fall into it,
// and jobs bound to one zone, arrays too, are in it.
class ZoneCut : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(ZoneCut, WorkMovesOnAndComesBack) {
    for (const LinkState cut : {LinkState::drop, LinkState::hold}) {
        SimulatedDeployment deployment(options_with_seed(GetParam(), {"a", "b"}));
        deployment.run(3);
        std::vector<std::string> ids;
        for (int i = 1; i <= 6; ++i) {
            Json j = deployment.job(job_id(i), i % 2 == 0 ? 3 : 6, 2, 40);
            j["one_zone"] = true;
            if (i % 2 == 0) j["shape"] = "group";
            deployment.submit(j);
            ids.push_back(job_id(i));
        }
        deployment.submit(deployment.job(job_id(9), 12, 1, 300));
        ids.push_back(job_id(9));
        deployment.run(18);
        std::vector<std::string> inside{"n0"}, outside{"n1", "n2", "state", "cloud"};
        for (auto& [id, m] : deployment.workers.all()) (m.zone == "b" ? inside : outside).push_back(id);
        auto all = [&](LinkState l) {
            for (const auto& i : inside)
                for (const auto& o : outside) deployment.set_link(i, o, l);
        };
        all(cut);
        deployment.run(4);
        deployment.cancel(job_id(9), 1);
        const std::string late = job_id(20);
        Json j = deployment.job(late, 3, 3, 10);
        j["one_zone"] = true;
        j["shape"] = "group";
        deployment.submit(j, 1);
        // Those who come during the cut are not bound to the zone that nobody reaches.
        EXPECT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(late) == 3; }, 25));
        deployment.run(30);
        all(LinkState::up);
        ids.push_back(late);
        expect_recovery(deployment, ids);
    }
}
INSTANTIATE_TEST_SUITE_P(Seeds, ZoneCut, ::testing::Range<std::uint64_t>(1, 13));

// Jobs bound to one zone, arrays too, lose machines there, and the zone gives no more: they go on elsewhere.
TEST(Meeting, OneZoneJobsLoseTheirMachines) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        DeploymentOptions o = options_with_seed(seed, {"a", "b"});
        o.cloud_capacity = 8;
        SimulatedDeployment deployment(o);
        for (int i = 0; i < 8; ++i) deployment.workers.add("small", i < 4 ? "a" : "b", false, 0.1);
        deployment.run(4);
        std::vector<std::string> ids;
        for (int i = 1; i <= 4; ++i) {
            Json j = deployment.job(job_id(i), 2, 4, 30);
            j["one_zone"] = true;
            if (i % 2 == 0) j["shape"] = "group";
            deployment.submit(j);
            ids.push_back(job_id(i));
        }
        deployment.run(6);
        o.cloud_capacity = 4;
        deployment.cloud.capacity = 4;  // what is lost does not come again
        std::vector<std::string> lost;
        for (auto& [id, m] : deployment.workers.all())
            if (m.zone == "a") lost.push_back(id);
        for (const auto& id : lost) deployment.workers.crash(id);
        expect_recovery(deployment, ids);
    }
}

// All controllers are away for longer than a lease, and come back one after the other.
TEST(Meeting, AllControllersAwayLongerThanALease) {
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

// Machines hang with orders on their way and go on, within their lease and beyond, while owners hand over and
// back.
TEST(Meeting, HeldOrdersAndHandOvers) {
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

// An owner ends while machines with long tasks can't be reached, and others don't hear the new owner's
// answers.
TEST(Meeting, OwnerEndsWhileMachinesAreOutOfReach) {
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
            if (i % 3 == 1) deployment.network.receives_nothing.insert(id);
        }
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n)
                deployment.set_link(id, deployment.controller_name(n), LinkState::hold);
        deployment.crash_controller(static_cast<int>(seed) % 3);
        deployment.run(16);
        deployment.network.receives_nothing.clear();
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n) deployment.set_link(id, deployment.controller_name(n), LinkState::up);
        deployment.start_controller(static_cast<int>(seed) % 3);
        deployment.run(5);
        expect_recovery(deployment, ids);
    }
}

// The tasks of a job of three end far apart, each under other owners; its user asks, repeats the submission,
// and all is told as it is.
TEST(Meeting, EndsFarApartUnderManyTerms) {
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

// Machines that reach no controller while direct orders reach them: cancelled tasks are halted at once, the
// others are lost with their lease and started elsewhere, never beside the first.
TEST(Meeting, MuteMachines) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        deployment.submit(deployment.job(job_id(1), 8, 1, 500));
        deployment.submit(deployment.job(job_id(2), 8, 1, 40));
        ASSERT_TRUE(deployment.run_until(
            [&] {
                return deployment.workers.executing_tasks(job_id(1)) == 8 &&
                       deployment.workers.executing_tasks(job_id(2)) == 8;
            },
            60));
        for (auto& [id, m] : deployment.workers.all()) deployment.workers.heartbeats_fail.insert(id);
        deployment.cancel(job_id(1), 0);
        ASSERT_TRUE(deployment.run_until([&] { return deployment.last_phase(job_id(1)) == "withdrawn"; }, 4));
        deployment.run(0.5);
        EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 0);
        EXPECT_EQ(deployment.workers.executing_tasks(job_id(2)), 8);
        if (seed == 2) deployment.crash_controller(1);
        deployment.run(24);
        deployment.workers.heartbeats_fail.clear();
        deployment.start_controller(1);
        deployment.run(5);
        expect_recovery(deployment, {job_id(1), job_id(2)});
    }
}

// Owners change ten times in two minutes, an outage of the state service among them, with cancellations and
// questions.
TEST(Meeting, TenOwnersInTwoMinutes) {
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

// The state service answers slowly, refuses one controller alone, then all for longer than `cancel_s`, while
// users cancel and ask.
TEST(Meeting, SlowThenRefusedThenDown) {
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

// A controller is cut from the state service and from its peers, not from workers and users; jobs are
// cancelled through the others, and its workers' reports come late to them.
TEST(Meeting, CutFromStateAndPeersOnly) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        for (const LinkState cut : {LinkState::drop, LinkState::hold}) {
            SimulatedDeployment deployment(options_with_seed(seed));
            deployment.run(3);
            deployment.submit(deployment.job(job_id(1), 16, 1, 500));
            deployment.submit(deployment.job(job_id(2), 8, 1, 50));
            ASSERT_TRUE(deployment.run_until(
                [&] {
                    return deployment.workers.executing_tasks(job_id(1)) == 16 &&
                           deployment.workers.executing_tasks(job_id(2)) == 8;
                },
                60));
            for (const char* o : {"state", "n1", "n2"}) deployment.set_link("n0", o, cut);
            deployment.faults.duplicate_heartbeats = 0.3;
            deployment.faults.duplicate_heartbeat_delay_s = 20;
            deployment.run(1);
            deployment.cancel(job_id(1), 1);
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.last_phase(job_id(1)) == "withdrawn"; }, 8));
            deployment.run(40);
            EXPECT_EQ(deployment.workers.executing_tasks(job_id(1)), 0);
            for (const char* o : {"state", "n1", "n2"}) deployment.set_link("n0", o, LinkState::up);
            deployment.faults.duplicate_heartbeats = 0;
            deployment.run(22);
            expect_recovery(deployment, {job_id(1), job_id(2)});
        }
}

// Commits get no answer and are carried out late, after newer ones of the same controller, while controllers
// restart.
class LateWrites : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(LateWrites, ChangeNothingThatCameAfter) {
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
    // No room of the limited team leaked, whoever starts its next task.
    deployment.run(3);
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(deployment.controller(n).state_cache().quota_usage(zincdyke::TeamName("blue")).cpu, 0) << n;
}
INSTANTIATE_TEST_SUITE_P(Seeds, LateWrites, ::testing::Range<std::uint64_t>(1, 7));

// A cancellation, a question and a repeated submission meet the end of the last task, at one moment after
// another.
TEST(Meeting, CancelledAtTheEnd) {
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

// A team at its limit when owners change, some of its machines can't be asked, and a cancellation falls into
// that spell: the limit holds, and its room is neither lost nor given away.
TEST(Meeting, TeamAtItsLimit) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        deployment.submit(deployment.job(job_id(1), 12, 1, 500, "blue"));
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 12; }, 60));
        deployment.submit(deployment.job(job_id(2), 12, 1, 8, "blue"));
        deployment.run(3);
        std::vector<std::string> cut;
        for (auto& [id, m] : deployment.workers.all())
            if (cut.size() < 2 && deployment.store.placed_tasks(id) > 0) cut.push_back(id);
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n)
                deployment.set_link(id, deployment.controller_name(n),
                                    seed % 2 == 0 ? LinkState::hold : LinkState::drop);
        deployment.crash_controller(0);
        deployment.crash_controller(1);
        deployment.run(1);
        deployment.cancel(job_id(1), 2);
        deployment.run(5);
        deployment.start_controller(0);
        deployment.start_controller(1);
        deployment.run(20);
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n) deployment.set_link(id, deployment.controller_name(n), LinkState::up);
        deployment.run(3);
        expect_recovery(deployment, {job_id(1), job_id(2)}, 90);
    }
}

// The world itself notices a job that waits beside room: here because no controller is left to start it.
TEST(Meeting, WaitingBesideRoomIsNoticed) {
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

// Two troubles at a time, the second within the first or just after it, by seed.
class Pairs : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(Pairs, RulesHold) {
    SimulatedDeployment deployment(options_with_seed(GetParam(), {"a", "b"}));
    deployment.run(3);
    std::vector<std::string> ids;
    auto pick = [&](int n) {
        return static_cast<int>(deployment.random.draw() % static_cast<std::uint64_t>(n));
    };
    auto work = [&](int first) {
        for (int i = 0; i < 3; ++i) {
            ids.push_back(job_id(first + i));
            Json j = deployment.job(ids.back(), 1 + pick(8), 1 + pick(2), 4 + pick(30),
                                    pick(2) == 0 ? "red" : "blue");
            if (pick(3) == 0) {
                j["shape"] = "group";
                j["shards"] = 1 + pick(3);
            }
            j["one_zone"] = pick(3) == 0;
            deployment.submit(j);
        }
    };
    auto trouble = [&](double s) {
        const int n = pick(3);
        const std::string name = deployment.controller_name(n);
        std::vector<std::string> some;
        for (auto& [id, m] : deployment.workers.all())
            if (m.alive && pick(3) == 0) some.push_back(id);
        const LinkState cut = pick(2) == 0 ? LinkState::hold : LinkState::drop;
        auto links = [&deployment](const std::vector<std::string>& a, const std::vector<std::string>& b,
                                   LinkState l) {
            for (const auto& x : a)
                for (const auto& y : b)
                    if (x != y) deployment.set_link(x, y, l);
        };
        const std::vector<std::string> nodes{"n0", "n1", "n2"};
        switch (pick(15)) {
            case 0:
                deployment.store.rejected_clients.insert(name);
                deployment.after(s, [&deployment, name] { deployment.store.rejected_clients.erase(name); });
                break;
            case 1:
                deployment.store.outage = true;
                deployment.after(s, [&deployment] { deployment.store.outage = false; });
                break;
            case 2:
                deployment.crash_controller(n);
                deployment.after(pick(2) == 0 ? 0.2 : s,
                                 [&deployment, n] { deployment.start_controller(n); });
                break;
            case 3:
                for (int k = 0; k < 3; ++k) {
                    deployment.crash_controller(k);
                    deployment.after(pick(2) == 0 ? 0.3 : s,
                                     [&deployment, k] { deployment.start_controller(k); });
                }
                break;
            case 4:
                for (const auto& id : some) deployment.workers.hang(id, s * deployment.chance());
                break;
            case 5:
                links(some, nodes, cut);
                deployment.after(s, [links, some, nodes] { links(some, nodes, LinkState::up); });
                break;
            case 6:
                links({name}, {"state", "n0", "n1", "n2"}, cut);
                deployment.after(s, [links, name] {
                    links({name}, {"state", "n0", "n1", "n2"}, LinkState::up);
                });
                break;
            case 7:
                for (const auto& id : some) deployment.network.receives_nothing.insert(id);
                deployment.after(s, [&deployment] { deployment.network.receives_nothing.clear(); });
                break;
            case 8:
                for (const auto& id : some) deployment.workers.heartbeats_fail.insert(id);
                deployment.after(s, [&deployment] { deployment.workers.heartbeats_fail.clear(); });
                break;
            case 9:
                deployment.faults.late_commits = 0.4;
                deployment.after(s, [&deployment] { deployment.faults.late_commits = 0; });
                break;
            case 10:
                deployment.faults.duplicate_heartbeats = 0.5;
                deployment.after(s, [&deployment] { deployment.faults.duplicate_heartbeats = 0; });
                break;
            case 11:
                deployment.faults.lost_commit_responses = 0.4;
                deployment.after(s, [&deployment] { deployment.faults.lost_commit_responses = 0; });
                break;
            case 12:
                deployment.faults.late_commands = deployment.faults.late_command_responses = 0.5;
                deployment.after(s, [&deployment] {
                    deployment.faults.late_commands = deployment.faults.late_command_responses = 0;
                });
                break;
            case 13:
                deployment.faults.heartbeats_replayed_to_next_leader = 0.5;
                deployment.after(s,
                                 [&deployment] { deployment.faults.heartbeats_replayed_to_next_leader = 0; });
                break;
            default:
                deployment.freeze_controller(n, s);
        }
    };
    for (int pair = 0; pair < 4; ++pair) {
        work(20 * pair);
        deployment.run(8);
        const double first = 4 + 36 * deployment.chance();
        trouble(first);
        for (const auto& id : ids)
            if (deployment.is_accepted(id) && pick(5) == 0) deployment.cancel(id);
        deployment.run(pick(2) == 0 ? first * deployment.chance() : first + deployment.chance());
        work(20 * pair + 10);
        trouble(4 + 36 * deployment.chance());
        for (int i = 0; i < 14; ++i) {
            for (const auto& id : ids)
                if (deployment.is_accepted(id)) deployment.poll(id);
            deployment.run(3);
        }
    }
    // The last copy of a report comes 40 s after it.
    deployment.run(50);
    expect_recovery(deployment, ids, 300);
}
std::uint64_t pair_seeds() {
    const char* n = std::getenv("ZINCDYKE_SEEDS");
    return n != nullptr ? std::stoull(n) : 16;
}
INSTANTIATE_TEST_SUITE_P(Seeds, Pairs, ::testing::Range<std::uint64_t>(500, 500 + pair_seeds()));

}  // namespace
}  // namespace zincdyke::testing
