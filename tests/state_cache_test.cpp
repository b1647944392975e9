// The shared view: what is read in any order comes out the same.
#include <gtest/gtest.h>

#include "deployment_helpers.h"
#include "fake_state_observer.h"

namespace zincdyke::testing {
namespace {

using zincdyke::JobId;
using zincdyke::KeyUpdate;
using zincdyke::Revision;

// Found by Pairs/501: a list's later answers were newer than its first ones, so that a page came before its
// job. When the watch brought both in their order the page was skipped as known, and its tasks were taken for
// pending.
TEST(StateCache, PageReadBeforeItsJobIsAppliedLater) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 2, 1, 500));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.workers.executing_tasks(job_id(1)) == 2; }, 60));
    const std::string job = "z/j/" + job_id(1), page = "z/t/" + job_id(1) + "/0";
    auto item = [&](const std::string& key) {
        return KeyUpdate{key, deployment.store.data.at(key).value,
                         Revision{deployment.store.data.at(key).revision}};
    };
    zincdyke::Settings settings;
    settings.store_limits.value_kb = settings.strictest_limits.value_kb = 4;
    FakeStateObserver observer;
    zincdyke::StateCache m(settings, observer);
    m.apply(item(page));
    EXPECT_EQ(m.job(JobId(job_id(1))), nullptr);
    m.apply(item(job));
    m.apply(item(page));
    ASSERT_NE(m.job(JobId(job_id(1))), nullptr);
    EXPECT_EQ(m.job(JobId(job_id(1)))->placed_tasks, 2U);
    EXPECT_TRUE(m.orphaned_pages().empty());
}

// A peer's word that a job is cancelled outlasts older versions of its record, and a list that was read
// before it.
TEST(StateCache, CancellationOutlastsOlderRecords) {
    SimulatedDeployment deployment;
    deployment.run(3);
    deployment.submit(deployment.job(job_id(1), 2, 1, 500));
    ASSERT_TRUE(deployment.run_until([&] { return deployment.is_accepted(job_id(1)); }, 10));
    const std::string job = "z/j/" + job_id(1);
    const KeyUpdate item{job, deployment.store.data.at(job).value,
                         Revision{deployment.store.data.at(job).revision}};
    zincdyke::Settings settings;
    settings.store_limits.value_kb = settings.strictest_limits.value_kb = 4;
    FakeStateObserver observer;
    zincdyke::StateCache m(settings, observer);
    m.apply(item);
    EXPECT_FALSE(m.job(JobId(job_id(1)))->cancelled);
    m.mark_cancelled(JobId(job_id(1)));
    EXPECT_TRUE(m.job(JobId(job_id(1)))->cancelled);
    m.apply({job, item.value,
             Revision{item.version.value() + 1}});  // handed over, by whoever had not read the cancellation
    EXPECT_TRUE(m.job(JobId(job_id(1)))->cancelled);
    EXPECT_EQ(observer.cancelled_jobs, 1);
    m.apply_list({item}, item.version);
    EXPECT_TRUE(m.job(JobId(job_id(1)))->cancelled);
}

}  // namespace
}  // namespace zincdyke::testing
