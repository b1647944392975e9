// Decoders, settings, policy and pure logic.
#include <gtest/gtest.h>

#include <random>

#include "autoscaler/arrivals.h"
#include "autoscaler/demand.h"
#include "autoscaler/plan.h"
#include "base/settings.h"
#include "jobs/jobs_api.h"
#include "loop/http_message.h"
#include "policy/policy.h"
#include "sched/logic.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace zincdyke {
namespace {

const char* good_settings = R"(
node = "n0"
zone = "a"
api_addr = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
unknown_field = 3
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
size = 1
zones = ["a"]
skew_ms = 25.0
[params.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 50.0
gang_peer_s = 6.0
cancel_s = 30.0
[params.state]
rps = 200.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 4.0
list_lag_s = 10.0
[params.machine_limits]
core_share = 0.12
memory_mb = 72.0
max_sockets = 1200
)";

TEST(Settings, ErrorNamesTheMissingOrInvalidKey) {
    EXPECT_EQ(parse_settings(good_settings).state_limits.txn_ops, 8U);
    std::string text = good_settings;
    for (const char* line :
         {"node = \"n0\"", "lease_s = 10.0", "txn_ops = 8", "api_addr = \"10.0.0.1:8080\""}) {
        std::string without = text;
        without.erase(without.find(line), std::string(line).size());
        std::string key = std::string(line).substr(0, std::string(line).find(' '));
        try {
            parse_settings(without);
            ADD_FAILURE() << key;
        } catch (const SettingsError& e) {
            EXPECT_NE(std::string(e.what()).find(key), std::string::npos);
        }
    }
    std::string bad = text;
    bad.replace(bad.find("10.0.0.1:8080"), 13, "10.0.0.1:99999");
    EXPECT_THROW(parse_settings(bad), SettingsError);
    bad = text;
    bad.replace(bad.find("lease_s = 10.0"), 14, "lease_s = \"x\"");
    EXPECT_THROW(parse_settings(bad), SettingsError);
    EXPECT_THROW(parse_settings("node = "), SettingsError);
}

// The state service's next limits: the lower of each holds; absent, today's do; a wrong one is named.
TEST(Settings, NextStoreLimitsAreParsed) {
    const std::string next = "[params.state.next]\nwrite_rps = 18.0\nvalue_kb = 16.0\ntxn_ops = 2\n";
    const Settings s = parse_settings(good_settings + next);
    EXPECT_EQ(s.strictest_limits.write_rps, 18);
    EXPECT_EQ(s.strictest_limits.value_kb, 8);
    EXPECT_EQ(s.strictest_limits.conditions(), 8U);
    EXPECT_EQ(s.state_limits.txn_ops, 8U);
    EXPECT_EQ(parse_settings(good_settings).strictest_limits.write_rps, 25);
    for (const auto& [line, wrong] :
         {std::pair{"txn_ops = 2", "txn_ops = 1"}, std::pair{"value_kb = 16.0", "value_kb = \"x\""},
          std::pair{"write_rps = 18.0", ""}}) {
        std::string bad = good_settings + next;
        bad.replace(bad.rfind(line), std::string(line).size(), wrong);
        const std::string key =
            "params.state.next." + std::string(line).substr(0, std::string(line).find(' '));
        try {
            parse_settings(bad);
            ADD_FAILURE() << key;
        } catch (const SettingsError& e) {
            EXPECT_NE(std::string(e.what()).find(key), std::string::npos) << e.what();
        }
    }
}

TEST(Policy, IsBoundedAndSandboxed) {
    EXPECT_EQ(load_policy(ZINCDYKE_DOCS "/policy-example.lua").boot_limit, 4);
    EXPECT_EQ(parse_policy("return { idle_keep_s = 7 }").idle_keep_s, 7);
    EXPECT_THROW(parse_policy("return { no_such = 1 }"), PolicyError);
    EXPECT_THROW(parse_policy("return { idle_keep_s = -1 }"), PolicyError);
    EXPECT_THROW(parse_policy("return 3"), PolicyError);
    EXPECT_THROW(parse_policy("while true do end"), PolicyError);
    EXPECT_THROW(parse_policy("local s = 'x' while true do s = s .. s end"), PolicyError);
    EXPECT_THROW(parse_policy("os.exit(1)"), PolicyError);
    EXPECT_THROW(parse_policy("return io.open('/etc/passwd')"), PolicyError);
}

TEST(PeerMessages, RoundTrip) {
    wire::PlacementRequest a{{NodeName("n1"), 7}, JobId("job-1"), NodeName("n2"),   3,
                             {1000, 0, 5},        "img",          wire::Rank::high, {1, 2, 99}};
    std::string frame = wire::encode(a);
    auto m = wire::decode(std::string_view(frame).substr(wire::peer_header_bytes));
    ASSERT_TRUE(m);
    const auto& b = std::get<wire::PlacementRequest>(*m);
    EXPECT_EQ(b.round, a.round);
    EXPECT_EQ(b.tasks, a.tasks);
    EXPECT_EQ(b.need, a.need);
    EXPECT_EQ(b.rank, a.rank);
}

// Truncated, changed and random bytes are refused or decode to something: never more than that.
TEST(PeerMessages, SurviveMutation) {
    std::mt19937_64 rng(5);
    wire::PeerHeartbeat beat{{5, 6, 7, 8, true, true, {JobId("job-1"), JobId("job-22")}},
                             true,
                             9,
                             3,
                             {{MachineId("host-1"), "t", "z", "1.2.3.4:5", true, true, false, 3, 1, 2, 3}}};
    wire::PlacementResponse offers{
        {NodeName("n"), 1}, JobId("job-2"), NodeName("m"), 3, true, {0, 1}, {{MachineId("host-2"), "z", -5}}};
    wire::CommitRequest settle{
        JobId("job-3"),
        {{0, 7, 2, MachineId("host-3"), "z", 41, 9}, {2, 8, 1, MachineId("host-4"), "", 41, 10}}};
    wire::CommitResponse settled{{{9, true}, {10, false}},
                                 {{"z/t/job-3/0", R"({"p":[[7,2,"host-3"]]})", 42}, {"z/j/job-3", "", 42}}};
    wire::ReservationUpdate reserve{true,
                                    {{MachineId("host-5"), "c", wire::Rank::high, 5000, JobId("job-4")}}};
    int refused = 0;
    for (const wire::PeerMessage& m :
         {wire::PeerMessage(beat), wire::PeerMessage(offers), wire::PeerMessage(settle),
          wire::PeerMessage(settled), wire::PeerMessage(reserve)}) {
        std::string frame = wire::encode(m).substr(wire::peer_header_bytes);
        for (std::size_t n = 0; n < frame.size(); ++n)
            EXPECT_FALSE(wire::decode(std::string_view(frame).substr(0, n)));
        EXPECT_FALSE(wire::decode(frame + "x"));
        for (int i = 0; i < 3000; ++i) {
            std::string bad = frame;
            for (int k = 0; k < 3; ++k) bad[rng() % bad.size()] = static_cast<char>(rng());
            if (!wire::decode(bad)) ++refused;
        }
    }
    EXPECT_GT(refused, 100);
}

// A job of one zone, bound to none yet, gets the zone that can take most of it; a gang only one that takes it
// whole.
TEST(PlacementDecision, OneZoneJobGetsTheZoneThatTakesMost) {
    std::mt19937_64 rng(1);
    auto offer = [](const char* m, const char* z, std::int64_t score) {
        return sched::ScoredOffer{{MachineId(m), z, score}, NodeName("n")};
    };
    const std::vector<sched::ScoredOffer> offers{offer("host-1", "a", 900), offer("host-2", "b", 10),
                                                 offer("host-3", "b", 20), offer("host-4", "a", 5),
                                                 offer("host-5", "b", 1)};
    auto yes = sched::choose(offers, {0, 1, 2}, true, std::nullopt, rng, true);
    ASSERT_EQ(yes[NodeName("n")].size(), 3U);
    for (const auto& a : yes[NodeName("n")])
        EXPECT_TRUE(a.machine != MachineId("host-1") && a.machine != MachineId("host-4"));
    yes = sched::choose(offers, {0, 1}, true, std::nullopt, rng, true);  // both zones can: the better scores
    ASSERT_EQ(yes[NodeName("n")].size(), 2U);
    EXPECT_EQ(yes[NodeName("n")][0].machine, MachineId("host-1"));
    yes = sched::choose(offers, {0, 1, 2, 3}, true, std::nullopt, rng, true);
    EXPECT_TRUE(yes.empty());
}

// What fits few types goes first there; one with a choice is not held up by it anywhere else.
TEST(PlacementDecision, JobsWithFewerMachineTypesComeFirst) {
    wire::MachineType small{"small", {4000, 0, 32000}, 30, 0.2, 0.18, 0.07, 30, {"a"}};
    wire::MachineType large{"large", {64000, 0, 256000}, 30, 0.2, 2.2, 0.9, 20, {"a"}};
    wire::MachineType gpu{"gpu", {24000, 2000, 96000}, 30, 1.0, 4.2, 2.0, 60, {"a"}};
    const std::vector<wire::MachineType> types{small, large, gpu};
    wire::JobSpec fits_all, fits_large, wants_gpu;
    fits_all.need = {3900, 0, 11000};
    fits_large.need = {4100, 0, 11000};
    wants_gpu.need = {4000, 1000, 11000};
    EXPECT_TRUE(sched::has_fewer_types(fits_large, fits_all, types));
    EXPECT_FALSE(sched::has_fewer_types(fits_all, fits_large, types));
    EXPECT_FALSE(sched::has_fewer_types(fits_all, fits_all, types));
    EXPECT_FALSE(sched::has_fewer_types(wants_gpu, fits_all, types));
}

TEST(HttpParser, AcceptsBytewiseInputAndSurvivesMutation) {
    const std::string text = "POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd";
    HttpMessageParser p(HttpMessageParser::Kind::request, max_request_body);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::size_t used = 0;
        auto s = p.feed(std::string_view(text).substr(i, 1), used);
        EXPECT_EQ(s == HttpMessageParser::State::complete, i + 1 == text.size());
    }
    EXPECT_EQ(p.body, "abcd");
    EXPECT_EQ(p.target, "/api/jobs");
    HttpMessageParser big(HttpMessageParser::Kind::request, max_request_body);
    std::size_t used = 0;
    EXPECT_EQ(big.feed("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", used),
              HttpMessageParser::State::too_large);
    std::mt19937_64 rng(6);
    int broken = 0;
    for (int i = 0; i < 3000; ++i) {
        std::string bad = text;
        for (int k = 0; k < 2; ++k) bad[rng() % bad.size()] = static_cast<char>(rng());
        HttpMessageParser q(HttpMessageParser::Kind::request, max_request_body);
        if (q.feed(bad, used) == HttpMessageParser::State::broken) ++broken;
    }
    EXPECT_GT(broken, 100);
}

