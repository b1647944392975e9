// Further meetings of two troubles, as the operators have named them, each brought about: see
// meetings_test.cpp for the others.
#include <gtest/gtest.h>

#include <algorithm>

#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

const char* const both_teams_limited =
    "[[params.teams]]\nname = \"red\"\ncpus = 0\ncpus_max = 12\ngpus = 0\ngpus_max = 0\n"
    "[[params.teams]]\nname = \"blue\"\ncpus = 0\ncpus_max = 12\ngpus = 0\ngpus_max = 0\n";

// Users who ask all controllers, again and again within milliseconds. What any controller had told them when
// a question was sent is the least that its answer may say.
class CloseLooks {
  public:
    explicit CloseLooks(SimulatedDeployment& deployment) : deployment_(deployment) {}
    void ask_all(const std::string& id) {
        for (int n = 0; n < deployment_.controller_count(); ++n) send(n, id, {"GET", "/api/jobs/" + id, ""});
    }
    void submit_again(int n, const Json& body) {
        send(n, body["uid"].get<std::string>(), {"POST", "/api/jobs", body.dump()});
    }
    // Looks closely at these jobs for `for_s`: at each for a second after anything about it changed, and from
    // the end of its last task until it is told.
    void watch(const std::vector<Json>& jobs, double for_s) {
        const double end = deployment_.now() + for_s;
        for (int step = 0; deployment_.now() < end; ++step) {
            for (const auto& body : jobs) {
                const std::string id = body["uid"].get<std::string>();
                if (!changed_lately(id)) continue;
                ask_all(id);
                if (step % 10 == 0) submit_again(step / 10 % deployment_.controller_count(), body);
            }
            deployment_.run(0.02);
        }
    }
    std::string newest(const std::string& id) {
        const std::string by_world = deployment_.last_phase(id);
        if (by_world == "done" || by_world == "withdrawn") return by_world;
        if (const auto known = told_.find(id); known != told_.end()) return known->second;
        return deployment_.is_accepted(id) ? "accepted" : "";
    }
    int answered = 0, put_off = 0;  // by 200 and 201; and by any status that asks to come back
    double longest_lag = 0;         // from the end of a job's last task until any node told it

