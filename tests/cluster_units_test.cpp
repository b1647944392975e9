// The classes that ClusterCoordinator is made of, each alone: their states and what moves them.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "cluster/autoscaler_election.h"
#include "cluster/cache_freshness.h"
#include "cluster/job_roles.h"
#include "cluster/membership.h"
#include "cluster/pending_reads.h"
#include "cluster/rendezvous_hash.h"
#include "cluster/session_keeper.h"
#include "cluster/shard_leadership.h"
#include "cluster/state_watcher.h"
#include "cluster/write_budget_share.h"
#include "fake_state_observer.h"
#include "manual_env.h"

namespace zincdyke::testing {
namespace {

class CountingClusterObserver : public ClusterObserver {
  public:
    void on_leadership_acquired(std::uint32_t shard) override { acquired.push_back(shard); }
    void on_state_read(SteadyTime sent) override { read_at = sent; }
    std::vector<std::uint32_t> acquired;
    SteadyTime read_at{};
};

// Controller n0 of n0 and n1, with two shards: n0 is the home of the first.
class ClusterUnit : public ::testing::Test {
  protected:
    static Settings two_controllers() {
        Settings settings;
        settings.node = NodeName("n0");
        settings.seeds = {Seed{NodeName("n1"), "a", "10.0.0.2:1"}};
        settings.controller_count = 2;
        settings.store_address = "store";
        settings.lease_s = 10;
        settings.store_rps = 200;
        settings.store_limits.value_kb = 8;
        settings.store_limits.write_rps = 100;
        settings.store_limits.txn_ops = 8;
        settings.strictest_limits = settings.store_limits;
        return settings;
    }
    void put_session(const std::string& node, std::uint64_t revision) {
        state_cache.apply({keys::node(NodeName(node)), Json::object(), Revision{revision}});
    }
    void put_leader(std::uint32_t shard, const std::string& node, std::uint64_t revision) {
        state_cache.apply({keys::shard(shard), Json{{"owner", node}, {"inc", 1}}, Revision{revision}});
    }

    // Starts the watcher, and answers its list and the watch by which it catches up with `revision`.
    void load(StateWatcher& watcher, const std::string& list, std::uint64_t revision) {
        watcher.start();
        env.answer("/store", 200, list);
        const std::string after = std::to_string(revision);
        env.answer("/watch?prefix=z/&after=" + after + "&hold_ms=0", 200,
                   R"({"epoch":)" + after + R"(,"news":[]})");
        env.run_for(millis(1));
    }

