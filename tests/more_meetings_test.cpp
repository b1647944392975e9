// Further meetings of two troubles, as the operators have named them, each brought about: see
// meetings_test.cpp for the others.
#include <gtest/gtest.h>

#include <algorithm>

#include "story.h"

namespace zincdyke::testing {
namespace {

const char* const both_teams_limited =
    "[[params.teams]]\nname = \"red\"\ncpus = 0\ncpus_max = 12\ngpus = 0\ngpus_max = 0\n"
    "[[params.teams]]\nname = \"blue\"\ncpus = 0\ncpus_max = 12\ngpus = 0\ngpus_max = 0\n";

// Users who ask all controllers, again and again within milliseconds. What any controller had told them when
// a question was sent is the least that its answer may say.
class CloseLooks {
  public:
    explicit CloseLooks(World& w) : w_(w) {}
    void ask_all(const std::string& id) {
        for (int n = 0; n < w_.nodes(); ++n) send(n, id, {"GET", "/api/jobs/" + id, ""});
    }
    void submit_again(int n, const Json& body) {
        send(n, body["uid"].get<std::string>(), {"POST", "/api/jobs", body.dump()});
    }
    // Looks closely at these jobs for `for_s`: at each for a second after anything about it changed, and from
    // the end of its last task until it is told.
    void watch(const std::vector<Json>& jobs, double for_s) {
        const double end = w_.now() + for_s;
        for (int step = 0; w_.now() < end; ++step) {
            for (const auto& body : jobs) {
                const std::string id = body["uid"].get<std::string>();
                if (!changed_lately(id)) continue;
                ask_all(id);
                if (step % 10 == 0) submit_again(step / 10 % w_.nodes(), body);
            }
            w_.run(0.02);
        }
    }
    std::string newest(const std::string& id) {
        std::string by_world = w_.told(id);
        if (by_world == "done" || by_world == "withdrawn") return by_world;
        if (const auto known = told_.find(id); known != told_.end()) return known->second;
        return w_.accepted(id) ? "accepted" : "";
    }
    int answered = 0, put_off = 0;  // by 200 and 201; and by any status that asks to come back
    double longest_lag = 0;         // from the end of a job's last task until any node told it

