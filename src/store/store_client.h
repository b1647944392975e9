/// Client of the key-value store: transactions, reads, watches and leases, within this node's share of the
/// store's rate limits.
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

/// Every `done` is called once, from the event loop and never from within a call; `Outcome` says whether the
/// store may have carried out what was asked. Must outlive its requests.
class StoreClient {
  public:
    using Counts = RequestQueue::Counts;

    /// Both must outlive the client.
    StoreClient(Env& env, const Settings& settings);

    /// Reads one record.
    void get(const std::string& key, RequestPriority priority, std::function<void(GetResult)> done);
    /// Reads records by prefix, from the first key after `after` on (empty: from the first).
    void list(const std::string& prefix, const std::string& after, std::function<void(ListResult)> done);
    /// Carries out a transaction.
    void commit(const Transaction& txn, RequestPriority priority, std::function<void(CommitResult)> done);
    /// Changes after a revision. `at_once`: answers with what there is rather than wait for a change.
    void watch(const std::string& prefix, Revision after, bool at_once, std::function<void(ListResult)> done);
    /// Opens a lease, and calls `done` with its id.
    void grant_lease(Duration life, std::function<void(Outcome, std::uint64_t)> done);
    void renew_lease(std::uint64_t lease, std::function<void(Outcome)> done);

    /// False while the store does not answer this node. Whether others are served can't be told from here.
    [[nodiscard]] bool reachable() const { return queue_.reachability().is_reachable(); }
    /// For how long it has not answered.
    [[nodiscard]] Duration unreachable_for() const;
    /// Parts of the budgets that this node may spend: of the requests one by the number of nodes that are up,
    /// of the writes by what it has to commit against its peers. From 0 to 1.
    void set_budget_share(double requests, double writes);
    /// How many writes may go at once, a few left over for submissions and sessions.
    [[nodiscard]] std::size_t available_writes();
    /// When so many may go; to be asked after `available_writes`.
    [[nodiscard]] Duration time_until_writes(std::size_t count);
    /// How much of this node's write budget was spent lately, from 0 to about 1.
    [[nodiscard]] double write_load();
    /// Whether a transaction keeps to the strictest limits that the settings announce.
    [[nodiscard]] bool is_within_limits(const Transaction& txn) const;
    /// The store has rejected a value larger than the strictest limit: its limits are the announced ones by
    /// now.
    [[nodiscard]] bool has_rejected_value() const { return has_rejected_value_; }
    [[nodiscard]] const Counts& counts() const { return queue_.counts(); }

  private:
    [[nodiscard]] bool fits_operations(const Transaction& txn) const;
    void on_rejected(const Transaction& txn);

    Env& env_;
    const Settings& settings_;
    RequestQueue queue_;
    bool has_rejected_value_ = false;
};

}  // namespace zincdyke
