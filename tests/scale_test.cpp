// Scale: many times as many machines, and faults of hundreds of them at once.
#include <gtest/gtest.h>

#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

// Under sanitizers a smaller deployment is tested, of a quarter of the machines.
#if defined(__SANITIZE_ADDRESS__)
constexpr int shrink = 4;
#else
constexpr int shrink = 1;
#endif

// Rate limits, leases and settings as a fleet of that size has them.
DeploymentOptions fleet_options(int nodes, int machines, std::uint64_t seed = 1) {
    DeploymentOptions o;
    o.seed = seed;
    o.controllers = nodes;
    o.cloud_capacity = machines + machines / 10;
    o.max_value_kb = 8;
    o.heartbeat_interval_s = 5;
    o.lease_s = 26.5;
    o.cancel_s = 46.5;
    o.store_requests_per_s = 600;
    o.store_writes_per_s = 70;
    o.cloud_requests_per_s = 7;
    o.memory_mb = 188;
    o.max_sockets = 3000;
    o.worker_tick_s = 0.25;
    o.enforce_rate_limits = true;
    o.boot_s = 20;
    return o;
}

struct FleetFixture {
    SimulatedDeployment deployment;
    int machines;
    std::vector<std::string> ids;
    int next = 1;
    explicit FleetFixture(const DeploymentOptions& o, int count) : deployment(o), machines(count) {
        for (int i = 0; i < machines; ++i)
            deployment.workers.add("small", "a", false, 1 + 4 * deployment.chance());
    }
    // Jobs of 40 tasks that take a machine each.
    void submit(int tasks, double run_s) {
        for (int left = tasks; left > 0; left -= 40) {
            ids.push_back(job_id(next++));
            Json j = deployment.job(ids.back(), std::min(left, 40), 4, run_s);
            j["loaners"] = false;
            j["cask"] = "img-" + std::to_string(next % 7);
            deployment.submit(j);
        }
    }
    int running() {
        int n = 0;
        for (const auto& id : ids) n += deployment.workers.executing_tasks(id);
        return n;
    }
    // Some machines at random; busy ones, if asked.
    std::vector<std::string> some(int n, bool busy = false) {
        std::vector<std::string> all, out;
        for (auto& [id, m] : deployment.workers.all())
            if (m.alive && (!busy || !m.tasks.empty())) all.push_back(id);
        std::sample(all.begin(), all.end(), std::back_inserter(out), n, deployment.random.engine());
        return out;
    }
    // Every job's user asks as users do, until all are told the end.
    bool all_done(double most) {
        const double end = deployment.now() + most;
        for (;;) {
            bool all = true;
            for (const auto& id : ids)
                if (!deployment.is_done(id)) {
                    all = false;
                    if (deployment.is_accepted(id)) deployment.poll(id);
                }
            if (all) return true;
            if (deployment.now() > end) return false;
            deployment.run(5);
        }
    }
    void expect_bounds() {
        for (int n = 0; n < deployment.controller_count(); ++n) {
            if (!deployment.is_running(n)) continue;
            const Json status = Json::parse(deployment.request(n, "GET", "/internal/status").body);
            EXPECT_LT(status["commit_queue_length"].get<int>(), 2 * machines);
        }
        EXPECT_LE(deployment.controllers.max_open_worker_requests(), 256U);
    }
    void expect_no_violations() {
        deployment.checker.finish();
        deployment.checker.check_service_quality();
        for (const auto& b : deployment.checker.violations) ADD_FAILURE() << b;
        EXPECT_EQ(deployment.store.oversized_write, "");
    }
};