  private:
    void send(int n, const std::string& id, const HttpRequest& request) {
        const std::string name = w_.name(n), known = newest(id);
        w_.send("users", name, [this, n, name, id, request, known] {
            if (!w_.up(n)) return;
            w_.node(n).on_request(request, [this, name, id, known](const HttpResponse& r) {
                w_.send(name, "users", [this, name, id, known, r] { judge(name, id, known, r); });
            });
        });
    }
    void judge(const std::string& name, const std::string& id, const std::string& known,
               const HttpResponse& r) {
        const std::string what =
            id + " at " + name + ", known as '" + known + "': " + std::to_string(r.status) + " " + r.body;
        if (r.status >= 429) {
            ++put_off;
            return;
        }
        if (r.status != 200 && r.status != 201) {
            EXPECT_TRUE(known.empty()) << what;
            return;
        }
        ++answered;
        const std::string phase = Json::parse(r.body).value("phase", "");
        const bool over = phase == "done" || phase == "withdrawn";
        EXPECT_TRUE((known != "done" && known != "withdrawn") || phase == known) << what;
        EXPECT_TRUE(phase != "done" || w_.checker.all_done(id)) << what;
        auto& told = told_[id];
        if (told != "done" && told != "withdrawn") told = over ? phase : "accepted";
    }
    bool changed_lately(const std::string& id) {
        Sight& sight = sights_[id];
        const std::string now = newest(id) + std::to_string(w_.checker.done_tasks(id));
        if (sight.what != now) sight = {now, w_.now()};
        const bool ended = w_.accepted(id) && w_.checker.all_done(id) && newest(id) == "accepted";
        if (ended) longest_lag = std::max(longest_lag, w_.now() - sight.since);
        return w_.accepted(id) && (ended || w_.now() - sight.since < 1);
    }
    struct Sight {
        std::string what;
        double since = 0;
    };
    World& w_;
    std::map<std::string, std::string> told_;  // "accepted" or a final state
    std::map<std::string, Sight> sights_;
};

// The first controller from `from` on that is up.
int any_up(World& w, int from = 0) {
    while (!w.up(from % w.nodes())) ++from;
    return from % w.nodes();
}

int supplier_of(World& w) {
    const std::string name = w.node(any_up(w)).state_cache().autoscaler_leader().value();
    for (int n = 0; n < w.nodes(); ++n)
        if (w.name(n) == name) return n;
    return -1;
}

int leader_of(World& w, const std::string& machine) {
    for (int n = 0; n < w.nodes(); ++n)
        if (w.up(n) && w.node(n).cluster().leader_term(zincdyke::MachineId(machine))) return n;
    return -1;
}

// Tasks of these jobs that are on these machines.
int tasks_on(World& w, const std::vector<std::string>& machines, const std::set<std::string>& jobs) {
    int n = 0;
    for (const auto& id : machines) {
        const auto found = w.workers().find(id);
        if (found == w.workers().end()) continue;
        for (const auto& [key, t] : found->second.tasks)
            n += jobs.contains(t.job) && t.phase != "ended" ? 1 : 0;
    }
    return n;
}

void poll_all(World& w, const std::vector<std::string>& ids) {
    for (const auto& id : ids)
        if (w.accepted(id)) w.poll(id);
}

// No room of a limited team leaked, whoever starts its next task.
void expect_no_room_taken(World& w, const std::vector<std::string>& teams) {
    w.run(3);
    for (int n = 0; n < w.nodes(); ++n)
        for (const auto& team : teams)
            EXPECT_EQ(w.node(n).state_cache().quota_usage(zincdyke::TeamName(team)).cpu, 0)
                << team << " at " << n;
}

void link_all(World& w, const std::string& node, const std::vector<std::string>& machines, Link l) {
    for (const auto& id : machines) w.link(node, id, l);
}

std::vector<std::string> machines_of(World& w) {
    std::vector<std::string> out;
    for (const auto& [id, m] : w.workers()) out.push_back(id);
    return out;
}

// New machines are up within two seconds and get work at once, while commits lag or come without an answer,
// and the supplier or the newest machine's owner ends: starts go on, and next to no task is lost.
TEST(MeetingsOfTroubles, NewMachinesWhileWritesLagAndTheLeaderEnds) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World::Options o = seeded(seed);
        o.boot_s = 1.3;  // 0.8 to 2.1 s
        World w(o);
        w.run(3);
        std::vector<std::string> ids;
        w.late_writes = 0.2;
        w.store_delay = 0.6;
        for (int round = 0; round < 6; ++round) {
            for (int i = 0; i < 2; ++i) {
                ids.push_back(id_of(10 * round + i));
                w.submit(w.job(ids.back(), 3, 4, 60));  // a machine for each task
            }
            const int rented = w.rented;
            EXPECT_TRUE(w.run_until([&] { return w.rented > rented; }, 20)) << seed << " round " << round;
            w.run(0.4 * round);
            const int ends = round % 2 == 0 ? supplier_of(w) : leader_of(w, w.workers().rbegin()->first);
            const int before = w.checker.starts;
            if (ends >= 0) w.crash(ends);
            EXPECT_TRUE(w.run_until([&] { return w.checker.starts > before; }, 25))
                << seed << " round " << round;
            poll_all(w, ids);
            w.run(round % 3 == 0 ? 0.3 : 5);
            if (ends >= 0) w.start_node(ends);
            w.run(3);
        }
        w.late_writes = 0;
        w.store_delay = 0;
        w.run(14);
        expect_recovery(w, ids);
        // Where the commits of a takeover are held themselves, it may come too late for a lease.
        EXPECT_LE(w.checker.starts, 36 + 6) << seed;
    }
}

