// Two troubles meet: each meeting that the operators have named, brought about (docs/measurements.md,
// "Meetings of troubles").
#include <gtest/gtest.h>

#include "story.h"

namespace zincdyke::testing {
namespace {

// A zone with its workers and a controller is cut off for longer than a lease, cancellations fall into it,
// and jobs bound to one zone, arrays too, are in it.
class ZoneCut : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(ZoneCut, WorkMovesOnAndComesBack) {
    for (const Link cut : {Link::drop, Link::hold}) {
        World w(seeded(GetParam(), {"a", "b"}));
        w.run(3);
        std::vector<std::string> ids;
        for (int i = 1; i <= 6; ++i) {
            Json j = w.job(id_of(i), i % 2 == 0 ? 3 : 6, 2, 40);
            j["one_zone"] = true;
            if (i % 2 == 0) j["shape"] = "group";
            w.submit(j);
            ids.push_back(id_of(i));
        }
        w.submit(w.job(id_of(9), 12, 1, 300));
        ids.push_back(id_of(9));
        w.run(18);
        std::vector<std::string> inside{"n0"}, outside{"n1", "n2", "state", "cloud"};
        for (auto& [id, m] : w.workers()) (m.zone == "b" ? inside : outside).push_back(id);
        auto all = [&](Link l) {
            for (const auto& i : inside)
                for (const auto& o : outside) w.link(i, o, l);
        };
        all(cut);
        w.run(4);
        w.cancel(id_of(9), 1);
        const std::string late = id_of(20);
        Json j = w.job(late, 3, 3, 10);
        j["one_zone"] = true;
        j["shape"] = "group";
        w.submit(j, 1);
        // Those who come during the cut are not bound to the zone that nobody reaches.
        EXPECT_TRUE(w.run_until([&] { return w.on_machines(late) == 3; }, 25));
        w.run(30);
        all(Link::up);
        ids.push_back(late);
        expect_recovery(w, ids);
    }
}
INSTANTIATE_TEST_SUITE_P(Seeds, ZoneCut, ::testing::Range<std::uint64_t>(1, 13));

// Jobs bound to one zone, arrays too, lose machines there, and the zone gives no more: they go on elsewhere.
TEST(Meeting, OneZoneJobsLoseTheirMachines) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World::Options o = seeded(seed, {"a", "b"});
        o.capacity = 8;
        World w(o);
        for (int i = 0; i < 8; ++i) w.add_machine("small", i < 4 ? "a" : "b", false, 0.1);
        w.run(4);
        std::vector<std::string> ids;
        for (int i = 1; i <= 4; ++i) {
            Json j = w.job(id_of(i), 2, 4, 30);
            j["one_zone"] = true;
            if (i % 2 == 0) j["shape"] = "group";
            w.submit(j);
            ids.push_back(id_of(i));
        }
        w.run(6);
        o.capacity = 4;
        w.cloud_capacity = 4;  // what is lost does not come again
        std::vector<std::string> lost;
        for (auto& [id, m] : w.workers())
            if (m.zone == "a") lost.push_back(id);
        for (const auto& id : lost) w.kill_machine(id);
        expect_recovery(w, ids);
    }
}

// All controllers are away for longer than a lease, and come back one after the other.
TEST(Meeting, AllControllersAwayLongerThanALease) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        World w(seeded(seed));
        w.copies = 0.3;
        w.run(3);
        auto ids = submit_some(w, 1, 3, 8, 30);
        w.run(15);
        for (int n = 0; n < 3; ++n) w.crash(n);
        w.run(14);
        for (int n = 0; n < 3; ++n) {
            w.start_node(n);
            w.run(2);
        }
        w.run(45);
        w.copies = 0;
        expect_recovery(w, ids);
    }
}