TEST(JsonApi, HeartbeatsSurviveMutation) {
    const std::string text =
        R"({"werf":"host-1","address":"10.1.0.1:9000","breed":"g8","field":"a","loaners":true,"tenure":1,"tick":88,)"
        R"("baton":41,"warning_s":null,"shards":[{"shard":"job-1/3","try":2,"phase":"ended","cause":"done"}]})";
    auto r = wire::parse_heartbeat(text);
    ASSERT_TRUE(r);
    EXPECT_EQ(r->tasks.at(0).cause, wire::ExitCause::done);
    EXPECT_EQ(r->tasks.at(0).task.task, 3U);
    std::mt19937_64 rng(7);
    int refused = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string bad = text;
        for (int k = 0; k < 2; ++k) bad[rng() % bad.size()] = static_cast<char>(rng() % 128);
        if (!wire::parse_heartbeat(bad)) ++refused;
    }
    EXPECT_GT(refused, 100);
}

TEST(PlacementDecision, PrefersCachedImageThenFreeCapacity) {
    std::vector<sched::Candidate> c{{MachineId("small"), "a", {2000, 0, 4000}, {4000, 0, 8000}, false, 0},
                                    {MachineId("holder"), "a", {1000, 0, 4000}, {4000, 0, 8000}, true, 0},
                                    {MachineId("roomy"), "a", {4000, 0, 8000}, {4000, 0, 8000}, false, 0}};
    auto offers = sched::rank(c, {1000, 0, 1000}, 10);
    ASSERT_EQ(offers.size(), 7U);  // 1 + 2 + 4 CPUs
    EXPECT_EQ(offers[0].machine.value(), "holder");
    EXPECT_EQ(offers[1].machine.value(), "roomy");
}