// Jobs are cancelled in the seconds in which one controller's work changes hands, because it ends or because
// it hears no worker any more: tasks are gone in time, and none of them starts once the orders under way are
// through.
TEST(MeetingsOfTroubles, CancelledWhileWorkChangesHands) {
    for (int moment = 0; moment < 12; ++moment)
        for (const bool ends : {true, false}) {
            World w(seeded(static_cast<std::uint64_t>(moment) + 1));
            w.run(3);
            // Some run, others are started all the time.
            const std::string runs = id_of(1), starts = id_of(2), stays = id_of(3);
            w.submit(w.job(runs, 16, 1, 500));
            w.submit(w.job(stays, 6, 1, 40));
            ASSERT_TRUE(w.run_until([&] { return w.on_machines(runs) == 16; }, 60));
            w.submit(w.job(starts, 100, 1, 1.5));
            w.run(3);
            const auto machines = machines_of(w);
            std::vector<std::string> of_others;
            for (const auto& id : machines)
                if (leader_of(w, id) != 0) of_others.push_back(id);
            if (ends)
                w.crash(0);
            else
                link_all(w, "n0", machines, Link::drop);
            // A cancellation is sent 2 s later.
            w.run(0.6 * moment);
            w.cancel(runs, 1);
            w.cancel(starts, 2);
            ASSERT_TRUE(w.run_until(
                [&] { return w.told(runs) == "withdrawn" && w.told(starts) == "withdrawn"; }, 15));
            // The others' machines are told at once, not with their next report.
            w.run(0.4);
            EXPECT_EQ(tasks_on(w, of_others, {runs, starts}), 0) << moment << " " << ends;
            EXPECT_TRUE(w.run_until([&] { return w.on_machines(runs) + w.on_machines(starts) == 0; }, 14))
                << moment << " " << ends;
            if (ends)
                w.start_node(0);
            else
                link_all(w, "n0", machines, Link::up);
            w.run(12);
            EXPECT_LT(w.checker.latest_cancelled_start, 1.5) << moment << " " << ends;
            expect_recovery(w, {runs, starts, stays}, 100);
        }
}

// Commits are carried out at once and only their answers are lost, while users read at all nodes what they
// wrote: nothing is accepted, started, ended or cancelled twice, and no node answers anything older.
TEST(MeetingsOfTroubles, OnlyTheAnswerIsLost) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World w(seeded(seed));
        w.run(3);
        CloseLooks looks(w);
        std::vector<Json> jobs;
        std::vector<std::string> ids;
        w.lost_answers = 0.3;
        for (int i = 0; i < 8; ++i) {
            jobs.push_back(w.job(id_of(i), 3, 1, 4, i % 2 == 0 ? "red" : "blue"));
            ids.push_back(id_of(i));
            w.submit(jobs.back());
            looks.watch(jobs, 2);
            if (i % 4 == 2 && w.accepted(ids.back())) w.cancel(ids.back());
            looks.watch(jobs, 3);
        }
        looks.watch(jobs, 12);
        w.lost_answers = 0;
        EXPECT_GT(looks.answered, 500);
        expect_recovery(w, ids, 60);
        EXPECT_LE(w.checker.starts, 24) << seed;
        expect_no_room_taken(w, {"blue"});
    }
}

// Users ask at all nodes within milliseconds, and repeat the submission, right after a job was accepted,
// ended or confirmed as cancelled; some cancel at once. Also while the state service is slow.
TEST(MeetingsOfTroubles, NoNodeAnswersAnythingOlder) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World w(seeded(seed));
        w.run(3);
        w.store_delay = seed % 2 == 0 ? 0.3 : 0;
        CloseLooks looks(w);
        std::vector<Json> jobs;
        std::vector<std::string> ids;
        for (int i = 0; i < 10; ++i) {
            jobs.push_back(w.job(id_of(i), 1 + i % 3, 1, 2 + i % 4));
            ids.push_back(id_of(i));
            w.submit(jobs.back());
            looks.watch(jobs, 0.8);
            if (i % 3 == 1 && w.accepted(ids.back())) w.cancel(ids.back());
            looks.watch(jobs, 0.7);
        }
        looks.watch(jobs, 25);
        EXPECT_GT(looks.answered, 2000);
        EXPECT_LT(looks.put_off, looks.answered / 4) << seed;
        EXPECT_LT(looks.longest_lag, 3) << seed;
        // Each was told its end by the looks alone.
        for (const auto& id : ids)
            EXPECT_TRUE(looks.newest(id) == "done" || looks.newest(id) == "withdrawn") << id;
        expect_recovery(w, ids, 20);
    }
}

