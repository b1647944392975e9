// What became of committed starts, and how long they took.
#include "workers/start_tracker.h"

#include <gtest/gtest.h>

#include "fake_state_observer.h"
#include "manual_env.h"

namespace zincdyke::testing {
namespace {

class StartTrackerTest : public ::testing::Test {
  protected:
    StartTrackerTest() { job_.spec.job_class = "batch"; }
    static Settings small_settings() {
        Settings settings;
        settings.store_limits.value_kb = settings.strictest_limits.value_kb = 4;
        return settings;
    }
    void observe(wire::TaskPhase phase) {
        tracker_.on_task_reported(id_, {attempt_.task, attempt_.attempt, phase, wire::ExitCause::none, false},
                                  3, job_);
    }
    // Starts of the class by the time that the step took, in the buckets of StartDurationHistograms.
    StartDurationHistograms::Histogram times_of(StartStep step) const {
        const auto& classes = tracker_.start_durations().by_class();
        const auto found = classes.find("batch");
        return found == classes.end() ? StartDurationHistograms::Histogram{}
                                      : found->second[static_cast<std::size_t>(step)];
    }

    const MachineId id_{"m1"};
    const TaskAttempt attempt_{{JobId("a"), 0}, 1};
    const Settings settings_ = small_settings();
    Job job_;
    ManualEnv env_;
    FakeStateObserver observer_;
    StateCache cache_{settings_, observer_};
    StartTracker tracker_{env_, cache_};
};

TEST_F(StartTrackerTest, DeliveryTellsWhatWasSentAndObserved) {
    EXPECT_EQ(tracker_.start_delivery(id_, attempt_), nullptr);
    tracker_.on_start_sent(id_, attempt_, 2);
    tracker_.on_start_sent(id_, attempt_, 3);
    const StartDelivery* delivery = tracker_.start_delivery(id_, attempt_);
    ASSERT_NE(delivery, nullptr);
    EXPECT_EQ(delivery->sent_count, 2);
    EXPECT_EQ(delivery->agent_epoch, 3U);
    EXPECT_FALSE(delivery->was_reported);
    observe(wire::TaskPhase::fetching);
    EXPECT_TRUE(tracker_.start_delivery(id_, attempt_)->was_reported);
    EXPECT_EQ(tracker_.start_delivery(id_, {attempt_.task, 2}), nullptr);
    tracker_.on_machine_removed(id_);
    EXPECT_EQ(tracker_.start_delivery(id_, attempt_), nullptr);
}

TEST_F(StartTrackerTest, StepsAreCountedOnceWhenTheTaskRuns) {
    StartProgress progress;
    progress.queue_duration = seconds(4);
    progress.assigned_at = env_.now();
    env_.stall(millis(100));
    tracker_.on_start_committed(id_, attempt_, progress);
    env_.stall(millis(700));
    tracker_.on_start_sent(id_, attempt_, 3);
    env_.stall(seconds(7));
    observe(wire::TaskPhase::fetching);
    env_.stall(seconds(1));
    observe(wire::TaskPhase::waiting);
    EXPECT_TRUE(tracker_.start_durations().by_class().empty());
    env_.stall(millis(1500));
    observe(wire::TaskPhase::running);
    observe(wire::TaskPhase::running);
    EXPECT_EQ(times_of(StartStep::queue), (StartDurationHistograms::Histogram{0, 0, 0, 1, 0, 0, 0}));
    EXPECT_EQ(times_of(StartStep::commit), (StartDurationHistograms::Histogram{1, 0, 0, 0, 0, 0, 0}));
    EXPECT_EQ(times_of(StartStep::delivery), (StartDurationHistograms::Histogram{0, 1, 0, 0, 0, 0, 0}));
    EXPECT_EQ(times_of(StartStep::image), (StartDurationHistograms::Histogram{0, 0, 0, 0, 1, 0, 0}));
    EXPECT_EQ(times_of(StartStep::gang), (StartDurationHistograms::Histogram{0, 0, 1, 0, 0, 0, 0}));
}

TEST_F(StartTrackerTest, StartThatAnotherLeaderSentIsNotCounted) {
    tracker_.on_start_committed(id_, attempt_, {});
    observe(wire::TaskPhase::running);
    EXPECT_TRUE(tracker_.start_durations().by_class().empty());
}

TEST_F(StartTrackerTest, AttemptsThatAreOverAreDroppedOnceThereAreMany) {
    for (TaskIndex i = 0; i < 32; ++i) tracker_.on_start_sent(id_, {{JobId("a"), i}, 1}, 3);
    tracker_.prune(id_);
    EXPECT_NE(tracker_.start_delivery(id_, attempt_), nullptr);
    tracker_.on_start_sent(id_, {{JobId("a"), 32}, 1}, 3);
    tracker_.prune(id_);
    EXPECT_EQ(tracker_.start_delivery(id_, attempt_), nullptr);
}

}  // namespace
}  // namespace zincdyke::testing