TEST(PlacementDecision, GangIsPlacedAsAWholeOrNotAtAll) {
    std::mt19937_64 rng(1);
    std::vector<sched::ScoredOffer> offers{{{MachineId("m1"), "a", 5}, NodeName("x")},
                                           {{MachineId("m2"), "a", 9}, NodeName("y")}};
    EXPECT_TRUE(sched::choose(offers, {0, 1, 2}, true, {}, rng).empty());
    auto yes = sched::choose(offers, {0}, true, {}, rng);
    ASSERT_TRUE(yes.contains(NodeName("y")));
    EXPECT_EQ(yes[NodeName("y")][0].machine.value(), "m2");
}

TEST(FinalStateCache, IsBounded) {
    FinalCache c(3);
    for (int i = 0; i < 10; ++i) c.put(JobId("job-" + std::to_string(i)), {wire::Phase::done, i});
    EXPECT_EQ(c.find(JobId("job-6")), nullptr);
    ASSERT_NE(c.find(JobId("job-9")), nullptr);
}

TEST(AutoscalingPlan, ScalesOutForJobsThatCannotWait) {
    wire::MachineType small{"small", {4000, 0, 16000}, 50, 1, 1.0, 0.4, 10, {"a"}};
    std::vector<wire::MachineType> types{small};
    wire::JobSpec spec;
    spec.need = {1000, 0, 1000};
    spec.spot = false;
    autoscaler::PlanInput in;
    in.types = &types;
    in.demands.push_back({&spec, {}, 8, 20, 5});
    auto p = autoscaler::make_plan(in);
    ASSERT_EQ(p.rent.size(), 1U);
    EXPECT_EQ(p.rent.begin()->second, 2U);
    EXPECT_FALSE(p.rent.begin()->first.spot);
    // Patient work takes turns on what is there.
    in.bins.push_back({MachineId("host-1"), "small", "a", false, {{0, {4000, 0, 16000}}}, false, {}});
    in.demands[0].patience_s = 60;
    p = autoscaler::make_plan(in);
    EXPECT_TRUE(p.rent.empty());
    EXPECT_TRUE(p.wanted.contains(MachineId("host-1")));
}