// Direct commands are held up for 2 to 16 s and then carried out, others' answers come late, and machines
// hang with commands on their way and go on; controllers change and jobs are cancelled meanwhile.
TEST(MeetingsOfTroubles, CommandsAndTheirAnswersHeldUp) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World w(seeded(seed));
        w.run(3);
        std::vector<std::string> ids{id_of(1)};
        w.submit(w.job(id_of(1), 12, 1, 90));
        ASSERT_TRUE(w.run_until([&] { return w.on_machines(id_of(1)) == 12; }, 60));
        w.late_commands = 0.5;
        w.late_command_answers = 0.5;
        for (int round = 0; round < 6; ++round) {
            ids.push_back(id_of(10 + round));
            w.submit(w.job(ids.back(), 8, 1, 20));
            ASSERT_TRUE(w.run_until([&] { return w.on_machines(ids.back()) > 0; }, 40));
            w.cancel(ids.back());
            w.run(1.9);
            std::size_t i = 0;
            for (const auto& id : machines_of(w))
                if (++i % 3 == seed % 3) w.hang(id, 1 + 4 * w.chance());
            const int n = round % 3;
            w.crash(n);
            w.run(round % 2 == 0 ? 0.3 : 5.5);
            w.start_node(n);
            poll_all(w, ids);
            w.run(3);
        }
        w.late_commands = w.late_command_answers = 0;
        w.run(20);
        expect_recovery(w, ids, 120);
        // No machine hung for a lease: the long tasks ran on.
        EXPECT_EQ(w.checker.starts_of(id_of(1)), 12) << seed;
    }
}

// Tasks are stopped for gangs that wait, by direct commands of which most are held up until the same task is
// back under another attempt: what comes late stops nothing that was started since.
TEST(MeetingsOfTroubles, StoppedByCommandsHeldUp) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World::Options o = seeded(seed);
        o.capacity = 6;
        World w(o);
        for (int m = 0; m < 6; ++m) w.add_machine("small", "a", false, 0.1);
        w.run(3);
        Json low = w.job(id_of(1), 24, 1, 60);
        low["rank"] = "best_effort";
        low["mark_every_s"] = 4.0;
        low["stow_s"] = 1.0;
        w.submit(low);
        ASSERT_TRUE(w.run_until([&] { return w.on_machines(id_of(1)) == 24; }, 30));
        w.late_commands = 0.8;
        std::vector<std::string> ids{id_of(1)};
        for (int round = 0; round < 3; ++round) {
            ids.push_back(id_of(2 + round));
            Json gang = w.job(ids.back(), 3, 4, 5);
            gang["shape"] = "group";
            gang["rank"] = "critical";
            w.submit(gang);
            EXPECT_TRUE(w.run_until([&] { return w.on_machines(ids.back()) == 3; }, 40)) << seed;
            if (round == 1) {
                const int ends = supplier_of(w);
                w.crash(ends);
                w.run(0.3);
                w.start_node(ends);
            }
        }
        w.run(18);
        w.late_commands = 0;
        expect_recovery(w, ids, 200);
        // Three machines of four tasks each are cleared for each gang.
        EXPECT_GT(w.checker.starts_of(id_of(1)), 24) << seed;
        EXPECT_LE(w.checker.starts_of(id_of(1)), 24 + 3 * 12) << seed;
    }
}

