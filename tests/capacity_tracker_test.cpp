// Free capacity and what is reserved of it.
#include "workers/capacity_tracker.h"

#include <gtest/gtest.h>

#include "fake_state_observer.h"
#include "manual_env.h"

namespace zincdyke::testing {
namespace {

class IgnoringObserver : public MachineRemovalObserver {
  public:
    void on_machine_removed(const MachineId&) override {}
};

class CapacityTrackerTest : public ::testing::Test {
  protected:
    CapacityTrackerTest() {
        wire::MachineType type;
        type.name = "t";
        type.capacity = {8000, 0, 8000};
        type.zones = {"a"};
        cache_.apply({keys::machine_types, wire::machine_types_to_json({type}), Revision{1}});
        machine().type = "t";
    }
    static Settings small_settings() {
        Settings settings;
        settings.store_limits.value_kb = settings.strictest_limits.value_kb = 4;
        return settings;
    }
    Machine& machine() { return registry_.find_or_add(id_); }
    std::int64_t free_cpu() { return tracker_.free_capacity(id_, machine()).cpu; }

    const Resources need_{1000, 0, 1000};
    const MachineId id_{"m1"};
    const wire::RoundId round_{NodeName("n0"), 1};
    const Settings settings_ = small_settings();
    ManualEnv env_;
    FakeStateObserver state_observer_;
    IgnoringObserver removal_observer_;
    StateCache cache_{settings_, state_observer_};
    MachineRegistry registry_{env_, removal_observer_};
    CapacityTracker tracker_{env_, cache_, registry_};
};

TEST_F(CapacityTrackerTest, OffersReserveUntilTheDecision) {
    EXPECT_EQ(free_cpu(), 8000);
    tracker_.reserve_offers(round_, need_, {{id_, "a", 0}, {id_, "a", 0}});
    EXPECT_EQ(free_cpu(), 6000);
    EXPECT_FALSE(tracker_.is_idle(id_, machine()));
    tracker_.release_offers(round_);
    EXPECT_EQ(free_cpu(), 8000);
    EXPECT_TRUE(tracker_.is_idle(id_, machine()));
}

TEST_F(CapacityTrackerTest, OffersWithoutADecisionExpire) {
    tracker_.reserve_offers(round_, need_, {{id_, "a", 0}});
    env_.stall(millis(2500));
    tracker_.expire_reservations();
    EXPECT_EQ(free_cpu(), 7000);
    env_.stall(millis(1));
    tracker_.expire_reservations();
    EXPECT_EQ(free_cpu(), 8000);
}

TEST_F(CapacityTrackerTest, RoundAskedTwiceReservesOnce) {
    tracker_.reserve_offers(round_, need_, {{id_, "a", 0}});
    tracker_.reserve_offers(round_, need_, {{id_, "a", 0}});
    EXPECT_EQ(free_cpu(), 7000);
}

TEST_F(CapacityTrackerTest, StartsReserveUntilTheyAreCommitted) {
    const TaskRef task{JobId("a"), 0};
    tracker_.reserve_start(task, id_, need_);
    EXPECT_TRUE(tracker_.is_start_pending(task));
    EXPECT_EQ(free_cpu(), 7000);
    tracker_.release_start(task);
    tracker_.release_start(task);
    EXPECT_FALSE(tracker_.is_start_pending(task));
    EXPECT_EQ(free_cpu(), 8000);
}

TEST_F(CapacityTrackerTest, ComputedOnceUntilSomethingChanges) {
    EXPECT_EQ(free_cpu(), free_cpu());
    EXPECT_EQ(tracker_.computation_count(), 1U);
    tracker_.invalidate(id_);
    EXPECT_EQ(free_cpu(), 8000);
    EXPECT_EQ(tracker_.computation_count(), 2U);
}

// What the tasks of a job take that was not read yet is unknown: nothing is free beside them.
TEST_F(CapacityTrackerTest, UnknownJobsLeaveNothingFreeUntilJobsChange) {
    machine().active_tasks.insert({JobId("unread"), 0});
    EXPECT_EQ(free_cpu(), 0);
    EXPECT_EQ(free_cpu(), 0);
    EXPECT_EQ(tracker_.computation_count(), 1U);
    tracker_.on_jobs_changed();
    EXPECT_EQ(free_cpu(), 0);
    EXPECT_EQ(tracker_.computation_count(), 2U);
}

}  // namespace
}  // namespace zincdyke::testing