  private:
    void send(int n, const std::string& id, const HttpRequest& request) {
        const std::string name = deployment_.controller_name(n), known = newest(id);
        deployment_.network.send("users", name, [this, n, name, id, request, known] {
            if (!deployment_.is_running(n)) return;
            deployment_.controller(n).on_request(request, [this, name, id, known](const HttpResponse& r) {
                deployment_.network.send(name, "users",
                                         [this, name, id, known, r] { judge(name, id, known, r); });
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
        EXPECT_TRUE(phase != "done" || deployment_.checker.all_done(id)) << what;
        auto& told = told_[id];
        if (told != "done" && told != "withdrawn") told = over ? phase : "accepted";
    }
    bool changed_lately(const std::string& id) {
        Sight& sight = sights_[id];
        const std::string now = newest(id) + std::to_string(deployment_.checker.done_tasks(id));
        if (sight.what != now) sight = {now, deployment_.now()};
        const bool ended =
            deployment_.is_accepted(id) && deployment_.checker.all_done(id) && newest(id) == "accepted";
        if (ended) longest_lag = std::max(longest_lag, deployment_.now() - sight.since);
        return deployment_.is_accepted(id) && (ended || deployment_.now() - sight.since < 1);
    }
    struct Sight {
        std::string what;
        double since = 0;
    };
    SimulatedDeployment& deployment_;
    std::map<std::string, std::string> told_;  // "accepted" or a final state
    std::map<std::string, Sight> sights_;
};

// The first controller from `from` on that is up.
int any_up(SimulatedDeployment& deployment, int from = 0) {
    while (!deployment.is_running(from % deployment.controller_count())) ++from;
    return from % deployment.controller_count();
}

int supplier_of(SimulatedDeployment& deployment) {
    const std::string name =
        deployment.controller(any_up(deployment)).state_cache().autoscaler_leader().value();
    for (int n = 0; n < deployment.controller_count(); ++n)
        if (deployment.controller_name(n) == name) return n;
    return -1;
}

int leader_of(SimulatedDeployment& deployment, const std::string& machine) {
    for (int n = 0; n < deployment.controller_count(); ++n)
        if (deployment.is_running(n) &&
            deployment.controller(n).cluster().leader_term(zincdyke::MachineId(machine)))
            return n;
    return -1;
}

// Tasks of these jobs that are on these machines.
int tasks_on(SimulatedDeployment& deployment, const std::vector<std::string>& machines,
             const std::set<std::string>& jobs) {
    int n = 0;
    for (const auto& id : machines) {
        const auto found = deployment.workers.all().find(id);
        if (found == deployment.workers.all().end()) continue;
        for (const auto& [key, t] : found->second.tasks)
            n += jobs.contains(t.job) && t.phase != "ended" ? 1 : 0;
    }
    return n;
}

void poll_all(SimulatedDeployment& deployment, const std::vector<std::string>& ids) {
    for (const auto& id : ids)
        if (deployment.is_accepted(id)) deployment.poll(id);
}

// No room of a limited team leaked, whoever starts its next task.
void expect_no_room_taken(SimulatedDeployment& deployment, const std::vector<std::string>& teams) {
    deployment.run(3);
    for (int n = 0; n < deployment.controller_count(); ++n)
        for (const auto& team : teams)
            EXPECT_EQ(deployment.controller(n).state_cache().quota_usage(zincdyke::TeamName(team)).cpu, 0)
                << team << " at " << n;
}

void link_all(SimulatedDeployment& deployment, const std::string& node,
              const std::vector<std::string>& machines, LinkState l) {
    for (const auto& id : machines) deployment.set_link(node, id, l);
}

std::vector<std::string> machines_of(SimulatedDeployment& deployment) {
    std::vector<std::string> out;
    for (const auto& [id, m] : deployment.workers.all()) out.push_back(id);
    return out;
}

// New machines are up within two seconds and get work at once, while commits lag or come without an answer,
// and the supplier or the newest machine's owner ends: starts go on, and next to no task is lost.
TEST(MeetingsOfTroubles, NewMachinesWhileWritesLagAndTheLeaderEnds) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        DeploymentOptions o = options_with_seed(seed);
        o.boot_s = 1.3;  // 0.8 to 2.1 s
        SimulatedDeployment deployment(o);
        deployment.run(3);
        std::vector<std::string> ids;
        deployment.faults.late_commits = 0.2;
        deployment.faults.store_response_delay_s = 0.6;
        for (int round = 0; round < 6; ++round) {
            for (int i = 0; i < 2; ++i) {
                ids.push_back(job_id(10 * round + i));
                deployment.submit(deployment.job(ids.back(), 3, 4, 60));  // a machine for each task
            }
            const int rented = deployment.cloud.rented;
            EXPECT_TRUE(deployment.run_until([&] { return deployment.cloud.rented > rented; }, 20))
                << seed << " round " << round;
            deployment.run(0.4 * round);
            const int ends = round % 2 == 0 ? supplier_of(deployment)
                                            : leader_of(deployment, deployment.workers.all().rbegin()->first);
            const int before = deployment.checker.starts;
            if (ends >= 0) deployment.crash_controller(ends);
            EXPECT_TRUE(deployment.run_until([&] { return deployment.checker.starts > before; }, 25))
                << seed << " round " << round;
            poll_all(deployment, ids);
            deployment.run(round % 3 == 0 ? 0.3 : 5);
            if (ends >= 0) deployment.start_controller(ends);
            deployment.run(3);
        }
        deployment.faults.late_commits = 0;
        deployment.faults.store_response_delay_s = 0;
        deployment.run(14);
        expect_recovery(deployment, ids);
        // Where the commits of a takeover are held themselves, it may come too late for a lease.
        EXPECT_LE(deployment.checker.starts, 36 + 6) << seed;
    }
}

// Jobs are cancelled in the seconds in which one controller's work changes hands, because it ends or because
// it hears no worker any more: tasks are gone in time, and none of them starts once the orders under way are
// through.
TEST(MeetingsOfTroubles, CancelledWhileWorkChangesHands) {
    for (int moment = 0; moment < 12; ++moment)
        for (const bool ends : {true, false}) {
            SimulatedDeployment deployment(options_with_seed(static_cast<std::uint64_t>(moment + 1)));
            deployment.run(3);
            // Some run, others are started all the time.
            const std::string runs = job_id(1), starts = job_id(2), stays = job_id(3);
            deployment.submit(deployment.job(runs, 16, 1, 500));
            deployment.submit(deployment.job(stays, 6, 1, 40));
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(runs) == 16; }, 60));
            deployment.submit(deployment.job(starts, 100, 1, 1.5));
            deployment.run(3);
            const auto machines = machines_of(deployment);
            std::vector<std::string> of_others;
            for (const auto& id : machines)
                if (leader_of(deployment, id) != 0) of_others.push_back(id);
            if (ends)
                deployment.crash_controller(0);
            else
                link_all(deployment, "n0", machines, LinkState::drop);
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
            // The others' machines are told at once, not with their next report.
            deployment.run(0.4);
            EXPECT_EQ(tasks_on(deployment, of_others, {runs, starts}), 0) << moment << " " << ends;
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
                link_all(deployment, "n0", machines, LinkState::up);
            deployment.run(12);
            EXPECT_LT(deployment.checker.latest_cancelled_start, 1.5) << moment << " " << ends;
            expect_recovery(deployment, {runs, starts, stays}, 100);
        }
}