// Every team is at its limit while jobs are cancelled whose machines are cut off or hang, and owners and
// supplier change: the limits hold, what waited follows, and no room of a team is lost.
TEST(MeetingsOfTroubles, AllTeamsAtTheirLimits) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World::Options o = seeded(seed);
        o.teams = both_teams_limited;
        World w(o);
        w.run(3);
        const std::vector<std::string> first{id_of(1), id_of(2)}, next{id_of(3), id_of(4)};
        for (std::size_t t = 0; t < 2; ++t) w.submit(w.job(first[t], 12, 1, 500, t == 0 ? "red" : "blue"));
        ASSERT_TRUE(
            w.run_until([&] { return w.on_machines(first[0]) == 12 && w.on_machines(first[1]) == 12; }, 60));
        for (std::size_t t = 0; t < 2; ++t) w.submit(w.job(next[t], 14, 1, 8, t == 0 ? "red" : "blue"));
        w.run(3);
        EXPECT_EQ(w.checker.starts, 24);
        std::vector<std::string> cut;
        int i = 0;
        for (const auto& id : machines_of(w)) {
            if (w.placed_on(id) == 0) continue;
            if (++i % 3 == 0) cut.push_back(id);
            if (i % 3 == 1) w.hang(id, 4 + 20 * w.chance());
        }
        for (int n = 0; n < 3; ++n) link_all(w, w.name(n), cut, seed % 2 == 0 ? Link::hold : Link::drop);
        for (const auto& id : first) w.cancel(id, 2);
        w.run(1.5);
        w.crash(0);
        w.crash(1);
        ASSERT_TRUE(w.run_until(
            [&] { return w.told(first[0]) == "withdrawn" && w.told(first[1]) == "withdrawn"; }, 10));
        w.run(4);
        w.start_node(0);
        w.start_node(1);
        // Room of tasks whose machines answer, or whose leases are over, is used again, the cut still
        // lasting.
        EXPECT_TRUE(
            w.run_until([&] { return w.on_machines(next[0]) > 0 && w.on_machines(next[1]) > 0; }, 25));
        w.run(10);
        for (int n = 0; n < 3; ++n) link_all(w, w.name(n), cut, Link::up);
        w.run(3);
        expect_recovery(w, {first[0], first[1], next[0], next[1]}, 90);
        expect_no_room_taken(w, {"red", "blue"});
    }
}

// A controller hands its part over, because it hears no worker, and takes it back; then all end, and one
// alone returns within a second: no running task is lost, and the one serves all.
TEST(MeetingsOfTroubles, HandedOverAndBackThenOneReturnsAlone) {
    for (int back = 0; back < 3; ++back)
        for (const double away : {0.3, 0.9}) {
            World w(seeded(static_cast<std::uint64_t>(back) + 1));
            w.run(3);
            const std::string runs = id_of(1), more = id_of(2);
            w.submit(w.job(runs, 40, 1, 200));
            ASSERT_TRUE(w.run_until([&] { return w.on_machines(runs) == 40; }, 60));
            const auto machines = machines_of(w);
            auto owns_some = [&](int n) {
                return std::any_of(machines.begin(), machines.end(),
                                   [&](const auto& id) { return leader_of(w, id) == n; });
            };
            link_all(w, "n0", machines, Link::drop);
            EXPECT_TRUE(w.run_until([&] { return !owns_some(0); }, 15));
            link_all(w, "n0", machines, Link::up);
            EXPECT_TRUE(w.run_until([&] { return owns_some(0); }, 40));
            for (int n = 0; n < 3; ++n) w.crash(n);
            w.run(away);
            w.start_node(back);
            w.submit(w.job(more, 4, 1, 10), back);
            EXPECT_TRUE(w.run_until([&] { return w.on_machines(more) == 4; }, 20));
            EXPECT_EQ(w.on_machines(runs), 40);
            w.run(15);
            for (int n = 0; n < 3; ++n) w.start_node(n);
            expect_recovery(w, {runs, more}, 220);
            EXPECT_EQ(w.checker.starts, 44);
        }
}