// All controllers crash and are back within a fraction of a second, twice, and every worker comes to the same
// one of them.
void all_back_at_once(int nodes, int machines) {
    FleetFixture s(fleet_options(nodes, machines), machines);
    SimulatedDeployment& deployment = s.deployment;
    deployment.run(8);
    s.submit(machines * 9 / 10, 90);
    ASSERT_TRUE(deployment.run_until([&] { return s.running() >= machines * 9 / 10; }, 45)) << s.running();
    const int starts = deployment.checker.starts;
    // Twice: the second time while the fleet has hardly come back.
    for (int time = 0; time < 2; ++time) {
        for (int n = 0; n < nodes; ++n) deployment.crash_controller(n);
        deployment.run(0.3);
        for (int n = 0; n < nodes; ++n) deployment.start_controller(n);
        for (auto& [id, m] : deployment.workers.all()) {
            m.controller = 0;
            m.next_heartbeat_at = deployment.now();
        }
        if (time == 0) deployment.run(2);
    }
    // Work for the machines that are free: it begins, and a poll and a submission are answered, within
    // seconds.
    s.submit(machines / 20, 10);
    const int before = deployment.workers.executing_tasks(s.ids.back());
    EXPECT_EQ(before, 0);
    EXPECT_TRUE(
        deployment.run_until([&] { return deployment.workers.executing_tasks(s.ids.back()) > 0; }, 15));
    EXPECT_EQ(deployment.request(nodes - 1, "GET", "/api/jobs/" + s.ids.front()).status, 200);
    EXPECT_LT(deployment.checker.starts - starts, machines / 20 + 40);  // nothing that ran was started again
    s.expect_bounds();
    EXPECT_TRUE(s.all_done(240));
    EXPECT_EQ(deployment.checker.starts, starts + machines / 20);
    s.expect_no_violations();
}

TEST(Scale, RunningTasksSurviveQuickRestartOfSevenControllers) { all_back_at_once(7, 2000 / shrink); }
TEST(Scale, RunningTasksSurviveQuickRestartOfThreeControllers) { all_back_at_once(3, 1400 / shrink); }

// Four times as many short tasks as the machines can do: what waits must not cost more than what runs.
// Counted, not timed: how often a machine's capacity is computed for the placement requests.
TEST(Scale, BurstOfShortTasksNeedsFewCapacityComputations) {
    const int machines = 400 / shrink;
    FleetFixture s(fleet_options(7, machines), machines);
    SimulatedDeployment& deployment = s.deployment;
    deployment.run(8);
    for (int i = 0; i < 30; ++i) {
        s.submit(machines / 4, 15);
        deployment.run(1);
    }
    s.expect_bounds();
    EXPECT_TRUE(s.all_done(400));
    std::uint64_t placement_requests = 0, looks = 0;
    for (int n = 0; n < 7; ++n) {
        const Json status = Json::parse(deployment.request(n, "GET", "/internal/status").body);
        placement_requests += status["workers"]["placement_requests"].get<std::uint64_t>();
        looks += status["workers"]["capacity_computations"].get<std::uint64_t>();
    }
    // Without the cache: once for each of a leader's machines in each placement request.
    EXPECT_GT(placement_requests, 500U);
    EXPECT_LT(looks, placement_requests * static_cast<std::uint64_t>(machines) / 7 / 4);
    s.expect_no_violations();
}

// A third of the machines is cut off for longer than a lease, with what is sent meanwhile delivered late,
// while one controller is gone. What ran elsewhere runs on; what was lost is started again within a bound;
// and nothing runs twice.
void third_cut(bool hang) {
    const int machines = 300 / shrink;
    FleetFixture s(fleet_options(3, machines), machines);
    SimulatedDeployment& deployment = s.deployment;
    deployment.run(8);
    s.submit(machines * 6 / 10, 150);
    ASSERT_TRUE(deployment.run_until([&] { return s.running() >= machines * 6 / 10; }, 45));
    const auto cut = s.some(machines / 3, true);
    for (const auto& id : cut) {
        if (hang) {
            deployment.workers.hang(id, 40);
            continue;
        }
        for (int n = 0; n < 3; ++n) deployment.set_link(id, deployment.controller_name(n), LinkState::hold);
        deployment.after(45, [&deployment, id] {
            for (int n = 0; n < 3; ++n) deployment.set_link(id, deployment.controller_name(n), LinkState::up);
        });
    }
    deployment.after(26, [&deployment, cut] {
        // Within their lease they may be running: none is given up.
        for (const auto& id : cut) EXPECT_TRUE(deployment.workers.all().contains(id)) << id;
    });
    deployment.run(3);
    deployment.crash_controller(0);
    deployment.after(5, [&deployment] { deployment.start_controller(0); });
    // Work that comes meanwhile begins, at the latest when a machine rented for it is up.
    const int starts = deployment.checker.starts;
    s.submit(machines / 20, 20);
    EXPECT_TRUE(
        deployment.run_until([&] { return deployment.checker.starts >= starts + machines / 20; }, 45));
    // Lost with the cut machines, at most their share; started again once their leases expired.
    EXPECT_TRUE(s.all_done(330));
    EXPECT_LE(deployment.checker.starts, starts + machines / 20 + machines / 3);
    s.expect_bounds();
    s.expect_no_violations();
}
TEST(Scale, PartitionOfAThirdOfTheMachinesIsSafe) { third_cut(false); }
TEST(Scale, HangOfAThirdOfTheMachinesIsSafe) { third_cut(true); }