// Commits are carried out at once and only their answers are lost, while users read at all nodes what they
// wrote: nothing is accepted, started, ended or cancelled twice, and no node answers anything older.
TEST(MeetingsOfTroubles, OnlyTheAnswerIsLost) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        CloseLooks looks(deployment);
        std::vector<Json> jobs;
        std::vector<std::string> ids;
        deployment.faults.lost_commit_responses = 0.3;
        for (int i = 0; i < 8; ++i) {
            jobs.push_back(deployment.job(job_id(i), 3, 1, 4, i % 2 == 0 ? "red" : "blue"));
            ids.push_back(job_id(i));
            deployment.submit(jobs.back());
            looks.watch(jobs, 2);
            if (i % 4 == 2 && deployment.is_accepted(ids.back())) deployment.cancel(ids.back());
            looks.watch(jobs, 3);
        }
        looks.watch(jobs, 12);
        deployment.faults.lost_commit_responses = 0;
        EXPECT_GT(looks.answered, 500);
        expect_recovery(deployment, ids, 60);
        EXPECT_LE(deployment.checker.starts, 24) << seed;
        expect_no_room_taken(deployment, {"blue"});
    }
}

// Users ask at all nodes within milliseconds, and repeat the submission, right after a job was accepted,
// ended or confirmed as cancelled; some cancel at once. Also while the state service is slow.
TEST(MeetingsOfTroubles, NoNodeAnswersAnythingOlder) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        deployment.faults.store_response_delay_s = seed % 2 == 0 ? 0.3 : 0;
        CloseLooks looks(deployment);
        std::vector<Json> jobs;
        std::vector<std::string> ids;
        for (int i = 0; i < 10; ++i) {
            jobs.push_back(deployment.job(job_id(i), 1 + i % 3, 1, 2 + i % 4));
            ids.push_back(job_id(i));
            deployment.submit(jobs.back());
            looks.watch(jobs, 0.8);
            if (i % 3 == 1 && deployment.is_accepted(ids.back())) deployment.cancel(ids.back());
            looks.watch(jobs, 0.7);
        }
        looks.watch(jobs, 25);
        EXPECT_GT(looks.answered, 2000);
        EXPECT_LT(looks.put_off, looks.answered / 4) << seed;
        EXPECT_LT(looks.longest_lag, 3) << seed;
        // Each was told its end by the looks alone.
        for (const auto& id : ids)
            EXPECT_TRUE(looks.newest(id) == "done" || looks.newest(id) == "withdrawn") << id;
        expect_recovery(deployment, ids, 20);
    }
}

