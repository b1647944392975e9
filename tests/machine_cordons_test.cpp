// Faulty machines and faulty jobs.
#include "workers/machine_cordons.h"

#include <gtest/gtest.h>

#include "manual_env.h"

namespace zincdyke::testing {
namespace {

Job job_named(const std::string& name, wire::Shape shape = wire::Shape::array) {
    Job job;
    job.spec.id = JobId(name);
    job.spec.shape = shape;
    return job;
}

TEST(MachineCordons, EachErrorCordonsForLonger) {
    ManualEnv env;
    MachineCordons cordons(env);
    const MachineId machine("m1");
    cordons.on_task_failed(machine, job_named("a"));
    env.stall(seconds(9.9));
    EXPECT_TRUE(cordons.is_cordoned(machine));
    env.stall(seconds(0.1));
    EXPECT_FALSE(cordons.is_cordoned(machine));
    cordons.on_task_failed(machine, job_named("a"));
    env.stall(seconds(19.9));
    EXPECT_TRUE(cordons.is_cordoned(machine));
    EXPECT_EQ(cordons.error_count(machine), 2);
    cordons.on_task_completed(machine);
    EXPECT_EQ(cordons.error_count(machine), 0);
    EXPECT_TRUE(cordons.is_cordoned(machine)) << "a completed task ends no cordon";
}

TEST(MachineCordons, JobThatFailsOnThreeMachinesIsAtFaultItself) {
    ManualEnv env;
    MachineCordons cordons(env);
    const Job job = job_named("a");
    for (const char* name : {"m1", "m2", "m3"}) cordons.on_task_failed(MachineId(name), job);
    EXPECT_TRUE(cordons.is_cordoned(MachineId("m2")));
    EXPECT_FALSE(cordons.is_cordoned(MachineId("m3")));
    ASSERT_NE(cordons.machines_with_failed_tasks(JobId("a")), nullptr);
    EXPECT_TRUE(cordons.machines_with_failed_tasks(JobId("a"))->contains(MachineId("m3")));
    EXPECT_EQ(cordons.machines_with_failed_tasks(JobId("b")), nullptr);
}

TEST(MachineCordons, ServiceCountsOnceAgainstAMachine) {
    ManualEnv env;
    MachineCordons cordons(env);
    const Job job = job_named("a", wire::Shape::service);
    for (int i = 0; i < 3; ++i) cordons.on_task_failed(MachineId("m1"), job);
    EXPECT_EQ(cordons.error_count(MachineId("m1")), 1);
}

// Where the table is full its first entry goes, also when that is the one just written.
TEST(MachineCordons, FullTableOfFailedJobs) {
    ManualEnv env;
    MachineCordons cordons(env);
    for (int i = 0; i < 1000; ++i)
        cordons.on_task_failed(MachineId("other"), job_named("b" + std::to_string(i)));
    cordons.on_task_failed(MachineId("m1"), job_named("a"));
    EXPECT_EQ(cordons.machines_with_failed_tasks(JobId("a")), nullptr);
    EXPECT_TRUE(cordons.is_cordoned(MachineId("m1")));
}

TEST(MachineCordons, LongerCordonStays) {
    ManualEnv env;
    MachineCordons cordons(env);
    cordons.cordon(MachineId("m1"), seconds(10));
    cordons.cordon(MachineId("m1"), seconds(3));
    env.stall(seconds(5));
    EXPECT_TRUE(cordons.is_cordoned(MachineId("m1")));
    cordons.on_machine_removed(MachineId("m1"));
    EXPECT_FALSE(cordons.is_cordoned(MachineId("m1")));
}

}  // namespace
}  // namespace zincdyke::testing
