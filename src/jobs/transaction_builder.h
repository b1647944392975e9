/// Builds transactions that commit task starts and ends.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/settings.h"
#include "jobs/pending_operation.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// A team lock with its fencing token, which is a condition of every commit of the team's task starts.
struct TeamLockToken {
    TeamName team;
    Revision fencing_token;
};

/// The inputs for building a transaction in addition to the cached records and the settings.
struct BuildContext {
    SteadyTime now{};
    /// The number of writes that the write budget allows now. A transaction may exceed this number by the
    /// writes for its last page.
    std::size_t max_writes = 0;
    /// Whether the store has rejected a value for its size, so that the strictest value limit applies.
    bool store_rejected_value = false;
    /// The team lock that this node holds for the team whose task starts the transaction contains; not set if
    /// the transaction contains no starts of a team with a quota limit.
    std::optional<TeamLockToken> team_lock;
    /// Returns the term in which this node leads a shard, or nothing if it does not lead the shard.
    std::function<std::optional<Term>(std::uint32_t shard)> own_leader_term;
};

/// A page and the operations on its tasks.
struct PageOperations {
    PageKey page;
    std::vector<PendingOperation> operations;
};

/// Reports an operation that finished without a write: either its task is already in the requested state
/// (`is_committed`), or the operation was rejected.
struct SettledOperation {
    JobId job;
    PendingOperation operation;
    bool is_committed = false;
};
/// Reports a start that was rejected because its page's record would exceed the store's value limit and the
/// page can't be resized.
struct PageFull {
    PageKey page;
};
/// Reports that a job needs smaller pages before its deferred operations can be committed.
struct PageResizeNeeded {
    JobId job;
};
/// An event during the build of a transaction, which the caller must handle before it sends the transaction.
using BuildNotice = std::variant<SettledOperation, PageFull, PageResizeNeeded>;

/// The result of TransactionBuilder: a transaction, the operations that it commits, and the operations that
/// are left for a later transaction.
struct BuiltTransaction {
    Transaction transaction;
    /// The operations in the transaction. If empty, there is nothing to send.
    std::vector<PageOperations> operations;
    /// Operations that do not fit into this transaction and are left for a later one.
    std::vector<PageOperations> deferred_operations;
    /// Events for the caller, in the order in which they must be handled.
    std::vector<BuildNotice> notices;
    /// Whether the transaction contains task ends. A transaction with task ends is sent with higher priority,
    /// since ends free capacity.
    bool has_ends = false;
};

/// Builds one transaction page by page within the store's limits, and checks whether each operation is
/// allowed. The builder changes neither the state cache nor the store. The state cache and the settings must
/// not change before finish() returns.
class TransactionBuilder {
  public:
    /// Keeps both references; they must outlive the builder.
    TransactionBuilder(const StateCache& state_cache, const Settings& settings, BuildContext context);
    /// Returns whether the transaction contains no operation yet.
    [[nodiscard]] bool is_empty() const { return built_.operations.empty(); }
    /// Returns whether another page of the job fits into the transaction, including the writes and conditions
    /// for ending the job or assigning its zone.
    [[nodiscard]] bool can_add_page_of(const JobId& job) const;
    /// Applies operations to a page in order and adds the page to the transaction. Operations that are not
    /// allowed are reported as notices, and operations that do not fit are deferred. Call it at most once for
    /// each page.
    void add_page(const PageKey& page, std::vector<PendingOperation> operations);
    /// Adds the conditions for the shard terms, and returns the completed transaction.
    [[nodiscard]] BuiltTransaction finish() &&;

  private:
    // The combined effects of the operations in the transaction, which constrain further operations.
    struct Effects {
        QuotaUsage quota_usage;                        // usage of the locked team after the operations
        std::map<std::uint32_t, Term> terms_by_shard;  // terms in which the operations were decided
        std::map<JobId, std::string> zones_by_job;     // zones of one-zone jobs with starts
    };
    struct AppliedPage {
        std::vector<TaskState> tasks;  // the page's tasks after the applied operations
        std::vector<PendingOperation> applied_operations, deferred_operations;
    };
    [[nodiscard]] AppliedPage apply_operations(const PageKey& page, const Job* job,
                                               std::vector<PendingOperation> operations);
    [[nodiscard]] bool is_compatible(const Job& job, const PendingOperation& operation, std::uint32_t shard,
                                     Term term) const;
    [[nodiscard]] std::optional<Term> valid_term(const PendingOperation& operation,
                                                 std::uint32_t shard) const;
    [[nodiscard]] bool has_required_team_lock(const Job& job) const;
    [[nodiscard]] bool is_zone_allowed(const Job& job, const std::string& zone) const;
    [[nodiscard]] std::size_t condition_count() const;
    [[nodiscard]] bool fits_value_limit(std::size_t task_count, std::size_t record_bytes) const;
    void settle_without_write(const PageKey& page, PendingOperation operation);
    void defer_or_reject(const PageKey& page, const Job& job, AppliedPage oversized);
    void add_writes(const PageKey& page, const Job& job, const std::vector<TaskState>& tasks, Json record);
    void add_zone_assignment(const Job& job);
    void add_condition(const Condition& condition);

    const StateCache& state_cache_;
    const Settings& settings_;
    const BuildContext context_;
    BuiltTransaction built_;
    Effects effects_;
    std::set<JobId> zone_assigned_jobs_;  // jobs whose record in the transaction assigns a zone
    std::size_t total_record_bytes_ = 0;  // size of all page records in the transaction
};

}  // namespace zincdyke