// Direct commands are held up for 2 to 16 s and then carried out, others' answers come late, and machines
// hang with commands on their way and go on; controllers change and jobs are cancelled meanwhile.
TEST(MeetingsOfTroubles, CommandsAndTheirAnswersHeldUp) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        std::vector<std::string> ids{job_id(1)};
        deployment.submit(deployment.job(job_id(1), 12, 1, 90));
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 12; }, 60));
        deployment.faults.late_commands = 0.5;
        deployment.faults.late_command_responses = 0.5;
        for (int round = 0; round < 6; ++round) {
            ids.push_back(job_id(10 + round));
            deployment.submit(deployment.job(ids.back(), 8, 1, 20));
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(ids.back()) > 0; }, 40));
            deployment.cancel(ids.back());
            deployment.run(1.9);
            std::size_t i = 0;
            for (const auto& id : machines_of(deployment))
                if (++i % 3 == seed % 3) deployment.workers.hang(id, 1 + 4 * deployment.chance());
            const int n = round % 3;
            deployment.crash_controller(n);
            deployment.run(round % 2 == 0 ? 0.3 : 5.5);
            deployment.start_controller(n);
            poll_all(deployment, ids);
            deployment.run(3);
        }
        deployment.faults.late_commands = deployment.faults.late_command_responses = 0;
        deployment.run(20);
        expect_recovery(deployment, ids, 120);
        // No machine hung for a lease: the long tasks ran on.
        EXPECT_EQ(deployment.checker.starts_of(job_id(1)), 12) << seed;
    }
}

// Tasks are stopped for gangs that wait, by direct commands of which most are held up until the same task is
// back under another attempt: what comes late stops nothing that was started since.
TEST(MeetingsOfTroubles, StoppedByCommandsHeldUp) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        DeploymentOptions o = options_with_seed(seed);
        o.cloud_capacity = 6;
        SimulatedDeployment deployment(o);
        for (int m = 0; m < 6; ++m) deployment.workers.add("small", "a", false, 0.1);
        deployment.run(3);
        Json low = deployment.job(job_id(1), 24, 1, 60);
        low["rank"] = "best_effort";
        low["mark_every_s"] = 4.0;
        low["stow_s"] = 1.0;
        deployment.submit(low);
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 24; }, 30));
        deployment.faults.late_commands = 0.8;
        std::vector<std::string> ids{job_id(1)};
        for (int round = 0; round < 3; ++round) {
            ids.push_back(job_id(2 + round));
            Json gang = deployment.job(ids.back(), 3, 4, 5);
            gang["shape"] = "group";
            gang["rank"] = "critical";
            deployment.submit(gang);
            EXPECT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(ids.back()) == 3; }, 40))
                << seed;
            if (round == 1) {
                const int ends = supplier_of(deployment);
                deployment.crash_controller(ends);
                deployment.run(0.3);
                deployment.start_controller(ends);
            }
        }
        deployment.run(18);
        deployment.faults.late_commands = 0;
        expect_recovery(deployment, ids, 200);
        // Three machines of four tasks each are cleared for each gang.
        EXPECT_GT(deployment.checker.starts_of(job_id(1)), 24) << seed;
        EXPECT_LE(deployment.checker.starts_of(job_id(1)), 24 + 3 * 12) << seed;
    }
}

