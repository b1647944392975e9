/// Client of the key-value store: transactions, reads, watches and leases.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "base/env.h"
#include "base/settings.h"
#include "store/request_queue.h"
#include "store/store_requests.h"
#include "store/token_bucket.h"

namespace zincdyke {

/// Sends requests to the key-value store within this node's share of the store's rate limits.
///
/// Every `done` callback is called once, on the event-loop thread and never from within a member function.
/// The client must outlive its pending requests.
class StoreClient {
  public:
    using Counts = RequestQueue::Counts;

    /// `env` and `settings` must outlive the client.
    StoreClient(Env& env, const Settings& settings);

    void get(const std::string& key, RequestPriority priority, std::function<void(GetResult)> done);
    /// Reads up to 1,000 records whose keys begin with `prefix`, starting after the key `after` (empty: from
    /// the first).
    void list(const std::string& prefix, const std::string& after, std::function<void(ListResult)> done);
    void commit(const Transaction& txn, RequestPriority priority, std::function<void(CommitResult)> done);
    /// Reads the changes after the revision `after`. If there are none, waits up to 2 s for a change, or not
    /// at all if `return_immediately` is set.
    void watch(const std::string& prefix, Revision after, bool return_immediately,
               std::function<void(ListResult)> done);
    /// Requests a lease that expires unless it is renewed within `lifetime`, and passes its id to `done`.
    void grant_lease(Duration lifetime, std::function<void(Outcome, std::uint64_t)> done);
    void renew_lease(std::uint64_t lease, std::function<void(Outcome)> done);

    /// Returns whether the store responds to this node. Other nodes may have a different result.
    [[nodiscard]] bool reachable() const { return queue_.reachability().is_reachable(); }
    /// How long the store has been unreachable; 0 if it is reachable.
    [[nodiscard]] Duration unreachable_for() const;
    /// Sets this node's shares of the store's request and write limits, each from 0 to 1.
    void set_budget_share(double request_share, double write_share);
    /// Returns how many writes may be sent now. One write is reserved for submissions and sessions.
    [[nodiscard]] std::size_t available_writes();
    /// Returns the time until `count` writes may be sent. Call `available_writes` first, which refills the
    /// budget.
    [[nodiscard]] Duration time_until_writes(std::size_t count);
    /// Returns which fraction of this node's write budget was spent recently, from 0 to about 1.
    [[nodiscard]] double write_load();
    /// Returns whether a transaction is within the stricter of the store's current limits and the announced
    /// next ones.
    [[nodiscard]] bool is_within_limits(const Transaction& txn) const;
    /// Whether the store has rejected a value above the strictest configured limit, which means that the
    /// announced limits are now in force.
    [[nodiscard]] bool has_rejected_value() const { return has_rejected_value_; }
    [[nodiscard]] const Counts& counts() const { return queue_.counts(); }

  private:
    [[nodiscard]] bool is_within_operation_limits(const Transaction& txn) const;
    void log_rejected_transaction(const Transaction& txn);

    Env& env_;
    const Settings& settings_;
    RequestQueue queue_;
    bool has_rejected_value_ = false;
};

}  // namespace zincdyke
