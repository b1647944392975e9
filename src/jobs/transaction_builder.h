/// Builds one transaction out of starts and ends of tasks.
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

/// The lock under which a limited team's starts are committed.
struct TeamLockToken {
    TeamName team;
    Revision token;
};

/// What a transaction is judged by, next to the records.
struct BuildContext {
    SteadyTime now{};
    std::size_t max_writes = 0;         ///< as many as the write budget allows now; a page may go over it
    bool store_rejected_value = false;  ///< the store's value limit is known to be the strictest one
    std::optional<TeamLockToken> lock;  ///< where the transaction holds starts of a limited team
    /// The term under which this node leads a shard; nothing where it doesn't.
    std::function<std::optional<Term>(std::uint32_t shard)> own_leader_term;
};

/// Operations on one page.
struct PageOperations {
    PageKey page;
    std::vector<PendingOperation> operations;
};

/// The operation is over without a write: its task is in the state that it asks for already (`is_committed`),
/// or it may not be carried out.
struct SettledOperation {
    JobId job;
    PendingOperation operation;
    bool is_committed = false;
};
/// A start was given up, since its page's record would be too large and can't be made smaller.
struct PageFull {
    PageKey page;
};
/// The job's pages have to become smaller before the operations left over can be carried out.
struct PageResizeNeeded {
    JobId job;
};
/// What the caller has to act on, in this order, before it sends the transaction.
using BuildNotice = std::variant<SettledOperation, PageFull, PageResizeNeeded>;

/// The result of a build.
struct BuiltTransaction {
    Transaction transaction;
    std::vector<PageOperations> operations;  ///< that it carries out; empty: there is nothing to send
    std::vector<PageOperations> deferred_operations;  ///< to be carried out by a later one
    std::vector<BuildNotice> notices;
    bool has_ends = false;  ///< ends free capacity and go before other decisions
};

/// Takes pages one by one as long as there is room, and judges their operations. It sends nothing and sets no
/// timer; the records and settings that it refers to must not change before finish().
class TransactionBuilder {
  public:
    TransactionBuilder(const StateCache& state_cache, const Settings& settings, BuildContext context);
    /// Whether no operation is carried out yet.
    [[nodiscard]] bool is_empty() const { return built_.operations.empty(); }
    /// Whether one more page of the job finds room, with the job's end or its new zone.
    [[nodiscard]] bool can_add_page_of(const JobId& job) const;
    /// Adds what may be done of the operations, in their order; each page once.
    void add_page(const PageKey& page, std::vector<PendingOperation> operations);
    /// Ends the build.
    [[nodiscard]] BuiltTransaction finish() &&;

  private:
    // What the operations chosen so far commit the transaction to.
    struct Commitments {
        QuotaUsage usage;                     // of the lock's team, with these starts and ends
        std::map<std::uint32_t, Term> terms;  // of the shards whose leaders decided them
        std::map<JobId, std::string> zones;   // of one-zone jobs with starts among them
    };
    struct AppliedPage {
        std::vector<TaskState> tasks;  // after the operations
        std::vector<PendingOperation> applied, postponed;
    };
    [[nodiscard]] AppliedPage apply_all(const PageKey& page, const Job* job,
                                        std::vector<PendingOperation> operations);
    [[nodiscard]] bool may_apply(const Job& job, const PendingOperation& operation, std::uint32_t shard,
                                 Term term) const;
    [[nodiscard]] std::optional<Term> valid_term(const PendingOperation& operation,
                                                 std::uint32_t shard) const;
    [[nodiscard]] bool is_zone_allowed(const Job& job, const std::string& zone) const;
    [[nodiscard]] std::size_t condition_count() const;
    [[nodiscard]] bool fits_record(std::size_t tasks, std::size_t bytes) const;
    void settle(const PageKey& page, PendingOperation operation);
    void postpone_or_give_up(const PageKey& page, const Job& job, AppliedPage overflowing);
    void add_writes(const PageKey& page, const Job& job, const std::vector<TaskState>& tasks, Json record);
    void add_zone_choice(const Job& job);
    void add_condition(const Condition& condition);

    const StateCache& state_cache_;
    const Settings& settings_;
    const BuildContext context_;
    BuiltTransaction built_;
    Commitments commitments_;
    std::set<JobId> jobs_given_zones_;  // their records name the chosen zone
    std::size_t record_bytes_ = 0;
};

}  // namespace zincdyke