// Every team is at its limit while jobs are cancelled whose machines are cut off or hang, and owners and
// supplier change: the limits hold, what waited follows, and no room of a team is lost.
TEST(MeetingsOfTroubles, AllTeamsAtTheirLimits) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        DeploymentOptions o = options_with_seed(seed);
        o.teams = both_teams_limited;
        SimulatedDeployment deployment(o);
        deployment.run(3);
        const std::vector<std::string> first{job_id(1), job_id(2)}, next{job_id(3), job_id(4)};
        for (std::size_t t = 0; t < 2; ++t)
            deployment.submit(deployment.job(first[t], 12, 1, 500, t == 0 ? "red" : "blue"));
        ASSERT_TRUE(deployment.run_until(
            [&] {
                return deployment.workers.executing_tasks(first[0]) == 12 &&
                       deployment.workers.executing_tasks(first[1]) == 12;
            },
            60));
        for (std::size_t t = 0; t < 2; ++t)
            deployment.submit(deployment.job(next[t], 14, 1, 8, t == 0 ? "red" : "blue"));
        deployment.run(3);
        EXPECT_EQ(deployment.checker.starts, 24);
        std::vector<std::string> cut;
        int i = 0;
        for (const auto& id : machines_of(deployment)) {
            if (deployment.store.placed_tasks(id) == 0) continue;
            if (++i % 3 == 0) cut.push_back(id);
            if (i % 3 == 1) deployment.workers.hang(id, 4 + 20 * deployment.chance());
        }
        for (int n = 0; n < 3; ++n)
            link_all(deployment, deployment.controller_name(n), cut,
                     seed % 2 == 0 ? LinkState::hold : LinkState::drop);
        for (const auto& id : first) deployment.cancel(id, 2);
        deployment.run(1.5);
        deployment.crash_controller(0);
        deployment.crash_controller(1);
        ASSERT_TRUE(deployment.run_until(
            [&] {
                return deployment.last_phase(first[0]) == "withdrawn" &&
                       deployment.last_phase(first[1]) == "withdrawn";
            },
            10));
        deployment.run(4);
        deployment.start_controller(0);
        deployment.start_controller(1);
        // Room of tasks whose machines answer, or whose leases are over, is used again, the cut still
        // lasting.
        EXPECT_TRUE(deployment.run_until(
            [&] {
                return deployment.workers.executing_tasks(next[0]) > 0 &&
                       deployment.workers.executing_tasks(next[1]) > 0;
            },
            25));
        deployment.run(10);
        for (int n = 0; n < 3; ++n) link_all(deployment, deployment.controller_name(n), cut, LinkState::up);
        deployment.run(3);
        expect_recovery(deployment, {first[0], first[1], next[0], next[1]}, 90);
        expect_no_room_taken(deployment, {"red", "blue"});
    }
}

// A controller hands its part over, because it hears no worker, and takes it back; then all end, and one
// alone returns within a second: no running task is lost, and the one serves all.
TEST(MeetingsOfTroubles, HandedOverAndBackThenOneReturnsAlone) {
    for (int back = 0; back < 3; ++back)
        for (const double away : {0.3, 0.9}) {
            SimulatedDeployment deployment(options_with_seed(static_cast<std::uint64_t>(back) + 1));
            deployment.run(3);
            const std::string runs = job_id(1), more = job_id(2);
            deployment.submit(deployment.job(runs, 40, 1, 200));
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(runs) == 40; }, 60));
            const auto machines = machines_of(deployment);
            auto owns_some = [&](int n) {
                return std::any_of(machines.begin(), machines.end(),
                                   [&](const auto& id) { return leader_of(deployment, id) == n; });
            };
            link_all(deployment, "n0", machines, LinkState::drop);
            EXPECT_TRUE(deployment.run_until([&] { return !owns_some(0); }, 15));
            link_all(deployment, "n0", machines, LinkState::up);
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