// Machines hang with orders on their way and go on, within their lease and beyond, while owners hand over and
// back.
TEST(Meeting, HeldOrdersAndHandOvers) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World w(seeded(seed));
        w.run(3);
        auto ids = submit_some(w, 1, 3, 6, 20);
        w.run(6);
        for (int round = 0; round < 6; ++round) {
            std::vector<std::string> machines;
            for (auto& [id, m] : w.workers()) machines.push_back(id);
            for (std::size_t i = static_cast<std::size_t>(round) % 2; i < machines.size(); i += 2)
                w.hang(machines[i], 3 + 9 * w.chance());
            const int n = round % 3;
            w.crash(n);
            w.run(round % 2 == 0 ? 0.3 : 7);
            w.start_node(n);
            if (round == 2) w.cancel(ids.back());
            auto more = submit_some(w, 100 + 10 * round, 1, 4, 6);
            ids.insert(ids.end(), more.begin(), more.end());
            w.run(5);
        }
        w.run(14);
        expect_recovery(w, ids);
    }
}

// An owner ends while machines with long tasks can't be reached, and others don't hear the new owner's
// answers.
TEST(Meeting, OwnerEndsWhileMachinesAreOutOfReach) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World w(seeded(seed));
        w.run(3);
        std::vector<std::string> ids{id_of(1)};
        w.submit(w.job(id_of(1), 20, 1, 70));
        ASSERT_TRUE(w.run_until([&] { return w.on_machines(id_of(1)) == 20; }, 60));
        int i = 0;
        std::vector<std::string> cut;
        for (auto& [id, m] : w.workers()) {
            if (++i % 3 == 0) cut.push_back(id);
            if (i % 3 == 1) w.deaf.insert(id);
        }
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n) w.link(id, w.name(n), Link::hold);
        w.crash(static_cast<int>(seed) % 3);
        w.run(16);
        w.deaf.clear();
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n) w.link(id, w.name(n), Link::up);
        w.start_node(static_cast<int>(seed) % 3);
        w.run(5);
        expect_recovery(w, ids);
    }
}

// The tasks of a job of three end far apart, each under other owners; its user asks, repeats the submission,
// and all is told as it is.
TEST(Meeting, EndsFarApartUnderManyTerms) {
    World::Options o = seeded(3);
    o.capacity = 1;
    World w(o);
    w.run(3);
    const Json j = w.job(id_of(1), 3, 4, 12);  // one at a time
    w.submit(j);
    for (int end = 1; end <= 3; ++end) {
        ASSERT_TRUE(w.run_until([&] { return w.checker.done_tasks(id_of(1)) >= end; }, 60));
        for (int n = 0; n < 3; ++n) w.crash(n);
        w.run(end == 2 ? 4 : 0.2);
        for (int n = 0; n < 3; ++n) w.start_node(n);
        w.submit(j);
        w.poll(id_of(1));
        w.run(2);
    }
    expect_recovery(w, {id_of(1)}, 30);
    w.submit(j);
    w.run(2);
    EXPECT_EQ(w.told(id_of(1)), "done");
    EXPECT_EQ(w.checker.starts, 3);
}

// Machines that reach no controller while direct orders reach them: cancelled tasks are halted at once, the
// others are lost with their lease and started elsewhere, never beside the first.
TEST(Meeting, MuteMachines) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        World w(seeded(seed));
        w.run(3);
        w.submit(w.job(id_of(1), 8, 1, 500));
        w.submit(w.job(id_of(2), 8, 1, 40));
        ASSERT_TRUE(
            w.run_until([&] { return w.on_machines(id_of(1)) == 8 && w.on_machines(id_of(2)) == 8; }, 60));
        for (auto& [id, m] : w.workers()) w.mute.insert(id);
        w.cancel(id_of(1), 0);
        ASSERT_TRUE(w.run_until([&] { return w.told(id_of(1)) == "withdrawn"; }, 4));
        w.run(0.5);
        EXPECT_EQ(w.on_machines(id_of(1)), 0);
        EXPECT_EQ(w.on_machines(id_of(2)), 8);
        if (seed == 2) w.crash(1);
        w.run(24);
        w.mute.clear();
        w.start_node(1);
        w.run(5);
        expect_recovery(w, {id_of(1), id_of(2)});
    }
}