    const Settings settings = two_controllers();
    ManualEnv env;
    FakeStateObserver state_observer;
    CountingClusterObserver cluster_observer;
    StateCache state_cache{settings, state_observer};
    StoreClient store{env, settings};
    Membership membership{settings, state_cache};
};

TEST(RendezvousHash, PicksTheSameWhateverTheOrder) {
    const std::vector<NodeName> three{NodeName("n0"), NodeName("n1"), NodeName("n2")};
    const std::vector<NodeName> reversed(three.rbegin(), three.rend());
    const std::vector<NodeName> two{NodeName("n0"), NodeName("n2")};
    std::set<NodeName> picked;
    for (int i = 0; i < 50; ++i) {
        const std::string key = "job-" + std::to_string(i);
        const NodeName node = pick_by_hash(key, three);
        picked.insert(node);
        EXPECT_EQ(pick_by_hash(key, reversed), node);
        // Only what went to the one that is gone moves.
        if (node != NodeName("n1")) {
            EXPECT_EQ(pick_by_hash(key, two), node);
        }
    }
    EXPECT_EQ(picked.size(), 3U);
    EXPECT_TRUE(pick_by_hash("job", {}).empty());
}

TEST(CacheFreshness, IsCurrentOnlyAfterACompleteRead) {
    using State = CacheFreshness::State;
    CacheFreshness view;
    EXPECT_FALSE(view.is_loaded());
    view.on_invalidated();  // the list under way makes up for it
    EXPECT_EQ(view.state(), State::loading);
    EXPECT_FALSE(view.begin_catch_up());
    view.on_loaded();
    EXPECT_EQ(view.state(), State::stale);  // a list may be old when its answer comes
    EXPECT_TRUE(view.begin_catch_up());
    EXPECT_TRUE(view.end_catch_up());
    view.on_caught_up();
    EXPECT_EQ(view.state(), State::current);
    EXPECT_FALSE(view.begin_catch_up());
    EXPECT_FALSE(view.end_catch_up());

    view.on_invalidated();
    EXPECT_EQ(view.state(), State::stale);
    EXPECT_FALSE(view.end_catch_up());  // a watch that was sent before the doubt proves nothing
    EXPECT_TRUE(view.begin_catch_up());
    EXPECT_FALSE(view.begin_catch_up());
    EXPECT_TRUE(view.end_catch_up());
    EXPECT_FALSE(view.is_current());
    view.on_caught_up();
    EXPECT_TRUE(view.is_current());
}

TEST(CacheFreshness, DoubtWhileCatchingUpAsksForAnotherWatch) {
    CacheFreshness view;
    view.on_loaded();
    view.on_invalidated();
    EXPECT_TRUE(view.begin_catch_up());
    view.on_invalidated();
    EXPECT_FALSE(view.end_catch_up());
    EXPECT_TRUE(view.begin_catch_up());
}

TEST(CacheFreshness, StaysLoadedWhileReloading) {
    CacheFreshness view;
    view.on_reload();
    EXPECT_FALSE(view.is_loaded());
    view.on_loaded();
    view.on_reload();
    EXPECT_TRUE(view.is_loaded());
    EXPECT_TRUE(view.is_list_in_progress());
    view.on_invalidated();
    EXPECT_EQ(view.state(), CacheFreshness::State::reloading);
    view.on_loaded();
    EXPECT_FALSE(view.is_current());
    EXPECT_TRUE(view.begin_catch_up());
    EXPECT_TRUE(view.end_catch_up());
    view.on_caught_up();
    EXPECT_TRUE(view.is_current());
}

TEST(PendingReads, OneAnswerServesAllAskedBefore) {
    PendingReads reads;
    const SteadyTime start{std::chrono::seconds(1000)};
    std::vector<std::string> answered;
    const auto note = [&](const std::string& name) {
        return [&answered, name](bool is_fresh) { answered.push_back(name + (is_fresh ? "+" : "-")); };
    };
    reads.add(start, note("a"));
    reads.add(start, [&](bool) { reads.add(start + millis(1), note("d")); });
    const auto end = reads.next_read_number();
    reads.add(start + millis(1), note("c"));
    reads.complete_before(end);
    EXPECT_EQ(answered, std::vector<std::string>{"a+"});
    reads.expire(start + millis(1701));
    EXPECT_EQ(answered.size(), 1U);
    reads.expire(start + millis(1702));
    EXPECT_EQ(answered, (std::vector<std::string>{"a+", "c-", "d-"}));
    EXPECT_TRUE(reads.empty());
}

TEST_F(ClusterUnit, SessionOpensWithTheRecordAndIsReplacedWhenLost) {
    int lost = 0;
    SessionKeeper session(env, settings, store, state_cache, [&] { ++lost; });
    session.start();
    EXPECT_EQ(session.lease_id(), 0U);
    env.answer("/grants", 503);
    EXPECT_EQ(env.pending_requests("/grants"), 0U);
    env.run_for(millis(250));
    env.answer("/grants", 200, R"({"tether":7})");
    EXPECT_EQ(session.lease_id(), 7U);
    EXPECT_FALSE(session.is_open());
    EXPECT_NE(env.answer("/commit", 200, R"({"epoch":5})").body.find(R"("tether":7)"), std::string::npos);
    EXPECT_TRUE(session.is_open());
    EXPECT_EQ(session.incarnation(), Revision{5});
    EXPECT_TRUE(membership.is_live(settings.node));

    env.run_for(seconds(1));  // a quarter of the lease of 4 s
    env.answer("/grants/7/touch", 404);
    EXPECT_EQ(lost, 1);
    EXPECT_FALSE(session.is_open());
    env.run_for(
        millis(250));  // the lost lease is renewed on while another is asked for; that is no further loss
    env.answer("/grants/7/touch", 404);
    EXPECT_EQ(lost, 1);
    EXPECT_EQ(env.pending_requests("/grants"), 1U);
    env.answer("/grants", 200, R"({"tether":8})");
    env.answer("/commit", 200, R"({"epoch":9})");
    EXPECT_TRUE(session.is_open());
    EXPECT_EQ(session.lease_id(), 8U);
    EXPECT_EQ(session.incarnation(), Revision{5});
}

TEST_F(ClusterUnit, SessionRecordFollowsTheNewestLease) {
    SessionKeeper session(env, settings, store, state_cache, [] {});
    session.start();
    env.answer("/grants", 200, R"({"tether":7})");
    env.run_for(seconds(1));
    env.answer("/grants/7/touch", 404);
    env.answer("/grants", 200, R"({"tether":8})");
    EXPECT_EQ(env.pending_requests("/commit"), 1U);  // that under the old lease is still under way
    env.answer("/commit", 200, R"({"epoch":5})");
    EXPECT_FALSE(session.is_open());
    EXPECT_NE(env.answer("/commit", 200, R"({"epoch":6})").body.find(R"("tether":8)"), std::string::npos);
    EXPECT_TRUE(session.is_open());

    session.restore_record();
    EXPECT_FALSE(session.is_open());
    session.restore_record();
    EXPECT_EQ(env.pending_requests("/commit"), 1U);
    env.answer("/commit", 400);  // the lease expired meanwhile
    EXPECT_FALSE(session.is_open());
    EXPECT_EQ(env.pending_requests("/grants"), 1U);
}

TEST_F(ClusterUnit, WatcherGoesOnFromTheFirstPageOfTheList) {
    int loaded = 0;
    StateWatcher watcher(env, settings, store, state_cache, membership, cluster_observer, [&] { ++loaded; });
    const SteadyTime asked_at = env.now();
    watcher.start();
    EXPECT_FALSE(watcher.is_loaded());
    env.run_for(millis(5));
    env.answer("/store", 200,
               R"({"epoch":10,"has_next":true,"items":[{"key":"z/n/n0","value":{},"stamp":3}]})");
    EXPECT_FALSE(watcher.is_loaded());
    env.answer("/store", 200,
               R"({"epoch":20,"has_next":false,"items":[{"key":"z/n/n1","value":{},"stamp":12}]})");
    EXPECT_FALSE(watcher.is_up_to_date());
    EXPECT_EQ(loaded, 1);
    EXPECT_EQ(state_cache.applied_revision, Revision{10});
    EXPECT_EQ(cluster_observer.read_at, asked_at);
    EXPECT_EQ(membership.live_nodes().size(), 2U);
    env.answer("/watch?prefix=z/&after=10&hold_ms=0", 200, R"({"epoch":20,"news":[]})");
    EXPECT_TRUE(watcher.is_up_to_date());
    env.run_for(millis(1));
    EXPECT_EQ(env.pending_requests("/watch?prefix=z/&after=20&hold_ms=2000"), 1U);
}

TEST_F(ClusterUnit, WatcherCatchesUpAfterAStall) {
    StateWatcher watcher(env, settings, store, state_cache, membership, cluster_observer, [] {});
    load(watcher, R"({"epoch":10,"items":[]})", 10);
    EXPECT_TRUE(watcher.is_up_to_date());
    env.stall(seconds(1.2));
    EXPECT_FALSE(watcher.is_up_to_date());  // though no timer has run yet
    bool is_fresh = true;
    watcher.await_fresh_state([&](bool fresh) { is_fresh = fresh; });
    env.run_for(Duration(0));
    EXPECT_FALSE(is_fresh);
    EXPECT_FALSE(watcher.is_up_to_date());
    env.answer("/watch", 200, R"({"epoch":11,"news":[]})");  // asked before the stall: proves nothing
    EXPECT_FALSE(watcher.is_up_to_date());
    env.run_for(millis(60));
    ASSERT_GE(env.pending_requests("/watch?prefix=z/&after=11&hold_ms=0"), 1U);
    while (env.pending_requests("/watch") > 0) env.answer("/watch", 200, R"({"epoch":12,"news":[]})");
    EXPECT_TRUE(watcher.is_up_to_date());
    EXPECT_EQ(state_cache.applied_revision, Revision{12});
}

TEST_F(ClusterUnit, WatcherReloadsWhatWasCompacted) {
    StateWatcher watcher(env, settings, store, state_cache, membership, cluster_observer, [] {});
    load(watcher, R"({"epoch":10,"items":[{"key":"z/n/n1","value":{},"stamp":3}]})", 10);
    EXPECT_TRUE(watcher.is_up_to_date());
    env.answer("/watch", 410);
    EXPECT_TRUE(watcher.is_loaded());
    EXPECT_FALSE(watcher.is_up_to_date());
    env.answer("/store", 200, R"({"epoch":30,"items":[]})");
    EXPECT_FALSE(watcher.is_up_to_date());
    env.answer("/watch?prefix=z/&after=30&hold_ms=0", 200, R"({"epoch":30,"news":[]})");
    EXPECT_TRUE(watcher.is_up_to_date());
    EXPECT_FALSE(membership.is_live(NodeName("n1")));  // deleted meanwhile: does not linger
}

TEST_F(ClusterUnit, WatcherServesReadsByOneAnswer) {
    StateWatcher watcher(env, settings, store, state_cache, membership, cluster_observer, [] {});
    load(watcher, R"({"epoch":10,"items":[]})", 10);
    int fresh = 0;
    for (int i = 0; i < 3; ++i) watcher.await_fresh_state([&](bool is_fresh) { fresh += is_fresh ? 1 : 0; });
    env.run_for(millis(10));
    EXPECT_EQ(env.pending_requests("/watch?prefix=z/&after=10&hold_ms=2000"), 1U);  // may hang
    watcher.await_fresh_state([&](bool is_fresh) { fresh += is_fresh ? 1 : 0; });   // after the request below
    env.answer("/watch?prefix=z/&after=10&hold_ms=0", 200, R"({"epoch":10,"news":[]})");
    EXPECT_EQ(fresh, 3);
}

TEST_F(ClusterUnit, ClaimCountsOnceTheCacheHoldsIt) {
    int claimed = 0;
    ShardLeadership leadership(env, settings, store, state_cache, membership, cluster_observer,
                               [&] { ++claimed; });
    put_session("n0", 1);
    put_session("n1", 2);
    leadership.claim_shards(Revision{1});
    leadership.claim_shards(Revision{1});
    ASSERT_EQ(env.pending_requests("/commit"), 1U);  // the other shard's home is alive
    EXPECT_NE(env.answer("/commit", 200, R"({"epoch":5})").body.find(keys::shard(0)), std::string::npos);
    EXPECT_EQ(claimed, 1);
    leadership.claim_shards(Revision{1});
    EXPECT_EQ(env.pending_requests("/commit"), 0U);
    EXPECT_FALSE(leadership.term(0));
    leadership.announce_changes();
    EXPECT_TRUE(cluster_observer.acquired.empty());
    put_leader(0, "n0", 5);
    EXPECT_EQ(leadership.term(0), Term{5});
    leadership.announce_changes();
    leadership.announce_changes();
    EXPECT_EQ(cluster_observer.acquired, std::vector<std::uint32_t>{0});
    EXPECT_FALSE(leadership.term(2));  // there is none
}

TEST_F(ClusterUnit, TransferredShardIsTakenBackAfterThreeLeases) {
    ShardLeadership leadership(env, settings, store, state_cache, membership, cluster_observer, [] {});
    put_session("n0", 1);
    leadership.transfer_leadership(0, Revision{1});
    EXPECT_EQ(env.pending_requests("/commit"), 0U);  // to nobody
    put_session("n1", 2);
    leadership.transfer_leadership(0, Revision{1});
    EXPECT_NE(env.answer("/commit", 200, R"({"epoch":5})").body.find(R"("owner":"n1")"), std::string::npos);
    put_leader(0, "n1", 5);
    env.run_for(seconds(30));
    leadership.claim_shards(Revision{1});
    EXPECT_EQ(env.pending_requests("/commit"), 0U);
    env.run_for(millis(1));
    leadership.claim_shards(Revision{1});
    EXPECT_NE(env.answer("/commit", 409).body.find(R"("owner":"n0")"), std::string::npos);
}

TEST_F(ClusterUnit, ElectionHasOneCandidacyAtATime) {
    AutoscalerElection election(env, settings, store, state_cache, membership);
    put_session("n0", 1);
    election.campaign_if_vacant(7);
    election.campaign_if_vacant(7);
    EXPECT_EQ(env.pending_requests("/commit"), 1U);
    EXPECT_NE(env.answer("/commit", 200, R"({"epoch":5})").body.find(R"("tether":7)"), std::string::npos);
    EXPECT_FALSE(election.is_elected());  // the watch tells
    election.campaign_if_vacant(7);
    EXPECT_EQ(env.pending_requests("/commit"), 0U);
    env.run_for(millis(300));
    election.campaign_if_vacant(7);
    EXPECT_EQ(env.pending_requests("/commit"), 1U);
    state_cache.apply({keys::autoscaler_leader, Json{{"node", "n0"}}, Revision{5}});
    EXPECT_TRUE(election.is_elected());
}

// Of 100 writes a second 95 are shared out, and one is kept for submissions and sessions.
TEST_F(ClusterUnit, WritesAreSharedByDemand) {
    const NodeName peer("n1");
    put_session("n0", 1);
    put_session("n1", 2);
    WriteBudgetShare share(settings, store, state_cache, membership);
    share.on_membership_changed();
    EXPECT_EQ(store.available_writes(), 46U);  // a half
    share.recompute_shares(30, {{peer, 10}});
    env.run_for(seconds(1));
    EXPECT_EQ(store.available_writes(), 58U);  // half of a half, and three quarters of the other
    share.on_membership_changed();
    EXPECT_EQ(store.available_writes(), 58U);
    share.recompute_shares(30, {});  // a silent peer counts as an average one
    EXPECT_EQ(store.available_writes(), 46U);
    share.recompute_shares(0, {{peer, 20}});
    EXPECT_EQ(store.available_writes(), 22U);
    share.recompute_shares(0, {{peer, 0}});
    env.run_for(seconds(1));
    EXPECT_EQ(store.available_writes(), 46U);
}

TEST_F(ClusterUnit, JobRolesPassToLiveControllers) {
    Settings limited = settings;
    for (const char* name : {"a", "b"}) limited.teams[TeamName(name)] = Team{TeamName(name), 0, 1000, 0, 0};
    limited.teams[TeamName("c")] = Team{TeamName("c"), 0, 0, 0, 0};
    StateCache cache(limited, state_observer);
    const Membership members(limited, cache);
    const JobRoles roles(limited, cache, members);
    Job job;
    job.spec.id = JobId("job-1");
    job.spec.team = TeamName("c");
    job.relay = NodeName("n1");
    EXPECT_EQ(roles.relay_of(job), NodeName("n1"));  // nobody else is known
    cache.apply({keys::node(NodeName("n0")), Json::object(), Revision{1}});
    EXPECT_EQ(roles.relay_of(job), NodeName("n0"));
    EXPECT_EQ(roles.committer_of(job), NodeName("n0"));
    cache.apply({keys::node(NodeName("n1")), Json::object(), Revision{2}});
    EXPECT_EQ(roles.relay_of(job), NodeName("n1"));
    EXPECT_EQ(roles.committer_of(job), NodeName("n1"));
    // Teams with limits are dealt out in turn, whoever relays.
    job.spec.team = TeamName("a");
    EXPECT_EQ(roles.committer_of(job), NodeName("n0"));
    job.spec.team = TeamName("b");
    EXPECT_EQ(roles.committer_of(job), NodeName("n1"));
    cache.apply({keys::node(NodeName("n1")), std::nullopt, Revision{3}});
    EXPECT_EQ(roles.committer_of(job), NodeName("n0"));
}

}  // namespace
}  // namespace zincdyke::testing