// Reports are held back until a new owner has acted, and then arrive there: they end, revive and start
// nothing, and free no room of a team at its limit whose cancelled tasks are on machines that hang.
TEST(MeetingsOfTroubles, ReportsKeptForTheNextOwner) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.faults.heartbeats_replayed_to_next_leader = 0.4;
        deployment.run(3);
        std::vector<std::string> ids{job_id(1)};
        deployment.submit(deployment.job(job_id(1), 12, 1, 200));
        for (int round = 0; round < 6; ++round) {
            const std::string limited = job_id(10 + round);
            ids.push_back(limited);
            deployment.submit(deployment.job(limited, 12, 1, 300, "blue"));
            ASSERT_TRUE(
                deployment.run_until([&] { return deployment.workers.executing_tasks(limited) == 12; }, 60))
                << seed << round;
            deployment.run(2);
            deployment.cancel(limited);
            deployment.run(1.95);
            std::size_t i = 0;
            for (const auto& id : machines_of(deployment))
                if (++i % 2 == seed % 2) deployment.workers.hang(id, 3 + 3 * deployment.chance());
            const int n = round % 3;
            deployment.crash_controller(n);
            deployment.run(round % 2 == 0 ? 0.3 : 5);
            deployment.start_controller(n);
            poll_all(deployment, ids);
        }
        deployment.run(10);
        deployment.faults.heartbeats_replayed_to_next_leader = 0;
        expect_recovery(deployment, ids, 220);
        EXPECT_EQ(deployment.checker.starts_of(job_id(1)), 12) << seed;
    }
}

// One-task jobs come four a second for minutes, a quarter of them cancelled, within the budgets of the state
// service and the cloud: each is served soon, and none is forgotten.
TEST(MeetingsOfTroubles, OneTaskJobsFourASecond) {
    DeploymentOptions o = options_with_seed(1);
    o.enforce_rate_limits = true;
    SimulatedDeployment deployment(o);
    // Enough of them, or the wait would be that for machines.
    for (int m = 0; m < 8; ++m) deployment.workers.add("small", "a", false, 0.1);
    deployment.run(3);
    const int jobs = 4 * 150;
    std::vector<std::string> ids;
    std::map<std::string, double> sent;
    double slowest = 0;
    auto note_ends = [&] {
        for (auto it = sent.begin(); it != sent.end();) {
            const std::string told = deployment.last_phase(it->first);
            if (told == "done" || told == "withdrawn") {
                slowest = std::max(slowest, deployment.now() - it->second);
                it = sent.erase(it);
            } else {
                ++it;
            }
        }
    };
    for (int i = 0; i < jobs; ++i) {
        ids.push_back(job_id(i));
        sent[ids.back()] = deployment.now();
        deployment.submit(deployment.job(ids.back(), 1, 1, 2 + i % 5, i % 3 == 0 ? "blue" : "red"));
        if (i % 4 == 3) {
            // Some before they begin, some as they end.
            const double delay = 0.2 + 5 * deployment.chance();
            deployment.after(delay, [&deployment, id = ids.back()] {
                if (deployment.is_accepted(id) && deployment.last_phase(id) != "done") deployment.cancel(id);
            });
        }
        for (int k = i % 20; k < i; k += 20)
            if (sent.contains(job_id(k)) && deployment.is_accepted(job_id(k))) deployment.poll(job_id(k));
        deployment.run(0.25);
        note_ends();
    }
    deployment.run(10);
    EXPECT_LT(slowest, 20);
    EXPECT_LT(sent.size(), 40U);
    expect_recovery(deployment, ids, 60);
    int cancelled = 0;
    for (const auto& id : ids) cancelled += deployment.last_phase(id) == "withdrawn" ? 1 : 0;
    EXPECT_GT(cancelled, jobs / 10);
    EXPECT_LT(deployment.checker.latest_cancelled_start, 3);
}