// Owners change ten times in two minutes, an outage of the state service among them, with cancellations and
// questions.
TEST(Meeting, TenOwnersInTwoMinutes) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        World w(seeded(seed));
        w.run(3);
        std::vector<std::string> ids;
        for (int change = 0; change < 10; ++change) {
            auto more = submit_some(w, 10 * change, 2, 4, 15);
            ids.insert(ids.end(), more.begin(), more.end());
            if (change == 4) w.store.outage = true;
            if (change == 7) w.store.outage = false;
            const int n = change % 3;
            w.crash(n);
            w.run(change % 2 == 0 ? 0.4 : 6);
            w.start_node(n);
            for (const auto& id : ids)
                if (w.accepted(id)) w.poll(id);
            w.run(6);
            if (change % 3 == 1 && w.accepted(ids[ids.size() - 2])) w.cancel(ids[ids.size() - 2]);
        }
        w.run(10);
        expect_recovery(w, ids);
    }
}

// The state service answers slowly, refuses one controller alone, then all for longer than `cancel_s`, while
// users cancel and ask.
TEST(Meeting, SlowThenRefusedThenDown) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        World w(seeded(seed));
        w.run(3);
        auto ids = submit_some(w, 1, 6, 6, 60);
        w.run(14);
        w.store_delay = 1.2;
        for (int i = 0; i < 3; ++i) w.cancel(ids[static_cast<std::size_t>(i)]);
        w.run(5);
        w.store.refused.insert(w.name(static_cast<int>(seed) % 3));
        w.run(4);
        w.cancel(ids[3]);
        w.run(3);
        w.store.outage = true;
        for (int i = 0; i < 12; ++i) {
            for (const auto& id : ids)
                if (w.accepted(id)) w.poll(id);
            w.run(3);
        }
        w.store.outage = false;
        w.store.refused.clear();
        w.run(5);
        w.store_delay = 0;
        w.run(3);
        expect_recovery(w, ids);
    }
}

// A controller is cut from the state service and from its peers, not from workers and users; jobs are
// cancelled through the others, and its workers' reports come late to them.
TEST(Meeting, CutFromStateAndPeersOnly) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        for (const Link cut : {Link::drop, Link::hold}) {
            World w(seeded(seed));
            w.run(3);
            w.submit(w.job(id_of(1), 16, 1, 500));
            w.submit(w.job(id_of(2), 8, 1, 50));
            ASSERT_TRUE(w.run_until(
                [&] { return w.on_machines(id_of(1)) == 16 && w.on_machines(id_of(2)) == 8; }, 60));
            for (const char* o : {"state", "n1", "n2"}) w.link("n0", o, cut);
            w.copies = 0.3;
            w.copy_s = 20;
            w.run(1);
            w.cancel(id_of(1), 1);
            ASSERT_TRUE(w.run_until([&] { return w.told(id_of(1)) == "withdrawn"; }, 8));
            w.run(40);
            EXPECT_EQ(w.on_machines(id_of(1)), 0);
            for (const char* o : {"state", "n1", "n2"}) w.link("n0", o, Link::up);
            w.copies = 0;
            w.run(22);
            expect_recovery(w, {id_of(1), id_of(2)});
        }
}

// Commits get no answer and are carried out late, after newer ones of the same controller, while controllers
// restart.
class LateWrites : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(LateWrites, ChangeNothingThatCameAfter) {
    World w(seeded(GetParam()));
    w.run(3);
    std::vector<std::string> ids;
    w.late_writes = 0.3;
    for (int i = 0; i < 12; ++i) {
        auto more = submit_some(w, 10 * i, 2, 4, 5);
        more.push_back(id_of(10 * i + 5));
        w.submit(w.job(more.back(), 5, 1, 6, "blue"));
        ids.insert(ids.end(), more.begin(), more.end());
        if (i % 4 == 1 && w.accepted(ids[ids.size() - 3])) w.cancel(ids[ids.size() - 3]);
        if (i % 5 == 3) {
            w.crash(i % 3);
            w.run(0.3);
            w.start_node(i % 3);
        }
        for (const auto& id : ids)
            if (w.accepted(id)) w.poll(id);
        w.run(5);
    }
    w.late_writes = 0;
    w.run(14);
    expect_recovery(w, ids);
    // No room of the limited team leaked, whoever starts its next task.
    w.run(3);
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(w.node(n).state_cache().quota_usage(zincdyke::TeamName("blue")).cpu, 0) << n;
}
INSTANTIATE_TEST_SUITE_P(Seeds, LateWrites, ::testing::Range<std::uint64_t>(1, 7));