// One controller loses the workers and nothing else, for longer than a lease: the others hear them, and take
// its shard over before anything is lost. Back in reach, it takes its shard up again without harm.
TEST(Scale, ShardOfAControllerWithoutHeartbeatsIsTransferred) {
    for (const LinkState cut : {LinkState::hold, LinkState::drop}) {
        FleetFixture s(fleet_options(3, 60), 60);
        SimulatedDeployment& deployment = s.deployment;
        deployment.run(8);
        s.submit(54, 150);
        ASSERT_TRUE(deployment.run_until([&] { return s.running() >= 54; }, 45));
        const int starts = deployment.checker.starts;
        std::vector<std::string> all;
        for (auto& [id, m] : deployment.workers.all()) all.push_back(id);
        for (const auto& id : all) deployment.set_link("n0", id, cut);
        deployment.run(40);
        EXPECT_EQ(s.running(), 54);
        for (const auto& id : all) deployment.set_link("n0", id, LinkState::up);
        deployment.run(60);
        for (std::uint32_t part = 0; part < 3; ++part) {
            int leaders = 0;
            for (int n = 0; n < 3; ++n) leaders += deployment.controller(n).cluster().term(part) ? 1 : 0;
            EXPECT_EQ(leaders, 1);
        }
        EXPECT_TRUE(s.all_done(200));
        EXPECT_EQ(deployment.checker.starts, starts);
        s.expect_no_violations();
    }
}

// More questions than the key-value store takes requests: one read answers all who asked before it, and none
// is left unanswered.
TEST(Scale, PollsBeyondTheStoreRateLimitAreAllAnswered) {
    DeploymentOptions o;
    o.enforce_rate_limits = true;
    o.store_requests_per_s = 40;
    o.store_writes_per_s = 40;
    SimulatedDeployment deployment(o);
    deployment.run(3);
    std::vector<std::string> ids;
    for (int i = 0; i < 60; ++i) {
        ids.push_back(job_id(i));
        deployment.submit(deployment.job(ids.back(), 1, 1, 500));
    }
    ASSERT_TRUE(deployment.run_until(
        [&] {
            return std::all_of(ids.begin(), ids.end(),
                               [&](const auto& id) { return deployment.is_accepted(id); });
        },
        40));
    int asked = 0, answered = 0;
    double slowest = 0;
    for (int step = 0; step < 100; ++step) {
        for (int i = 0; i < 12; ++i) {
            const std::string id = ids[deployment.random.draw() % ids.size()];
            ++asked;
            deployment.controller(i % 3).on_request({"GET", "/api/jobs/" + id, ""},
                                                    [&, at = deployment.now()](const HttpResponse& r) {
                                                        if (r.status != 200) return;
                                                        ++answered;
                                                        slowest = std::max(slowest, deployment.now() - at);
                                                    });
        }
        deployment.run(0.1);
    }
    deployment.run(2);
    EXPECT_EQ(answered, asked);
    EXPECT_LT(slowest, 1.8);
}

