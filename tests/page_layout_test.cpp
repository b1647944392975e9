// How a job's tasks are divided into pages.
#include "store/page_layout.h"

#include <gtest/gtest.h>

#include "store/frozen_pages.h"

namespace zincdyke::testing {
namespace {

TEST(PageLayout, SizeFollowsTheLargestValue) {
    const auto size_at = [](double value_kb) {
        StoreLimits limits;
        limits.value_kb = value_kb;
        return page_size_for(limits);
    };
    EXPECT_EQ(size_at(2), 41U);
    EXPECT_EQ(size_at(8), 194U);
    EXPECT_EQ(size_at(0.5), 8U);
    EXPECT_EQ(size_at(1000), 400U);
}

TEST(PageLayout, StandardPages) {
    const PageLayout layout(300, 194, 0);
    EXPECT_FALSE(layout.has_small_pages());
    EXPECT_EQ(layout.page_size(), 194U);
    EXPECT_EQ(layout.page_count(), 2U);
    EXPECT_EQ(layout.page_of(193), 0U);
    EXPECT_EQ(layout.page_of(194), 1U);
    EXPECT_EQ(layout.position_in_page(195), 1U);
    EXPECT_EQ(layout.first_task_in_page(1), 194U);
    EXPECT_EQ(layout.task_count_in_page(0), 194U);
    EXPECT_EQ(layout.task_count_in_page(1), 106U);
    EXPECT_EQ(layout.standard_page_count(), layout.page_count());
}

TEST(PageLayout, SmallPagesOverFrozenOnes) {
    const PageLayout layout(300, 194, 41);
    EXPECT_TRUE(layout.has_small_pages());
    EXPECT_EQ(layout.page_count(), 8U);
    EXPECT_EQ(layout.task_count_in_page(7), 13U);
    EXPECT_EQ(layout.standard_page_count(), 2U);
    EXPECT_EQ(layout.task_count_in_standard_page(1), 106U);
    // Tasks 164 to 204 are in both frozen pages.
    EXPECT_EQ(layout.frozen_pages_of(3).first, 0U);
    EXPECT_EQ(layout.frozen_pages_of(3).end, 1U);
    EXPECT_EQ(layout.frozen_pages_of(4).first, 0U);
    EXPECT_EQ(layout.frozen_pages_of(4).end, 2U);
    EXPECT_EQ(layout.frozen_pages_of(7).first, 1U);
    EXPECT_EQ(layout.small_pages_of(0).first, 0U);
    EXPECT_EQ(layout.small_pages_of(0).end, 5U);
    EXPECT_EQ(layout.small_pages_of(1).first, 4U);
    EXPECT_EQ(layout.small_pages_of(1).end, 8U);
}

// Every small page says of each task what the frozen pages said, and of tasks that none holds: pending.
TEST(PageLayout, FreezingChangesNoTask) {
    Job job;
    job.spec.tasks = 20;
    const PageLayout before(job, 16);
    const auto placed = [](const char* machine) {
        return TaskState{TaskState::Status::placed, 1, MachineId(machine), ""};
    };
    Page& page = job.pages[0];
    page.tasks.resize(before.task_count_in_page(0));
    page.tasks[0] = placed("a");
    page.tasks[15] = placed("b");
    job.small_page_size = 6;
    freeze_pages(job, PageLayout(job, 16));
    ASSERT_EQ(job.frozen_pages.size(), 1U);
    ASSERT_EQ(job.pages.size(), 4U);
    EXPECT_EQ(job.pages[0].tasks[0], placed("a"));
    EXPECT_EQ(job.pages[2].tasks[3], placed("b"));
    EXPECT_EQ(job.pages[3].tasks, std::vector<TaskState>(2));
    EXPECT_EQ(job.pages[0].placed_tasks + job.pages[1].placed_tasks + job.pages[2].placed_tasks +
                  job.pages[3].placed_tasks,
              2U);
}

TEST(PageLayout, NoPagesWrittenNoneFrozen) {
    Job job;
    job.spec.tasks = 20;
    job.small_page_size = 6;
    freeze_pages(job, PageLayout(job, 16));
    EXPECT_TRUE(job.pages.empty());
    EXPECT_TRUE(job.frozen_pages.empty());
}

}  // namespace
}  // namespace zincdyke::testing
