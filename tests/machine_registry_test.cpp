// The machines that a leader knows.
#include "workers/machine_registry.h"

#include <gtest/gtest.h>

#include "manual_env.h"

namespace zincdyke::testing {
namespace {

class RecordingObserver : public MachineRemovalObserver {
  public:
    void on_machine_removed(const MachineId& id) override { removed.push_back(id.value()); }
    std::vector<std::string> removed;
};

TEST(MachineRegistry, RemovalIsToldOnceAndOnlyOfKnownMachines) {
    ManualEnv env;
    RecordingObserver observer;
    MachineRegistry registry(env, observer);
    registry.find_or_add(MachineId("m1"));
    registry.find_or_add(MachineId("m2"));
    registry.remove(MachineId("m3"));
    EXPECT_TRUE(observer.removed.empty());
    registry.remove(MachineId("m1"));
    registry.remove(MachineId("m1"));
    registry.remove_if([](const MachineId& id, const Machine&) { return id == MachineId("m2"); });
    EXPECT_EQ(observer.removed, (std::vector<std::string>{"m1", "m2"}));
    EXPECT_EQ(registry.begin(), registry.end());
}

TEST(MachineRegistry, SilenceCountsFromWhenAMachineWasFirstKnown) {
    ManualEnv env;
    RecordingObserver observer;
    MachineRegistry registry(env, observer);
    const SteadyTime begun = env.now();
    registry.find_or_add(MachineId("m1"));
    env.stall(seconds(5));
    EXPECT_EQ(registry.find_or_add(MachineId("m1")).monitored_since, begun);
}

TEST(MachineRegistry, HeartbeatReplacesWhatIsKnownOfTasks) {
    Machine machine;
    wire::Heartbeat message;
    message.sequence = {1, 1};
    message.tasks = {{{JobId("a"), 0}, 1, wire::TaskPhase::running, wire::ExitCause::none, false},
                     {{JobId("a"), 1}, 2, wire::TaskPhase::ended, wire::ExitCause::done, false}};
    machine.cached_capacity.free = Resources{1, 0, 1};
    machine.apply_heartbeat(message, Term{1}, HeartbeatSource::agent, SteadyTime{});
    EXPECT_EQ(machine.active_tasks, (std::set<TaskRef>{{JobId("a"), 0}}));
    EXPECT_EQ(machine.ended_attempts, (std::set<TaskAttempt>{{{JobId("a"), 1}, 2}}));
    EXPECT_FALSE(machine.cached_capacity.free);
    message.sequence = {1, 2};
    message.tasks.clear();
    machine.apply_heartbeat(message, Term{1}, HeartbeatSource::agent, SteadyTime{});
    EXPECT_TRUE(machine.active_tasks.empty());
    EXPECT_TRUE(machine.ended_attempts.empty());
}

TEST(MachineRegistry, TerminatedMachinesAreRememberedUpToALimit) {
    ManualEnv env;
    RecordingObserver observer;
    MachineRegistry registry(env, observer);
    for (int i = 0; i <= 16'384; ++i) registry.mark_terminated(MachineId("m" + std::to_string(i)));
    EXPECT_FALSE(registry.is_terminated(MachineId("m0")));
    EXPECT_TRUE(registry.is_terminated(MachineId("m1")));
    EXPECT_TRUE(registry.is_terminated(MachineId("m16384")));
}

}  // namespace
}  // namespace zincdyke::testing
