// The budgets of requests and writes.
#include "store/request_budget.h"

#include <gtest/gtest.h>

#include "store/token_bucket.h"

namespace zincdyke::testing {
namespace {

SteadyTime at(double since_start_s) { return SteadyTime(seconds(1000 + since_start_s)); }

TEST(TokenBucket, RefillsUpToOneSecondsWorth) {
    TokenBucket bucket;
    bucket.set_refill_rate(10);
    EXPECT_TRUE(bucket.refill_and_check(at(0), 10));
    bucket.take(10);
    EXPECT_FALSE(bucket.refill_and_check(at(0), 1));
    EXPECT_EQ(bucket.time_until(1), millis(100));
    EXPECT_TRUE(bucket.refill_and_check(at(0.25), 1));
    EXPECT_TRUE(bucket.refill_and_check(at(60), 10));
    EXPECT_DOUBLE_EQ(bucket.tokens(), 10);
}

TEST(TokenBucket, LargeRequestLeavesADebt) {
    TokenBucket bucket;
    bucket.set_refill_rate(2);
    EXPECT_TRUE(bucket.refill_and_check(at(0), 6));
    bucket.take(6);
    EXPECT_DOUBLE_EQ(bucket.tokens(), -4);
    EXPECT_FALSE(bucket.refill_and_check(at(2), 1));
    EXPECT_TRUE(bucket.refill_and_check(at(2.5), 1));
}

TEST(TokenBucket, DrainKeepsDebts) {
    TokenBucket bucket;
    bucket.set_refill_rate(2);
    bucket.refill(at(0));
    bucket.drain();
    EXPECT_DOUBLE_EQ(bucket.tokens(), 0);
    bucket.take(3);
    bucket.drain();
    EXPECT_DOUBLE_EQ(bucket.tokens(), -3);
}

class RequestBudgetTest : public ::testing::Test {
  protected:
    RequestBudgetTest() {
        settings.controller_count = 2;
        settings.store_rps = 84;  // a twentieth is left over: 39.9 a second for one controller of two
        settings.strictest_limits.write_rps = 22;  // 10.45 a second
    }
    std::size_t take_all(RequestBudget& budget, RequestPriority priority, double writes) {
        std::size_t taken = 0;
        while (!budget.take_or_wait(at(0), priority, writes)) ++taken;
        return taken;
    }
    Settings settings;
};

TEST_F(RequestBudgetTest, UsersReadsHaveAShareOfTheirOwnBesideTheRest) {
    RequestBudget budget(settings);
    EXPECT_EQ(take_all(budget, RequestPriority::decision, 0), 29U);
    EXPECT_EQ(take_all(budget, RequestPriority::user, 0), 9U);
    RequestBudget other(settings);
    EXPECT_EQ(take_all(other, RequestPriority::user, 0), 38U);
}

TEST_F(RequestBudgetTest, WritesCountAgainstBothLimits) {
    RequestBudget budget(settings);
    EXPECT_EQ(take_all(budget, RequestPriority::decision, 2), 5U);
    EXPECT_EQ(take_all(budget, RequestPriority::decision, 0), 24U);
    EXPECT_EQ(budget.available_writes(at(0)), 0U);
    EXPECT_NEAR(to_seconds(budget.time_until_writes(2)), (3 - 0.45) / 10.45, 1e-5);
    EXPECT_NEAR(budget.write_load(at(0)), 10 / (10.45 * 8), 1e-9);
}

TEST_F(RequestBudgetTest, ShareIsOfAllControllersBudget) {
    RequestBudget budget(settings);
    budget.set_share(1, 1);
    EXPECT_EQ(budget.available_writes(at(0)), 19U);  // one is left over for submissions
    EXPECT_EQ(take_all(budget, RequestPriority::decision, 0), 59U);
}

}  // namespace
}  // namespace zincdyke::testing