// A cancellation, a question and a repeated submission meet the end of the last task, at one moment after
// another.
TEST(Meeting, CancelledAtTheEnd) {
    for (int moment = 0; moment < 40; ++moment) {
        World w(seeded(static_cast<std::uint64_t>(moment)));
        w.run(3);
        const Json j = w.job(id_of(1), 2, 1, 6);
        w.submit(j);
        ASSERT_TRUE(w.run_until([&] { return w.on_machines(id_of(1)) == 2; }, 60));
        w.run(6 - 2.2 + 0.03 * moment);  // a cancellation is sent 2 s later
        w.cancel(id_of(1));
        w.at(2, [&w, j] { w.submit(j); });
        w.at(2.01, [&w] { w.poll(id_of(1)); });
        w.run(4);
        EXPECT_TRUE(told_all(w, {id_of(1)}, 20));
        const std::string end = w.told(id_of(1));
        for (int i = 0; i < 4; ++i) {
            w.poll(id_of(1));
            w.run(2);
            EXPECT_EQ(w.told(id_of(1)), end);
        }
        expect_rules(w);
    }
}

// A team at its limit when owners change, some of its machines can't be asked, and a cancellation falls into
// that spell: the limit holds, and its room is neither lost nor given away.
TEST(Meeting, TeamAtItsLimit) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World w(seeded(seed));
        w.run(3);
        w.submit(w.job(id_of(1), 12, 1, 500, "blue"));
        ASSERT_TRUE(w.run_until([&] { return w.on_machines(id_of(1)) == 12; }, 60));
        w.submit(w.job(id_of(2), 12, 1, 8, "blue"));
        w.run(3);
        std::vector<std::string> cut;
        for (auto& [id, m] : w.workers())
            if (cut.size() < 2 && w.placed_on(id) > 0) cut.push_back(id);
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n) w.link(id, w.name(n), seed % 2 == 0 ? Link::hold : Link::drop);
        w.crash(0);
        w.crash(1);
        w.run(1);
        w.cancel(id_of(1), 2);
        w.run(5);
        w.start_node(0);
        w.start_node(1);
        w.run(20);
        for (const auto& id : cut)
            for (int n = 0; n < 3; ++n) w.link(id, w.name(n), Link::up);
        w.run(3);
        expect_recovery(w, {id_of(1), id_of(2)}, 90);
    }
}

// The world itself notices a job that waits beside room: here because no controller is left to start it.
TEST(Meeting, WaitingBesideRoomIsNoticed) {
    World w;
    w.run(3);
    EXPECT_TRUE(told_all(w, submit_some(w, 1, 1, 8, 4), 60));
    w.submit(w.job(id_of(2), 1, 1, 5));
    ASSERT_TRUE(w.run_until([&] { return w.accepted(id_of(2)); }, 5));
    for (int n = 0; n < 3; ++n) w.crash(n);
    for (auto& [id, m] : w.workers()) m.tasks.clear();
    w.checker.troubles_over = w.now();
    w.run(80);
    EXPECT_TRUE(w.checker.broken.empty());
    w.run(20);
    ASSERT_FALSE(w.checker.broken.empty());
    EXPECT_EQ(w.checker.broken[0].rfind("waited: " + id_of(2), 0), 0U) << w.checker.broken[0];
}