// Requests that must be refused, and repeats of unfinished jobs that must not be.
struct OddRequests {
    SimulatedDeployment& deployment;
    std::vector<Json> never, lacking, unfinished;
    std::map<int, int> seen;  // answers by status
    explicit OddRequests(SimulatedDeployment& world) : deployment(world) {
        Json j = deployment.job(job_id(900), 2);
        j["crew"] = "nobody";
        never.push_back(j);
        never.push_back(deployment.job(job_id(901), 2, 64));
        j = deployment.job(job_id(902), 13, 1, 5, "blue");  // more than the team's limit at one time
        j["shape"] = "group";
        never.push_back(j);
        j = deployment.job(job_id(903), 2);
        j["breeds"] = {"small"};
        j["gpus"] = 1.0;
        never.push_back(j);
        int next = 910;
        for (const char* field : {"uid", "crew", "shards", "vcpus", "shape", "cask"}) {
            j = deployment.job(job_id(next++), 2);
            j.erase(field);
            lacking.push_back(j);
        }
    }
    void ask(const Json& body, int expected) {
        for (int n = 0; n < deployment.controller_count(); ++n) {
            if (!deployment.is_running(n)) continue;
            deployment.controller(n).on_request(
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
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(4);
        OddRequests odd(deployment);
        for (int i = 1; i <= 2; ++i) {
            odd.unfinished.push_back(deployment.job(job_id(i), 6, 1, 500, i == 1 ? "red" : "blue"));
            deployment.submit(odd.unfinished.back());
            // Known, it is not judged anew: its team may have gone from the settings since.
            odd.unfinished.push_back(odd.unfinished.back());
            odd.unfinished.back()["crew"] = "nobody";
        }
        ASSERT_TRUE(deployment.run_until(
            [&] {
                return deployment.workers.executing_tasks(job_id(1)) +
                           deployment.workers.executing_tasks(job_id(2)) ==
                       12;
            },
            60));
        const std::vector<std::function<void(bool)>> troubles{
            [&](bool on) { deployment.store.outage = on; },
            [&](bool on) {
                deployment.cloud.outage = on;
                for (int n = 0; n < 3 && on; ++n) deployment.crash_controller(n);
                for (int n = 0; n < 3 && on; ++n) deployment.start_controller(n);
            },
            [&](bool on) {
                for (int n = 0; n < 3; ++n)
                    on ? deployment.crash_controller(n) : deployment.start_controller(n);
            },
            [&](bool on) {
                for (const char* other : {"n1", "n2"})
                    deployment.set_link("n0", other, on ? LinkState::drop : LinkState::up);
            },
            [&](bool on) {
                if (on)
                    deployment.store.rejected_clients.insert("n1");
                else
                    deployment.store.rejected_clients.clear();
            }};
        for (const auto& trouble : troubles) {
            trouble(true);
            for (int i = 0; i < 12; ++i) {
                deployment.run(0.5);
                odd.ask_all();
            }
            trouble(false);
            for (int i = 0; i < 6; ++i) {
                deployment.run(0.5);
                odd.ask_all();
            }
        }
        deployment.run(5);
        for (const int status : {200, 400, 422}) EXPECT_GT(odd.seen[status], 100) << status;
        EXPECT_EQ(odd.seen[201], 0);
        EXPECT_EQ(deployment.checker.starts, 12);
        for (const auto* refused : {&odd.never, &odd.lacking})
            for (const auto& body : *refused) {
                const std::string id = body.value("uid", "");
                EXPECT_FALSE(deployment.store.data.contains("z/j/" + id) ||
                             deployment.store.data.contains("f/" + id))
                    << id;
            }
        for (int i = 1; i <= 2; ++i) deployment.cancel(job_id(i));
        expect_recovery(deployment, {job_id(1), job_id(2)}, 30);
    }
}

}  // namespace
}  // namespace zincdyke::testing
