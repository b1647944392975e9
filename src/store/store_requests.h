/// Requests to the key-value store and their results.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

using wire::Json;

/// Priorities of requests to the key-value store, ordered from the most to the least urgent. They decide
/// which requests are sent first when the request budget is short.
enum class RequestPriority : std::uint8_t {
    /// Priority of requests for session leases, lists of all records, and records of nodes, leaders and
    /// machine types.
    lease,
    /// Priority of commits of task ends, and of requests for records of jobs, team locks and format levels.
    report,
    /// Priority of commits of task starts and of relay changes.
    decision,
    /// Priority of requests on behalf of users, and of deletions of orphaned pages.
    user
};
constexpr std::size_t request_priority_count = 4;

/// Result of a request to the key-value store.
enum class Outcome : std::uint8_t {
    /// The request was executed.
    ok,
    /// The transaction was not executed because a precondition was not met.
    conflict,
    /// The record does not exist, or the lease has expired.
    not_found,
    /// The request was not executed: this node did not send it for lack of budget or because the store is
    /// unreachable, or the store responded with status 429 or 503. It may be retried.
    not_executed,
    /// No valid response was received. The request may have been executed or may still be executed later;
    /// only a read, or a retry with the same preconditions, can find out.
    unknown,
    /// The store rejected the request as malformed (status 400 and other 4xx). A retry would fail as well.
    invalid_request
};

/// A precondition of a transaction: the key's record has this version, or does not exist if `version` is 0.
struct Condition {
    std::string key;
    Revision version;
};
/// A write of a transaction, which sets or deletes one record.
struct Write {
    std::string key;
    /// The record's new value; `std::nullopt` if the write deletes the record.
    std::optional<Json> value;
    /// The store's lease that the record is attached to: the store deletes the record when the lease expires.
    /// `std::nullopt` if the record does not expire.
    std::optional<std::uint64_t> lease_id;
};
/// Writes that the store executes atomically, and only if all preconditions are met (compare-and-swap).
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};
/// Result of a transaction.
struct CommitResult {
    Outcome outcome = Outcome::unknown;
    /// The version of all records that the transaction wrote; 0 unless the outcome is `ok`.
    Revision revision;
    /// The keys whose preconditions were not met, if the outcome is `conflict`. May be incomplete or empty.
    std::vector<std::string> failed_keys;
};
/// Result of reading one record.
// NOLINTNEXTLINE(bugprone-exception-escape): the linter assumes that Json's move may throw; it is noexcept.
struct GetResult {
    Outcome outcome = Outcome::unknown;
    Json value;
    /// The record's version if the outcome is `ok`; if it is `not_found`, the store's revision at the read.
    Revision version;
};
/// The value and version of a key, as read from a list, a watch or a commit's result.
struct KeyUpdate {
    std::string key;
    /// The record's value; `std::nullopt` if the record was deleted.
    std::optional<Json> value;
    Revision version;
};
/// Result of a list or a watch.
struct ListResult {
    Outcome outcome = Outcome::unknown;
    std::vector<KeyUpdate> items;
    /// Whether the list has further records after the last item.
    bool has_more = false;
    /// Whether a watch failed because the store has discarded changes after the requested revision; the
    /// caller must list all records again.
    bool is_compacted = false;
    /// The revision of the store's state that the items were read from.
    Revision revision;
};
/// Whether the store granted a requested lease, and the id of the granted lease.
struct LeaseResult {
    Outcome outcome = Outcome::unknown;
    /// The store's id of the lease; 0 unless the outcome is `ok`.
    std::uint64_t id = 0;
};

}  // namespace zincdyke
