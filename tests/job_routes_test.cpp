// Which method and path asks for what.
#include "jobs/job_routes.h"

#include <gtest/gtest.h>

namespace zincdyke {
namespace {

TEST(JobRoutes, ParsesTargets) {
    const auto submit = parse_job_target("POST", "/api/jobs");
    ASSERT_TRUE(submit);
    EXPECT_EQ(submit->action, JobAction::submit);
    EXPECT_TRUE(submit->id.empty());
    const auto get = parse_job_target("GET", "/api/jobs/job-000412?full=1");
    ASSERT_TRUE(get);
    EXPECT_EQ(get->action, JobAction::get);
    EXPECT_EQ(get->id, JobId("job-000412"));
    const auto cancel = parse_job_target("POST", "/api/jobs/job-000412/cancel");
    ASSERT_TRUE(cancel);
    EXPECT_EQ(cancel->action, JobAction::cancel);
    EXPECT_EQ(cancel->id, JobId("job-000412"));
}

TEST(JobRoutes, TellsWhyATargetIsNone) {
    const auto error = [](const char* method, const char* path) {
        return parse_job_target(method, path).error();
    };
    EXPECT_EQ(error("GET", "/"), RoutingError::no_such_path);
    EXPECT_EQ(error("GET", "/api/jobsx"), RoutingError::no_such_path);
    EXPECT_EQ(error("GET", "/api/jobs"), RoutingError::method_not_allowed);
    EXPECT_EQ(error("POST", "/api/jobs/"), RoutingError::method_not_allowed);
    EXPECT_EQ(error("GET", "/api/jobs/"), RoutingError::no_such_job);
    EXPECT_EQ(error("GET", "/api/jobs/cancel"), RoutingError::no_such_job);
    EXPECT_EQ(error("POST", "/api/jobs//cancel"), RoutingError::no_such_job);
    EXPECT_EQ(error("GET", "/api/jobs/job-1/cancel"), RoutingError::method_not_allowed);
    EXPECT_EQ(error("POST", "/api/jobs/job-x/cancel"), RoutingError::no_such_job);
}

}  // namespace
}  // namespace zincdyke
