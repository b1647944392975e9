// A team's limit is kept by the one controller that holds the team's lock, whatever becomes of its requests.
#include <gtest/gtest.h>

#include "story.h"

namespace zincdyke::testing {
namespace {

// More work of a limited team than it may run at a time.
std::vector<std::string> submit_beyond_the_limit(World& w, int first, int jobs) {
    std::vector<std::string> ids;
    for (int i = 0; i < jobs; ++i) {
        ids.push_back(id_of(first + i));
        w.submit(w.job(ids.back(), 3 + i % 4, 1 + i % 3, 6, "blue"));
    }
    return ids;
}

std::string holder_of_blue(World& w) {
    const auto record = w.store.data.find("z/q/blue");
    return record == w.store.data.end() ? "" : record->second.first.value("node", "");
}

// Starts change only the pages of their jobs: the record is written when the lock changes hands, not with
// each start.
TEST(TeamLock, StartsDontWriteTheRecord) {
    World w;
    w.run(3);
    auto ids = submit_beyond_the_limit(w, 1, 4);
    ASSERT_TRUE(w.run_until([&] { return w.on_machines(ids[0]) > 0; }, 40));
    const auto version = w.store.data.at("z/q/blue").second;
    auto more = submit_beyond_the_limit(w, 20, 4);
    ids.insert(ids.end(), more.begin(), more.end());
    ASSERT_TRUE(told_all(w, ids, 120));
    EXPECT_EQ(w.store.data.at("z/q/blue").second, version);
    expect_rules(w);
}

// The holder ends: another takes the lock soon and goes on; back, it takes it again.
TEST(TeamLock, TakenOverFromAHolderThatEnds) {
    World w;
    w.run(3);
    auto ids = submit_beyond_the_limit(w, 1, 6);
    ASSERT_TRUE(w.run_until([&] { return w.on_machines(ids[0]) > 0; }, 40));
    const std::string first = holder_of_blue(w);
    ASSERT_FALSE(first.empty());
    const int index = first.back() - '0';
    w.crash(index);
    auto more = submit_beyond_the_limit(w, 20, 3);
    ids.insert(ids.end(), more.begin(), more.end());
    EXPECT_TRUE(w.run_until([&] { return holder_of_blue(w) != first; }, 15));
    w.run(6);
    w.start_node(index);
    EXPECT_TRUE(told_all(w, ids, 150));
    expect_rules(w);
}

// Two that can't reach each other both have starts of the team to commit: each gets its turn.
TEST(TeamLock, TwoThatCannotReachEachOther) {
    World w;
    w.run(3);
    auto ids = submit_beyond_the_limit(w, 1, 4);
    ASSERT_TRUE(w.run_until([&] { return w.on_machines(ids[0]) > 0; }, 40));
    for (const char* other : {"n1", "n2"}) w.link("n0", other, Link::drop);
    for (int i = 0; i < 6; ++i) {
        auto more = submit_beyond_the_limit(w, 10 * (i + 2), 3);
        ids.insert(ids.end(), more.begin(), more.end());
        w.run(4);
    }
    EXPECT_TRUE(told_all(w, ids, 240));
    for (const char* other : {"n1", "n2"}) w.link("n0", other, Link::up);
    expect_rules(w);
}

// The start of a whole job has no answer; more urgent work takes the team's room meanwhile, and then the
// start would be carried out after all. Its page is as it was: only the lock's new token stops it.
TEST(TeamLock, UnansweredStartOfAJobThatLostItsRoom) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        World w(seeded(seed));
        for (int i = 0; i < 8; ++i) w.add_machine("small", "a", false, 0.5);
        w.submit(w.job(id_of(100), 8, 1, 400));        // keeps the machines, and leaves room on them
        w.submit(w.job(id_of(101), 1, 1, 1, "blue"));  // the lock is held from here on
        ASSERT_TRUE(w.run_until([&] { return w.on_machines(id_of(100)) == 8; }, 60));
        ASSERT_TRUE(told_all(w, {id_of(101)}, 60));
        w.submit(w.job(id_of(1), 12, 1, 60, "blue"));
        while (!w.accepted(id_of(1)) && w.now() < 200) w.run(0.004);
        w.late_writes = 1;
        w.run(0.25);
        w.late_writes = 0;
        Json urgent = w.job(id_of(2), 12, 1, 60, "blue");
        urgent["rank"] = "critical";
        w.submit(urgent);
        EXPECT_TRUE(w.run_until([&] { return w.on_machines(id_of(2)) == 12; }, 15)) << seed;
        EXPECT_TRUE(told_all(w, {id_of(1), id_of(2)}, 300)) << seed;
        expect_rules(w);
    }
}

// Commits are carried out seconds after their time, without an answer, while the team is always at its limit,
// holders end and are cut off: no late start may go beyond the limit.
class LateStarts : public ::testing::TestWithParam<std::uint64_t> {};
TEST_P(LateStarts, KeepTheLimit) {
    World::Options o;
    o.seed = GetParam();
    World w(o);
    w.run(3);
    std::vector<std::string> ids;
    w.late_writes = 0.35;
    for (int i = 0; i < 10; ++i) {
        auto more = submit_beyond_the_limit(w, 10 * i, 4);
        ids.insert(ids.end(), more.begin(), more.end());
        const std::string holder = holder_of_blue(w);
        const int index = holder.empty() ? i % 3 : holder.back() - '0';
        if (i % 4 == 1) w.link(w.name(index), "state", Link::hold);
        if (i % 4 == 3) w.crash(index);
        if (const auto& id = ids[ids.size() - 2]; i % 4 == 2 && w.accepted(id)) w.cancel(id);
        w.run(6);
        for (int n = 0; n < 3; ++n) {
            w.link(w.name(n), "state", Link::up);
            w.start_node(n);
        }
    }
    w.late_writes = 0;
    w.run(14);
    EXPECT_TRUE(told_all(w, ids, 400));
    expect_rules(w);
    // No room of the team leaked.
    w.run(3);
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(w.node(n).state_cache().quota_usage(zincdyke::TeamName("blue")).cpu, 0) << n;
}
INSTANTIATE_TEST_SUITE_P(Seeds, LateStarts, ::testing::Range<std::uint64_t>(1, 9));

// The state service is read anew while starts are committed: what the list lacks of them is waited for.
TEST(TeamLock, StateReadAnewWhileStarting) {
    World::Options o;
    o.list_page = 2;  // a list takes long, and its first pages are old when it ends
    World w(o);
    w.run(3);
    std::vector<std::string> ids;
    for (int i = 0; i < 8; ++i) {
        auto more = submit_beyond_the_limit(w, 10 * i, 5);
        ids.insert(ids.end(), more.begin(), more.end());
        w.run(1.5);
        w.store.longest_news = 600;  // longer answers of the watch don't get through
        w.run(2.5);
        w.store.longest_news = 0;
    }
    EXPECT_TRUE(told_all(w, ids, 400));
    expect_rules(w);
}

}  // namespace
}  // namespace zincdyke::testing
