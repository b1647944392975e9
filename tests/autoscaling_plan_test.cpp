// The pure functions of the autoscaler: demand, arrivals and the plan.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "autoscaler/arrivals.h"
#include "autoscaler/demand.h"
#include "autoscaler/plan.h"

namespace zincdyke {
namespace {

TEST(AutoscalingPlan, ScalesOutForJobsThatCannotWait) {
    wire::MachineType small{"small", {4000, 0, 16000}, 50, 1, 1.0, 0.4, 10, {"a"}};
    std::vector<wire::MachineType> types{small};
    wire::JobSpec spec;
    spec.need = {1000, 0, 1000};
    spec.spot = false;
    autoscaler::PlanInput in;
    in.machine_types = &types;
    in.demands.push_back({&spec, {}, 8, 20, 5});
    auto p = autoscaler::make_plan(in);
    ASSERT_EQ(p.new_machines.size(), 1U);
    EXPECT_EQ(p.new_machines.begin()->second, 2U);
    EXPECT_FALSE(p.new_machines.begin()->first.spot);
    // Patient work takes turns on what is there.
    in.machine_bins.push_back({MachineId("host-1"), "small", "a", false, {{0, {4000, 0, 16000}}}, false, {}});
    in.demands[0].max_wait_s = 60;
    p = autoscaler::make_plan(in);
    EXPECT_TRUE(p.new_machines.empty());
    EXPECT_TRUE(p.needed_machines.contains(MachineId("host-1")));
}

Job submitted(const std::string& id, wire::Shape shape, TaskIndex tasks, const std::string& image,
              WallTime at) {
    Job job;
    job.spec.id = JobId(id);
    job.spec.shape = shape;
    job.spec.tasks = tasks;
    job.spec.image = image;
    job.submitted = at;
    return job;
}

// A gang asks for a machine for each member, any other job for one; a job counts once, and for four minutes.
TEST(ArrivalStatistics, CountsMachinesWithinItsWindow) {
    autoscaler::ArrivalStatistics arrivals;
    EXPECT_TRUE(arrivals.empty());
    const Job gang = submitted("job-1", wire::Shape::gang, 6, "a", WallTime(1'000));
    arrivals.record_submission(gang);
    arrivals.record_submission(gang);
    arrivals.record_submission(submitted("job-2", wire::Shape::array, 100, "b", WallTime(51'000)));
    arrivals.record_submission(submitted("job-3", wire::Shape::array, 100, "b", WallTime(21'000)));
    EXPECT_EQ(arrivals.latest_spec().id, JobId("job-2"));
    EXPECT_DOUBLE_EQ(arrivals.machines_per_s(WallTime(101'000)), 8.0 / 100);
    EXPECT_DOUBLE_EQ(arrivals.machines_per_s(WallTime(2'000)), 8.0 / 30);  // over 30 s at least
    EXPECT_DOUBLE_EQ(arrivals.image_shares().at("a"), 0.75);
    EXPECT_DOUBLE_EQ(arrivals.image_shares().at("b"), 0.25);
    arrivals.remove_expired_submissions(WallTime(241'000));
    EXPECT_EQ(arrivals.image_shares().size(), 2U);
    arrivals.remove_expired_submissions(WallTime(241'001));
    EXPECT_EQ(arrivals.image_shares().size(), 1U);
    EXPECT_DOUBLE_EQ(arrivals.machines_per_s(WallTime(241'001)), 2.0 / 240);
    arrivals.remove_expired_submissions(WallTime(300'000));
    EXPECT_TRUE(arrivals.empty());
}

// Only of many demands are those alike joined; what may go elsewhere stays apart.
TEST(AutoscalingDemand, MergesJobsWithTheSameEligibleMachines) {
    wire::JobSpec any;
    any.need = {1000, 0, 1000};
    wire::JobSpec in_zone = any, of_type = any, spot = any, urgent = any, large = any;
    in_zone.zone = "a";
    of_type.types = {{"small"}};
    spot.spot = true;
    urgent.rank = wire::Rank::critical;
    large.need.cpu = 2000;
    const std::vector<const wire::JobSpec*> specs{&any, &in_zone, &of_type, &spot, &urgent, &large};
    std::vector<autoscaler::Demand> demands;
    for (int i = 0; i < 10; ++i)
        for (const auto* spec : specs) demands.push_back({spec, {}, 2, 10.0 + i, 20.0 - 0.5 * i});
    EXPECT_EQ(autoscaler::merge_similar_demands(demands).size(), 60U);
    for (const auto* spec : specs) demands.push_back({spec, "b", 2, 10, 20});
    const auto merged = autoscaler::merge_similar_demands(demands);
    // Patience of 20 s, of 10 to 20 s, and the pinned ones.
    ASSERT_EQ(merged.size(), 3 * specs.size());
    for (std::size_t i = 0; i < specs.size(); ++i) {
        EXPECT_EQ(merged[i].spec, specs[i]);
        EXPECT_EQ(merged[i].task_count, 2U);
        const auto& joined = merged[specs.size() + i];
        EXPECT_EQ(joined.spec, specs[i]);
        EXPECT_EQ(joined.task_count, 18U);
        EXPECT_DOUBLE_EQ(joined.run_time_s, 15);
        EXPECT_DOUBLE_EQ(joined.max_wait_s, 15.5);
        EXPECT_EQ(merged[2 * specs.size() + i].required_zone, "b");
    }
}

}  // namespace
}  // namespace zincdyke