// Reports are held back until a new owner has acted, and then arrive there: they end, revive and start
// nothing, and free no room of a team at its limit whose cancelled tasks are on machines that hang.
TEST(MeetingsOfTroubles, ReportsKeptForTheNextOwner) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        World w(seeded(seed));
        w.copies_for_next = 0.4;
        w.run(3);
        std::vector<std::string> ids{id_of(1)};
        w.submit(w.job(id_of(1), 12, 1, 200));
        for (int round = 0; round < 6; ++round) {
            const std::string limited = id_of(10 + round);
            ids.push_back(limited);
            w.submit(w.job(limited, 12, 1, 300, "blue"));
            ASSERT_TRUE(w.run_until([&] { return w.on_machines(limited) == 12; }, 60)) << seed << round;
            w.run(2);
            w.cancel(limited);
            w.run(1.95);
            std::size_t i = 0;
            for (const auto& id : machines_of(w))
                if (++i % 2 == seed % 2) w.hang(id, 3 + 3 * w.chance());
            const int n = round % 3;
            w.crash(n);
            w.run(round % 2 == 0 ? 0.3 : 5);
            w.start_node(n);
            poll_all(w, ids);
        }
        w.run(10);
        w.copies_for_next = 0;
        expect_recovery(w, ids, 220);
        EXPECT_EQ(w.checker.starts_of(id_of(1)), 12) << seed;
    }
}

// One-task jobs come four a second for minutes, a quarter of them cancelled, within the budgets of the state
// service and the cloud: each is served soon, and none is forgotten.
TEST(MeetingsOfTroubles, OneTaskJobsFourASecond) {
    World::Options o = seeded(1);
    o.budgets = true;
    World w(o);
    // Enough of them, or the wait would be that for machines.
    for (int m = 0; m < 8; ++m) w.add_machine("small", "a", false, 0.1);
    w.run(3);
    const int jobs = 4 * 150;
    std::vector<std::string> ids;
    std::map<std::string, double> sent;
    double slowest = 0;
    auto note_ends = [&] {
        for (auto it = sent.begin(); it != sent.end();) {
            const std::string told = w.told(it->first);
            if (told == "done" || told == "withdrawn") {
                slowest = std::max(slowest, w.now() - it->second);
                it = sent.erase(it);
            } else {
                ++it;
            }
        }
    };
    for (int i = 0; i < jobs; ++i) {
        ids.push_back(id_of(i));
        sent[ids.back()] = w.now();
        w.submit(w.job(ids.back(), 1, 1, 2 + i % 5, i % 3 == 0 ? "blue" : "red"));
        if (i % 4 == 3) {
            // Some before they begin, some as they end.
            const double delay = 0.2 + 5 * w.chance();
            w.at(delay, [&w, id = ids.back()] {
                if (w.accepted(id) && w.told(id) != "done") w.cancel(id);
            });
        }
        for (int k = i % 20; k < i; k += 20)
            if (sent.contains(id_of(k)) && w.accepted(id_of(k))) w.poll(id_of(k));
        w.run(0.25);
        note_ends();
    }
    w.run(10);
    EXPECT_LT(slowest, 20);
    EXPECT_LT(sent.size(), 40U);
    expect_recovery(w, ids, 60);
    int cancelled = 0;
    for (const auto& id : ids) cancelled += w.told(id) == "withdrawn" ? 1 : 0;
    EXPECT_GT(cancelled, jobs / 10);
    EXPECT_LT(w.checker.latest_cancelled_start, 3);
}

