// What the state cache derives from the records, each index alone.
#include <gtest/gtest.h>

#include "store/cancelled_jobs.h"
#include "store/format_levels.h"
#include "store/machine_images.h"
#include "store/membership_index.h"
#include "store/record_versions.h"
#include "store/tasks_by_machine.h"
#include "store/team_quotas.h"

namespace zincdyke::testing {
namespace {

KeyUpdate set(const std::string& key, std::uint64_t version) {
    return {key, Json::object(), Revision{version}};
}
KeyUpdate deleted(const std::string& key, std::uint64_t version) {
    return {key, std::nullopt, Revision{version}};
}

TEST(RecordVersions, OlderNewsDoesNotBringADeletedKeyBack) {
    RecordVersions versions;
    EXPECT_TRUE(versions.update_if_newer(set("a", 3)));
    EXPECT_FALSE(versions.update_if_newer(set("a", 3)));
    EXPECT_EQ(versions.version("a"), Revision{3});
    EXPECT_TRUE(versions.update_if_newer(deleted("a", 5)));
    EXPECT_EQ(versions.version("a"), Revision{});
    EXPECT_FALSE(versions.exists("a"));
    EXPECT_FALSE(versions.update_if_newer(set("a", 4)));
    versions.forget("a");
    EXPECT_TRUE(versions.update_if_newer(set("a", 4)));
    EXPECT_TRUE(versions.exists("a"));
}

// Only those of deleted keys that the watch has passed go, once there are many.
TEST(RecordVersions, DeletedKeysAreDropped) {
    RecordVersions versions;
    for (std::uint64_t i = 1; i <= 5000; ++i) {
        EXPECT_TRUE(versions.update_if_newer(deleted("gone-" + std::to_string(i), i)));
        EXPECT_TRUE(versions.update_if_newer(set("kept-" + std::to_string(i), i)));
    }
    versions.drop_deleted(Revision{4000});
    EXPECT_TRUE(versions.update_if_newer(set("gone-3999", 1)));
    EXPECT_FALSE(versions.update_if_newer(set("gone-4000", 1)));
    EXPECT_EQ(versions.version("kept-1"), Revision{1});
}

TEST(TasksByMachine, MachineWithoutTasksIsLeftOut) {
    TasksByMachine tasks;
    const MachineId machine("host-1");
    const TaskRef first{JobId("job-1"), 0}, second{JobId("job-1"), 1};
    tasks.add(machine, first);
    tasks.add(machine, second);
    tasks.remove(machine, first);
    EXPECT_EQ(tasks.tasks_on(machine), std::set<TaskRef>{second});
    tasks.remove(machine, second);
    tasks.remove(machine, second);
    EXPECT_TRUE(tasks.tasks_on(machine).empty());
    EXPECT_TRUE(tasks.all().empty());
}

TEST(TeamQuotas, UsageAgainstLimits) {
    Settings settings;
    const TeamName blue("blue"), unknown("unknown");
    settings.teams[blue].cpu_max = 4000;
    settings.teams[blue].gpu_max = 0;  // no limit
    TeamQuotas quotas(settings);
    const Resources need{1000, 1000, 1000};
    quotas.add_placed(blue, need, 3);
    quotas.add_placed(blue, need, -1);
    EXPECT_EQ(quotas.usage(blue).cpu, 2000);
    EXPECT_EQ(quotas.usage(blue).gpu, 2000);
    EXPECT_TRUE(quotas.fits(blue, need, 2));
    EXPECT_FALSE(quotas.fits(blue, need, 3));
    EXPECT_FALSE(quotas.fits(unknown, need, 0));
    quotas.set_lock_holder(blue, NodeName("n1"));
    EXPECT_EQ(quotas.lock_holder(blue), NodeName("n1"));
    EXPECT_TRUE(quotas.lock_holder(unknown).empty());
}

TEST(MachineImages, NewestThatFitTheCache) {
    MachineImages images;
    const MachineId machine("host-1");
    images.add(machine, "old", 4, Revision{1});
    images.add(machine, "new", 6, Revision{2});
    images.add(machine, "", 1, Revision{3});
    EXPECT_TRUE(images.holds(machine, "old", 10));
    EXPECT_FALSE(images.holds(machine, "old", 9));
    EXPECT_TRUE(images.holds(machine, "new", 9));
    images.add(machine, "old", 4, Revision{4});
    EXPECT_TRUE(images.holds(machine, "old", 9));
    EXPECT_FALSE(images.holds(machine, "new", 9));
    images.forget(machine);
    EXPECT_FALSE(images.holds(machine, "old", 10));
}

TEST(MembershipIndex, ShardsKeepTheirNumber) {
    MembershipIndex membership(2);
    membership.set_shard(1, {NodeName("n1"), Term{7}});
    membership.set_shard(2, {NodeName("n2"), Term{8}});
    ASSERT_EQ(membership.shards().size(), 2U);
    EXPECT_EQ(membership.shards()[1].leader, NodeName("n1"));
    membership.set_live_node(NodeName("n1"), Revision{3});
    membership.remove_live_node(NodeName("n0"));
    EXPECT_EQ(membership.live_nodes().size(), 1U);
    membership.remove_live_node(NodeName("n1"));
    EXPECT_TRUE(membership.live_nodes().empty());
}

TEST(FormatLevels, FleetLevelNeverFalls) {
    FormatLevels levels;
    levels.raise_fleet_level(1);
    levels.raise_fleet_level(0);
    levels.set_supported_level(NodeName("n1"), 1);
    EXPECT_EQ(levels.fleet_level(), 1U);
    EXPECT_EQ(levels.supported_levels().at(NodeName("n1")), 1U);
}

TEST(CancelledJobs, UnknownOnesAreDroppedOnceThereAreMany) {
    CancelledJobs cancelled;
    EXPECT_TRUE(cancelled.add(JobId("kept")));
    EXPECT_FALSE(cancelled.add(JobId("kept")));
    const auto exists = [](const JobId& id) { return id == JobId("kept"); };
    EXPECT_TRUE(cancelled.add(JobId("other")));
    cancelled.prune_missing(exists);
    EXPECT_TRUE(cancelled.contains(JobId("other")));
    for (int i = 0; i < 20'000; ++i) cancelled.add(JobId(std::to_string(i)));
    cancelled.prune_missing(exists);
    EXPECT_FALSE(cancelled.contains(JobId("other")));
    EXPECT_TRUE(cancelled.contains(JobId("kept")));
}

}  // namespace
}  // namespace zincdyke::testing