Job submitted(const std::string& id, wire::Shape shape, TaskIndex tasks, const std::string& image,
              WallTime at) {
    Job job;
    job.spec.id = JobId(id);
    job.spec.shape = shape;
    job.spec.tasks = tasks;
    job.spec.image = image;
    job.submitted = at;
    return job;
}

// A gang asks for a machine for each member, any other job for one; a job counts once, and for four minutes.
TEST(ArrivalStatistics, CountsMachinesWithinItsWindow) {
    autoscaler::ArrivalStatistics arrivals;
    EXPECT_TRUE(arrivals.empty());
    const Job gang = submitted("job-1", wire::Shape::gang, 6, "a", WallTime(1'000));
    arrivals.record(gang);
    arrivals.record(gang);
    arrivals.record(submitted("job-2", wire::Shape::array, 100, "b", WallTime(51'000)));
    arrivals.record(submitted("job-3", wire::Shape::array, 100, "b", WallTime(21'000)));
    EXPECT_EQ(arrivals.latest_spec().id, JobId("job-2"));
    EXPECT_DOUBLE_EQ(arrivals.machines_per_s(WallTime(101'000)), 8.0 / 100);
    EXPECT_DOUBLE_EQ(arrivals.machines_per_s(WallTime(2'000)), 8.0 / 30);  // over 30 s at least
    EXPECT_DOUBLE_EQ(arrivals.image_shares().at("a"), 0.75);
    EXPECT_DOUBLE_EQ(arrivals.image_shares().at("b"), 0.25);
    arrivals.expire(WallTime(241'000));
    EXPECT_EQ(arrivals.image_shares().size(), 2U);
    arrivals.expire(WallTime(241'001));
    EXPECT_EQ(arrivals.image_shares().size(), 1U);
    EXPECT_DOUBLE_EQ(arrivals.machines_per_s(WallTime(241'001)), 2.0 / 240);
    arrivals.expire(WallTime(300'000));
    EXPECT_TRUE(arrivals.empty());
}

// Only of many demands are those alike joined; what may go elsewhere stays apart.
TEST(AutoscalingDemand, MergesJobsWithTheSameEligibleMachines) {
    wire::JobSpec any;
    any.need = {1000, 0, 1000};
    wire::JobSpec in_zone = any, of_type = any, spot = any, urgent = any, large = any;
    in_zone.zone = "a";
    of_type.types = {{"small"}};
    spot.spot = true;
    urgent.rank = wire::Rank::critical;
    large.need.cpu = 2000;
    const std::vector<const wire::JobSpec*> specs{&any, &in_zone, &of_type, &spot, &urgent, &large};
    std::vector<autoscaler::Demand> demands;
    for (int i = 0; i < 10; ++i)
        for (const auto* spec : specs) demands.push_back({spec, {}, 2, 10.0 + i, 20.0 - 0.5 * i});
    EXPECT_EQ(autoscaler::merge(demands).size(), 60U);
    for (const auto* spec : specs) demands.push_back({spec, "b", 2, 10, 20});
    const auto merged = autoscaler::merge(demands);
    // Patience of 20 s, of 10 to 20 s, and the pinned ones.
    ASSERT_EQ(merged.size(), 3 * specs.size());
    for (std::size_t i = 0; i < specs.size(); ++i) {
        EXPECT_EQ(merged[i].spec, specs[i]);
        EXPECT_EQ(merged[i].tasks, 2U);
        const auto& joined = merged[specs.size() + i];
        EXPECT_EQ(joined.spec, specs[i]);
        EXPECT_EQ(joined.tasks, 18U);
        EXPECT_DOUBLE_EQ(joined.run_s, 15);
        EXPECT_DOUBLE_EQ(joined.patience_s, 15.5);
        EXPECT_EQ(merged[2 * specs.size() + i].pin, "b");
    }
}

// The world as a list of what was asked of it.
class Asked : public Env {
  public:
    SteadyTime now() override { return SteadyTime(std::chrono::seconds(1000)); }
    WallTime wall() override { return {}; }
    TimerId after(Duration, std::function<void()>) override { return ++timers_; }
    void cancel(TimerId) override {}
    void http(const std::string&, HttpRequest req, Duration, Reply) override { paths.push_back(req.path); }
    void send_peer(const NodeName&, std::string) override {}
    std::mt19937_64& rng() override { return rng_; }
    std::vector<std::string> paths;

  private:
    TimerId timers_ = 0;
    std::mt19937_64 rng_{1};
};

// Decisions may ask for more than there is: questions about jobs have a share that these can't take.
TEST(StoreRateLimit, ReadsForUsersHaveAReservedShare) {
    Asked env;
    const Settings settings = parse_settings(good_settings);
    StoreClient store(env, settings);
    for (int i = 0; i < 300; ++i)
        store.get("z/t/job-1/" + std::to_string(i), RequestPriority::decision, [](const GetResult&) {});
    const std::size_t before = env.paths.size();
    EXPECT_LT(before, 200U);
    for (int i = 0; i < 30; ++i)
        store.get("z/j/job-" + std::to_string(i), RequestPriority::user, [](const GetResult&) {});
    EXPECT_EQ(env.paths.size(), before + 30);
    EXPECT_EQ(env.paths.back(), "/store/z/j/job-29");
}

// What users and workers may hold is what our own calls leave, at any valid number of sockets and
// controllers.
TEST(Settings, SocketsAreDividedAmongUses) {
    Settings s = parse_settings(good_settings);
    for (const std::uint32_t sockets : {32U, 900U, 3194U, 10'000'000U})
        for (const std::size_t peers : {0U, 2U, 6U, 40U}) {
            s.max_sockets = sockets;
            s.seeds.assign(peers, Seed{NodeName("n9"), "a", "10.0.0.9:1"});
            const auto share = s.sockets();
            for (const std::size_t n : {share.state, share.cloud, share.workers, share.server})
                EXPECT_GE(n, 2U);
            if (sockets >= 900) {
                EXPECT_LE(share.state + share.cloud + share.workers + share.peers + share.server, sockets);
            }
        }
    // All workers of the largest deployment known may come to one controller.
    s.max_sockets = 2991;
    s.seeds.resize(2);
    EXPECT_GT(s.sockets().server, 2000U);
}

}  // namespace
}  // namespace zincdyke
