// The shared view: what is read in any order comes out the same.
#include <gtest/gtest.h>

#include "fake_state_observer.h"
#include "story.h"

namespace zincdyke::testing {
namespace {

using zincdyke::JobId;
using zincdyke::KeyUpdate;
using zincdyke::Revision;

// Found by Pairs/501: a list's later answers were newer than its first ones, so that a page came before its
// job. When the watch brought both in their order the page was skipped as known, and its tasks were taken for
// pending.
TEST(StateCache, PageBeforeItsJob) {
    World w;
    w.run(3);
    w.submit(w.job(id_of(1), 2, 1, 500));
    ASSERT_TRUE(w.run_until([&] { return w.on_machines(id_of(1)) == 2; }, 60));
    const std::string job = "z/j/" + id_of(1), page = "z/t/" + id_of(1) + "/0";
    auto item = [&](const std::string& key) {
        return KeyUpdate{key, w.store.data.at(key).first, Revision{w.store.data.at(key).second}};
    };
    zincdyke::Settings settings;
    settings.state_limits.value_kb = settings.strictest_limits.value_kb = 4;
    FakeStateObserver observer;
    zincdyke::StateCache m(settings, observer);
    m.apply(item(page));
    EXPECT_EQ(m.job(JobId(id_of(1))), nullptr);
    m.apply(item(job));
    m.apply(item(page));
    ASSERT_NE(m.job(JobId(id_of(1))), nullptr);
    EXPECT_EQ(m.job(JobId(id_of(1)))->placed, 2U);
    EXPECT_TRUE(m.orphaned_pages().empty());
}

// A peer's word that a job is cancelled outlasts older versions of its record, and a list that was read
// before it.
TEST(StateCache, WordOfACancellationStays) {
    World w;
    w.run(3);
    w.submit(w.job(id_of(1), 2, 1, 500));
    ASSERT_TRUE(w.run_until([&] { return w.accepted(id_of(1)); }, 10));
    const std::string job = "z/j/" + id_of(1);
    const KeyUpdate item{job, w.store.data.at(job).first, Revision{w.store.data.at(job).second}};
    zincdyke::Settings settings;
    settings.state_limits.value_kb = settings.strictest_limits.value_kb = 4;
    FakeStateObserver observer;
    zincdyke::StateCache m(settings, observer);
    m.apply(item);
    EXPECT_FALSE(m.job(JobId(id_of(1)))->cancelled);
    m.mark_cancelled(JobId(id_of(1)));
    EXPECT_TRUE(m.job(JobId(id_of(1)))->cancelled);
    m.apply({job, item.value,
             Revision{item.version.value() + 1}});  // handed over, by whoever had not read the cancellation
    EXPECT_TRUE(m.job(JobId(id_of(1)))->cancelled);
    EXPECT_EQ(observer.cancelled_jobs, 1);
    m.clear();
    m.apply(item);
    EXPECT_TRUE(m.job(JobId(id_of(1)))->cancelled);
}

}  // namespace
}  // namespace zincdyke::testing