// Two troubles at a time, the second within the first or just after it, by seed.
class Pairs : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(Pairs, RulesHold) {
    World w(seeded(GetParam(), {"a", "b"}));
    w.run(3);
    std::vector<std::string> ids;
    auto pick = [&](int n) { return static_cast<int>(w.rng() % static_cast<std::uint64_t>(n)); };
    auto work = [&](int first) {
        for (int i = 0; i < 3; ++i) {
            ids.push_back(id_of(first + i));
            Json j = w.job(ids.back(), 1 + pick(8), 1 + pick(2), 4 + pick(30), pick(2) == 0 ? "red" : "blue");
            if (pick(3) == 0) {
                j["shape"] = "group";
                j["shards"] = 1 + pick(3);
            }
            j["one_zone"] = pick(3) == 0;
            w.submit(j);
        }
    };
    auto trouble = [&](double s) {
        const int n = pick(3);
        const std::string name = w.name(n);
        std::vector<std::string> some;
        for (auto& [id, m] : w.workers())
            if (m.alive && pick(3) == 0) some.push_back(id);
        const Link cut = pick(2) == 0 ? Link::hold : Link::drop;
        auto links = [&w](const std::vector<std::string>& a, const std::vector<std::string>& b, Link l) {
            for (const auto& x : a)
                for (const auto& y : b)
                    if (x != y) w.link(x, y, l);
        };
        const std::vector<std::string> nodes{"n0", "n1", "n2"};
        switch (pick(15)) {
            case 0:
                w.store.refused.insert(name);
                w.at(s, [&w, name] { w.store.refused.erase(name); });
                break;
            case 1:
                w.store.outage = true;
                w.at(s, [&w] { w.store.outage = false; });
                break;
            case 2:
                w.crash(n);
                w.at(pick(2) == 0 ? 0.2 : s, [&w, n] { w.start_node(n); });
                break;
            case 3:
                for (int k = 0; k < 3; ++k) {
                    w.crash(k);
                    w.at(pick(2) == 0 ? 0.3 : s, [&w, k] { w.start_node(k); });
                }
                break;
            case 4:
                for (const auto& id : some) w.hang(id, s * w.chance());
                break;
            case 5:
                links(some, nodes, cut);
                w.at(s, [links, some, nodes] { links(some, nodes, Link::up); });
                break;
            case 6:
                links({name}, {"state", "n0", "n1", "n2"}, cut);
                w.at(s, [links, name] { links({name}, {"state", "n0", "n1", "n2"}, Link::up); });
                break;
            case 7:
                for (const auto& id : some) w.deaf.insert(id);
                w.at(s, [&w] { w.deaf.clear(); });
                break;
            case 8:
                for (const auto& id : some) w.mute.insert(id);
                w.at(s, [&w] { w.mute.clear(); });
                break;
            case 9:
                w.late_writes = 0.4;
                w.at(s, [&w] { w.late_writes = 0; });
                break;
            case 10:
                w.copies = 0.5;
                w.at(s, [&w] { w.copies = 0; });
                break;
            case 11:
                w.lost_answers = 0.4;
                w.at(s, [&w] { w.lost_answers = 0; });
                break;
            case 12:
                w.late_commands = w.late_command_answers = 0.5;
                w.at(s, [&w] { w.late_commands = w.late_command_answers = 0; });
                break;
            case 13:
                w.copies_for_next = 0.5;
                w.at(s, [&w] { w.copies_for_next = 0; });
                break;
            default:
                w.freeze(n, s);
        }
    };
    for (int pair = 0; pair < 4; ++pair) {
        work(20 * pair);
        w.run(8);
        const double first = 4 + 36 * w.chance();
        trouble(first);
        for (const auto& id : ids)
            if (w.accepted(id) && pick(5) == 0) w.cancel(id);
        w.run(pick(2) == 0 ? first * w.chance() : first + w.chance());
        work(20 * pair + 10);
        trouble(4 + 36 * w.chance());
        for (int i = 0; i < 14; ++i) {
            for (const auto& id : ids)
                if (w.accepted(id)) w.poll(id);
            w.run(3);
        }
    }
    // The last copy of a report comes 40 s after it.
    w.run(50);
    expect_recovery(w, ids, 300);
}
std::uint64_t pair_seeds() {
    const char* n = std::getenv("ZINCDYKE_SEEDS");
    return n != nullptr ? std::stoull(n) : 16;
}
INSTANTIATE_TEST_SUITE_P(Seeds, Pairs, ::testing::Range<std::uint64_t>(500, 500 + pair_seeds()));

}  // namespace
}  // namespace zincdyke::testing
