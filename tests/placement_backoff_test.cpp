// When rounds of a kind of job are held back.
#include "jobs/placement_backoff.h"

#include <gtest/gtest.h>

namespace zincdyke {
namespace {

Job job_that_needs(std::int64_t cpu) {
    Job job;
    job.spec.job_class = "small";
    job.spec.need = {cpu, 0, 0};
    return job;
}

TEST(PlacementBackoff, KeepsRoundsOfOneKindApart) {
    PlacementBackoff backoff;
    const SteadyTime now{std::chrono::seconds(100)};
    const Job job = job_that_needs(1000);
    Job other = job;
    other.spec.job_class = "large";
    EXPECT_TRUE(backoff.may_start_round(job, now));
    backoff.on_round_started(PlacementGroup::of(job), now);
    EXPECT_FALSE(backoff.may_start_round(job, now + millis(29)));
    EXPECT_TRUE(backoff.may_start_round(other, now));
    EXPECT_TRUE(backoff.may_start_round(job, now + millis(30)));
}

TEST(PlacementBackoff, HoldsBackWhatNeedsAsMuchAsWhatFailed) {
    PlacementBackoff backoff;
    const SteadyTime now{std::chrono::seconds(100)}, until = now + millis(400);
    backoff.on_placement_failed(job_that_needs(2000), now, until);
    EXPECT_TRUE(backoff.may_start_round(job_that_needs(1999), now));
    EXPECT_FALSE(backoff.may_start_round(job_that_needs(2000), now));
    EXPECT_TRUE(backoff.may_start_round(job_that_needs(2000), until));
    // The least need that failed counts.
    backoff.on_placement_failed(job_that_needs(3000), now, until);
    EXPECT_FALSE(backoff.may_start_round(job_that_needs(2000), now));
    backoff.on_placement_failed(job_that_needs(1000), now, until);
    EXPECT_FALSE(backoff.may_start_round(job_that_needs(1000), now));
}

TEST(PlacementBackoff, FreedCapacityEndsIt) {
    PlacementBackoff backoff;
    const SteadyTime now{std::chrono::seconds(100)}, until = now + millis(400);
    Job job = job_that_needs(2000);
    job.spec.types = {{"cpu-8"}};
    backoff.on_placement_failed(job, now, until);
    EXPECT_TRUE(backoff.on_capacity_freed("cpu-8", {1999, 0, 0}).empty());
    EXPECT_TRUE(backoff.on_capacity_freed("gpu-8", {2000, 0, 0}).empty());
    EXPECT_FALSE(backoff.may_start_round(job, now));
    EXPECT_EQ(backoff.on_capacity_freed("cpu-8", {2000, 0, 0}).size(), 1U);
    EXPECT_TRUE(backoff.may_start_round(job, now));
}

}  // namespace
}  // namespace zincdyke