// Requests that must be refused, and repeats of unfinished jobs that must not be.
struct OddRequests {
    World& w;
    std::vector<Json> never, lacking, unfinished;
    std::map<int, int> seen;  // answers by status
    explicit OddRequests(World& world) : w(world) {
        Json j = w.job(id_of(900), 2);
        j["crew"] = "nobody";
        never.push_back(j);
        never.push_back(w.job(id_of(901), 2, 64));
        j = w.job(id_of(902), 13, 1, 5, "blue");  // more than the team's limit at one time
        j["shape"] = "group";
        never.push_back(j);
        j = w.job(id_of(903), 2);
        j["breeds"] = {"small"};
        j["gpus"] = 1.0;
        never.push_back(j);
        int next = 910;
        for (const char* field : {"uid", "crew", "shards", "vcpus", "shape", "cask"}) {
            j = w.job(id_of(next++), 2);
            j.erase(field);
            lacking.push_back(j);
        }
    }
    void ask(const Json& body, int expected) {
        for (int n = 0; n < w.nodes(); ++n) {
            if (!w.up(n)) continue;
            w.node(n).on_request(
                {"POST", "/api/jobs", body.dump()}, [this, expected, body](const HttpResponse& r) {
                    ++seen[r.status];
                    EXPECT_TRUE(r.status == expected || r.status >= 429) << r.status << " " << body.dump();
                });
        }
    }
    void ask_all() {
        for (const auto& body : never) ask(body, 422);
        for (const auto& body : lacking) ask(body, 400);
        for (const auto& body : unfinished) ask(body, 200);
    }
};

// Jobs that can never run, lack a field, or are repeated while unfinished, beside an outage, a cloud that is
// away while controllers restart, a crash of all, and a cut between controllers: each gets its own answer or
// is told to come back, and what was refused leaves nothing behind.
TEST(MeetingsOfTroubles, OddRequestsBesideOtherTroubles) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        World w(seeded(seed));
        w.run(4);
        OddRequests odd(w);
        for (int i = 1; i <= 2; ++i) {
            odd.unfinished.push_back(w.job(id_of(i), 6, 1, 500, i == 1 ? "red" : "blue"));
            w.submit(odd.unfinished.back());
            // Known, it is not judged anew: its team may have gone from the settings since.
            odd.unfinished.push_back(odd.unfinished.back());
            odd.unfinished.back()["crew"] = "nobody";
        }
        ASSERT_TRUE(w.run_until([&] { return w.on_machines(id_of(1)) + w.on_machines(id_of(2)) == 12; }, 60));
        const std::vector<std::function<void(bool)>> troubles{[&](bool on) { w.store.outage = on; },
                                                              [&](bool on) {
                                                                  w.cloud_down = on;
                                                                  for (int n = 0; n < 3 && on; ++n)
                                                                      w.crash(n);
                                                                  for (int n = 0; n < 3 && on; ++n)
                                                                      w.start_node(n);
                                                              },
                                                              [&](bool on) {
                                                                  for (int n = 0; n < 3; ++n)
                                                                      on ? w.crash(n) : w.start_node(n);
                                                              },
                                                              [&](bool on) {
                                                                  for (const char* other : {"n1", "n2"})
                                                                      w.link("n0", other,
                                                                             on ? Link::drop : Link::up);
                                                              },
                                                              [&](bool on) {
                                                                  if (on)
                                                                      w.store.refused.insert("n1");
                                                                  else
                                                                      w.store.refused.clear();
                                                              }};
        for (const auto& trouble : troubles) {
            trouble(true);
            for (int i = 0; i < 12; ++i) {
                w.run(0.5);
                odd.ask_all();
            }
            trouble(false);
            for (int i = 0; i < 6; ++i) {
                w.run(0.5);
                odd.ask_all();
            }
        }
        w.run(5);
        for (const int status : {200, 400, 422}) EXPECT_GT(odd.seen[status], 100) << status;
        EXPECT_EQ(odd.seen[201], 0);
        EXPECT_EQ(w.checker.starts, 12);
        for (const auto* refused : {&odd.never, &odd.lacking})
            for (const auto& body : *refused) {
                const std::string id = body.value("uid", "");
                EXPECT_FALSE(w.store.data.contains("z/j/" + id) || w.store.data.contains("f/" + id)) << id;
            }
        for (int i = 1; i <= 2; ++i) w.cancel(id_of(i));
        expect_recovery(w, {id_of(1), id_of(2)}, 30);
    }
}

}  // namespace
}  // namespace zincdyke::testing
