/// How many requests and writes this node may send to the key-value store.
#pragma once
#include <cstddef>
#include <optional>

#include "base/settings.h"
#include "base/types.h"
#include "store/store_requests.h"
#include "store/token_bucket.h"

namespace zincdyke {

/// This node's share of the store's rate limits, of which all controllers together may use no more than there
/// is.
///
/// A write counts against both limits, as one request for its whole transaction. Users' reads have a share of
/// their own: no burst of other work may keep every question about a job unanswered
/// (Budget.UsersReadsHaveTheirShare).
class RequestBudget {
  public:
    /// `settings` must outlive this. Starts with the share of one controller among all.
    explicit RequestBudget(const Settings& settings);

    /// The shares of all controllers' requests and writes that are this node's, from 0 to 1.
    void set_share(double requests, double writes);
    /// Takes one request with so many writes. If it can't go yet: how long until it may, and nothing is
    /// taken.
    [[nodiscard]] std::optional<Duration> take_or_wait(SteadyTime now, RequestPriority priority,
                                                       double writes);
    /// Takes one request that goes out whether the budget allows it or not.
    void take_unconditionally(SteadyTime now);
    /// The store has refused a request with so many writes for its rate: what was saved up is gone.
    void drain(double writes);

    /// How many writes may go at once, a few left over for submissions and sessions.
    [[nodiscard]] std::size_t available_writes(SteadyTime now);
    /// When so many may go; from the moment of the last look at the budget.
    [[nodiscard]] Duration time_until_writes(std::size_t count) const;
    /// How much of the write budget was spent lately, from 0 to about 1.
    [[nodiscard]] double write_load(SteadyTime now);

  private:
    void count_writes(SteadyTime now, double count);

    const Settings& settings_;
    TokenBucket requests_, user_reads_, writes_;
    double recent_writes_ = 0;  // decaying
    SteadyTime counted_at_{};
};

}  // namespace zincdyke
