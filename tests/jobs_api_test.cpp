// The jobs API: status codes, invalid input, and reads that never go back.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "consistent_read_checker.h"
#include "deployment_helpers.h"

namespace zincdyke::testing {
namespace {

TEST(JobsApi, StatusCodesAndPhasesAreAsSpecified) {
    SimulatedDeployment deployment;
    deployment.run(4);
    EXPECT_EQ(deployment.request(0, "POST", "/api/jobs", "{").status, 400);
    EXPECT_EQ(deployment.request(0, "POST", "/api/jobs", "[]").status, 400);
    Json j = deployment.job(job_id(1), 2);
    for (const char* key : {"uid", "crew", "shards", "vcpus", "rank", "one_zone", "cask"}) {
        Json without = j;
        without.erase(key);
        EXPECT_EQ(deployment.request(0, "POST", "/api/jobs", without.dump()).status, 400) << key;
    }
    Json bad = j;
    bad["crew"] = "nobody";
    EXPECT_EQ(deployment.request(0, "POST", "/api/jobs", bad.dump()).status, 422);
    bad = j;
    bad["vcpus"] = 500.0;
    EXPECT_EQ(deployment.request(0, "POST", "/api/jobs", bad.dump()).status, 422);
    bad = j;
    bad["crew"] = "blue";
    bad["shape"] = "group";
    bad["shards"] = 13;
    EXPECT_EQ(deployment.request(0, "POST", "/api/jobs", bad.dump()).status, 422);
    EXPECT_EQ(deployment.request(1, "GET", "/api/jobs/" + job_id(1)).status, 404);
    EXPECT_EQ(deployment.request(1, "GET", "/api/jobs/none").status, 404);
    deployment.submit(j, 0);
    ASSERT_TRUE(deployment.run_until([&] { return deployment.is_accepted(job_id(1)); }, 5));
    for (int n = 0; n < 3; ++n) EXPECT_EQ(deployment.request(n, "POST", "/api/jobs", j.dump()).status, 200);
    EXPECT_TRUE(all_reach_final_state(deployment, {job_id(1)}, 60));
    for (int n = 0; n < 3; ++n) {
        auto r = deployment.request(n, "POST", "/api/jobs", j.dump());
        EXPECT_EQ(r.status, 200);
        EXPECT_EQ(Json::parse(r.body)["phase"], "done");
        EXPECT_EQ(
            Json::parse(deployment.request(n, "POST", "/api/jobs/" + job_id(1) + "/cancel").body)["phase"],
            "done");
    }
    expect_no_violations(deployment);
}

// Whatever is wrong with a submission: 400, and nothing is recorded; what is known already never gets it.
TEST(JobsApi, InvalidSubmissionIsRejectedAndNotStored) {
    SimulatedDeployment deployment;
    deployment.run(4);
    const Json good = deployment.job(job_id(1), 2);
    std::vector<std::pair<std::string, Json>> bad;
    for (const auto& [key, value] : good.items()) {
        if (key == "real_s") continue;  // for the fake workers alone
        Json null = good, typed = good;
        null[key] = nullptr;
        typed[key] = Json::array();
        bad.emplace_back(key + " null", null);
        bad.emplace_back(key + " mistyped", typed);
    }
    auto with = [&](const char* key, const Json& value) {
        Json j = good;
        j[key] = value;
        bad.emplace_back(std::string(key) + " " + value.dump(), j);
    };
    for (const char* id : {"", "job-", "job-12x", "jobs-12", "job_12", "JOB-000012"}) with("uid", id);
    for (const char* shape : {"", "gang", "Batch"}) with("shape", shape);
    for (const char* rank : {"", "urgent"}) with("rank", rank);
    for (const Json& n : {Json(0), Json(-1), Json(100'001), Json(1.5)}) with("shards", n);
    for (const char* key : {"vcpus", "gpus", "ram_gb", "image_gb", "guess_s", "mark_every_s", "stow_s"})
        with(key, -1.0);
    with("breeds", Json::array({1}));
    with("due_s", "soon");
    for (const auto& [what, j] : bad)
        EXPECT_EQ(deployment.request(0, "POST", "/api/jobs", j.dump()).status, 400) << what;
    std::string infinite = good.dump();
    const std::string cpus = "\"vcpus\":1.0";
    ASSERT_NE(infinite.find(cpus), std::string::npos);
    EXPECT_EQ(deployment
                  .request(0, "POST", "/api/jobs",
                           infinite.replace(infinite.find(cpus), cpus.size(), "\"vcpus\":1e999"))
                  .status,
              400);
    deployment.run(1);
    for (const auto& [k, v] : deployment.store.data)
        EXPECT_TRUE(k.rfind("z/j/", 0) != 0 && k.rfind("f/", 0) != 0) << k;
}

// Users ask at all controllers within milliseconds, and repeat the submission, right after a job was
// accepted, ended or confirmed as cancelled; some cancel at once. Also while the key-value store is slow.
TEST(JobsApi, ReadsAreMonotonicAcrossControllers) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(3);
        deployment.faults.store_response_delay_s = seed % 2 == 0 ? 0.3 : 0;
        ConsistentReadChecker reads(deployment);
        std::vector<Json> jobs;
        std::vector<std::string> ids;
        for (int i = 0; i < 10; ++i) {
            jobs.push_back(deployment.job(job_id(i), 1 + i % 3, 1, 2 + i % 4));
            ids.push_back(job_id(i));
            deployment.submit(jobs.back());
            reads.watch(jobs, 0.8);
            if (i % 3 == 1 && deployment.is_accepted(ids.back())) deployment.cancel(ids.back());
            reads.watch(jobs, 0.7);
        }
        reads.watch(jobs, 25);
        EXPECT_GT(reads.successful_responses, 2000);
        EXPECT_LT(reads.retry_responses, reads.successful_responses / 4) << seed;
        EXPECT_LT(reads.max_completion_lag_s, 3) << seed;
        // Each was told its end by these reads alone.
        for (const auto& id : ids)
            EXPECT_TRUE(reads.latest_known_state(id) == "done" || reads.latest_known_state(id) == "withdrawn")
                << id;
        expect_recovery(deployment, ids, 20);
    }
}

// Requests that must be refused, and repeats of unfinished jobs that must not be.
struct UnusualRequests {
    SimulatedDeployment& deployment;
    std::vector<Json> never, lacking, unfinished;
    std::map<int, int> seen;  // answers by status
    explicit UnusualRequests(SimulatedDeployment& simulated) : deployment(simulated) {
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
    void poll_all() {
        for (const auto& body : never) ask(body, 422);
        for (const auto& body : lacking) ask(body, 400);
        for (const auto& body : unfinished) ask(body, 200);
    }
};

// Jobs that can never run, lack a field, or are repeated while unfinished, beside an outage, a cloud that is
// away while controllers restart, a crash of all, and a cut between controllers: each gets its own answer or
// is told to come back, and what was refused leaves nothing behind.
TEST(JobsApi, InvalidAndRepeatedSubmissionsAreAnsweredUnderFaults) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SimulatedDeployment deployment(options_with_seed(seed));
        deployment.run(4);
        UnusualRequests odd(deployment);
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
                odd.poll_all();
            }
            trouble(false);
            for (int i = 0; i < 6; ++i) {
                deployment.run(0.5);
                odd.poll_all();
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