// Five controllers, three zones, sixteen teams and 3,600 machines, with as much work at the start and as much
// coming as such a platform has: arrays of fifty, and gangs of up to sixteen that must be in one zone.
DeploymentOptions large_options() {
    DeploymentOptions o;
    o.controllers = 5;
    o.zones = {"a", "b", "c"};
    o.teams.clear();
    for (int t = 0; t < 16; ++t)
        o.teams += "[[params.teams]]\nname = \"t" + std::to_string(t) +
                   "\"\ncpus = 0\ncpus_max = 0\ngpus = 900\ngpus_max = 2000\n";
    o.max_value_kb = 8;
    o.max_operations = 16;
    o.list_page_size = 1000;
    o.heartbeat_interval_s = 10;
    o.lease_s = 45;
    o.cancel_s = 70;
    o.store_requests_per_s = 150;
    o.store_writes_per_s = 50;
    o.cloud_requests_per_s = 6;
    o.memory_mb = 264;
    o.max_sockets = 6000;
    o.worker_tick_s = 0.5;
    o.enforce_rate_limits = true;
    o.boot_s = 35;
    return o;
}

TEST(Scale, LargePlatformInThreeZonesIsServed) {
    const int machines = 3600 / shrink;
    DeploymentOptions o = large_options();
    o.cloud_capacity = machines * 11 / 10;
    SimulatedDeployment deployment(o);
    for (int i = 0; i < machines; ++i)
        deployment.workers.add("gpu", o.zones[static_cast<std::size_t>(i) % 3], false,
                               1 + 20 * deployment.chance());
    deployment.run(25);
    std::vector<std::string> ids;
    auto add = [&](const char* kind) {
        ids.push_back(job_id(static_cast<int>(ids.size())));
        const std::string team = "t" + std::to_string(deployment.random.draw() % 16);
        const bool array = std::string(kind) == "array";
        const int size = array ? 20 + static_cast<int>(deployment.random.draw() % 60)
                               : 1 << (deployment.random.draw() % (std::string(kind) == "large" ? 5 : 3));
        Json j = deployment.job(ids.back(), size, array ? 4 : 8, 40 + 80 * deployment.chance(), team);
        j["gpus"] = array ? 1.0 : 2.0;
        j["ilk"] = kind;
        j["mark_every_s"] = 15.0;
        j["stow_s"] = 2.0;
        j["cask"] = std::string(kind) + std::to_string(deployment.random.draw() % 14);
        if (!array) {
            j["shape"] = "group";
            j["one_zone"] = true;
        }
        if (std::string(kind) == "urgent") j["rank"] = "high";
        deployment.submit(j);
    };
    for (int i = 0; i < 94 / shrink; ++i) add("large");
    for (int i = 0; i < 62 / shrink; ++i) add("array");
    for (int i = 0; i < 406 / shrink; ++i) add("urgent");
    for (int second = 0; second < 60; ++second) {
        for (int i = 0; i < 3; ++i)
            if (deployment.chance() * shrink < 1)
                add(i == 0 ? "large" : i == 1 ? "urgent" : second % 4 == 0 ? "urgent" : "array");
        for (const auto& id : ids)
            if (deployment.is_accepted(id) && !deployment.is_done(id) && deployment.chance() < 0.2)
                deployment.poll(id);
        deployment.run(1);
    }
    int accepted = 0;
    for (const auto& id : ids) accepted += deployment.is_accepted(id) ? 1 : 0;
    EXPECT_EQ(accepted, static_cast<int>(ids.size()));
    const double end = deployment.now() + 300;
    auto left = [&] {
        return std::count_if(ids.begin(), ids.end(), [&](const auto& id) { return !deployment.is_done(id); });
    };
    while (left() > 0 && deployment.now() < end) {
        for (const auto& id : ids)
            if (!deployment.is_done(id) && deployment.is_accepted(id)) deployment.poll(id);
        deployment.run(5);
    }
    EXPECT_EQ(left(), 0);
    deployment.checker.finish();
    deployment.checker.check_service_quality();
    for (const auto& b : deployment.checker.violations) ADD_FAILURE() << b;
}

