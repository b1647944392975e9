// The cache of final states of jobs.
#include <gtest/gtest.h>

#include <string>

#include "jobs/jobs_api.h"

namespace zincdyke {
namespace {

TEST(FinalStateCache, IsBounded) {
    FinalStateCache c(3);
    for (int i = 0; i < 10; ++i) c.put(JobId("job-" + std::to_string(i)), {wire::Phase::done, i});
    EXPECT_EQ(c.find(JobId("job-6")), nullptr);
    ASSERT_NE(c.find(JobId("job-9")), nullptr);
}

}  // namespace
}  // namespace zincdyke