// Machines are taken without notice while a controller crashes.
TEST(Scale, JobsContinueWhenMachinesAndAControllerAreLostTogether) {
    const int machines = 300 / shrink;
    FleetFixture s(fleet_options(3, machines), machines);
    SimulatedDeployment& deployment = s.deployment;
    deployment.run(8);
    s.submit(machines * 6 / 10, 60);
    ASSERT_TRUE(deployment.run_until([&] { return s.running() >= machines * 6 / 10; }, 45));
    const int starts = deployment.checker.starts;
    deployment.crash_controller(1);
    for (const auto& id : s.some(machines / 3)) deployment.workers.crash(id);
    deployment.after(3, [&deployment] { deployment.start_controller(1); });
    EXPECT_TRUE(s.all_done(240));
    EXPECT_LE(deployment.checker.starts, starts + machines / 3);
    s.expect_bounds();
    s.expect_no_violations();
}

// Machines that report every ten seconds are asked for a heartbeat when a start for them was committed.
TEST(Scale, StartsAreDeliveredWithoutWaitingForAHeartbeat) {
    DeploymentOptions o;
    o.heartbeat_interval_s = 10;
    o.lease_s = 45;
    o.cancel_s = 70;
    SimulatedDeployment deployment(o);
    for (int i = 0; i < 6; ++i) deployment.workers.add("small", "a", false, 0.5);
    deployment.submit(
        deployment.job(job_id(100), 18, 1, 600));  // keeps the machines, and leaves room on them
    ASSERT_TRUE(
        deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(100)) == 18; }, 60));
    double slowest = 0;
    for (int n = 1; n <= 5; ++n) {
        deployment.run(30);  // a worker heeds a higher token once in half of its lease
        const double asked = deployment.now();
        deployment.submit(deployment.job(job_id(n), 2, 1, 3));
        ASSERT_TRUE(
            deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(n)) == 2; }, 30));
        slowest = std::max(slowest, deployment.now() - asked);
    }
    EXPECT_LT(slowest, 4);
    expect_no_violations(deployment);
}

// Seven controllers and some four hundred machines: one committer serves a job, so that hardly a write meets
// another's; what waits anywhere stays within bounds, and a status tells of it.
TEST(Scale, SevenControllersCommitWithFewConflicts) {
    DeploymentOptions o;
    o.controllers = 7;
    o.cloud_capacity = 420;
    o.max_value_kb = 8;
    SimulatedDeployment deployment(o);
    deployment.run(3);
    std::vector<std::string> ids;
    for (int i = 0; i < 30; ++i) {
        ids.push_back(job_id(i));
        deployment.submit(deployment.job(ids.back(), 80, 1, 10));
    }
    std::size_t most_queued = 0;
    for (int i = 0; i < 60; ++i) {
        deployment.run(1);
        for (int n = 0; n < 7; ++n) {
            const Json status = Json::parse(deployment.request(n, "GET", "/internal/status").body);
            most_queued = std::max(most_queued, status["commit_queue_length"].get<std::size_t>());
        }
    }
    EXPECT_TRUE(all_reach_final_state(deployment, ids, 120));
    EXPECT_LT(most_queued, 2500U);
    std::uint64_t commits = 0, conflicts = 0, starts = 0, writes = 0;
    for (int n = 0; n < 7; ++n) {
        const Json status = Json::parse(deployment.request(n, "GET", "/internal/status").body);
        commits += status["commits"]["commits"].get<std::uint64_t>();
        conflicts += status["commits"]["conflicts"].get<std::uint64_t>();
        starts += status["commits"]["starts"].get<std::uint64_t>();
        for (const auto& n2 : status["store_requests"]["writes"]) writes += n2.get<std::uint64_t>();
    }
    EXPECT_EQ(starts, 2400U);
    EXPECT_LT(conflicts * 20, commits);
    // Starts and ends share writes: fewer than one for each start.
    EXPECT_LT(writes, starts);
    deployment.checker.check_service_quality();
    expect_no_violations(deployment);
}

// One-task jobs come four a second for minutes, a quarter of them cancelled, within the rate limits of the
// key-value store and the cloud: each is served soon, and none is forgotten.
TEST(Scale, FourSingleTaskJobsASecondAreServedWithinRateLimits) {
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
    EXPECT_LT(deployment.checker.latest_start_after_cancellation_s, 3);
}

}  // namespace
}  // namespace zincdyke::testing
