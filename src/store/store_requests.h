/// What the key-value store is asked, and what it answers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

using wire::Json;

/// Who is served first when the budget runs short, the most urgent first.
enum class RequestPriority : std::uint8_t {
    lease,     ///< sessions, their records and leaderships, and reading the state
    report,    ///< what workers told, and what is needed to commit it
    decision,  ///< commits of placements
    user       ///< answers to users
};
constexpr std::size_t priority_count = 4;

/// What became of a request.
enum class Outcome : std::uint8_t {
    /// Carried out.
    ok,
    /// Not carried out: a precondition did not hold.
    conflict,
    /// Read, and there is no such record; or a lease that has expired.
    not_found,
    /// Not carried out: the budget, or a queue, was full, or the store said 429 or 503. May be sent again.
    not_executed,
    /// No answer, or none that can be read: may have been carried out, or may be yet. Only a read,
    /// or sending it again under the same preconditions, tells.
    unknown,
    /// Not carried out: the store takes it for malformed (400 and the like). Sent again it fares no better.
    invalid_request
};

/// A precondition of a transaction: the key's record has this version; 0: there is none.
struct Condition {
    std::string key;
    Revision version;
};
/// Sets or deletes one record.
struct Write {
    std::string key;
    /// Nothing: delete.
    std::optional<Json> value;
    /// The store's lease whose end deletes the record.
    std::optional<std::uint64_t> lease_id;
};
/// Writes that are carried out together, or not at all unless every precondition holds (compare-and-swap).
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};
struct CommitResult {
    Outcome outcome = Outcome::unknown;
    /// Ok: the version of all records that were written.
    Revision revision;
    /// Conflict: the keys whose preconditions did not hold, as far as the store names them.
    std::vector<std::string> failed_keys;
};
// NOLINTNEXTLINE(bugprone-exception-escape): Json's move, which is noexcept, is taken to throw.
struct GetResult {
    Outcome outcome = Outcome::unknown;
    Json value;
    /// Ok: of the record. Not found: the store's revision at which it had none.
    Revision version;
};
/// What was read under a key, by whichever way.
struct KeyUpdate {
    std::string key;
    /// Nothing: deleted.
    std::optional<Json> value;
    Revision version;
};
struct ListResult {
    Outcome outcome = Outcome::unknown;
    std::vector<KeyUpdate> items;
    /// The list goes on after the last item.
    bool has_more = false;
    /// Of a watch: the store no longer keeps the changes from the revision asked for; the state is to be
    /// listed anew.
    bool is_compacted = false;
    /// The store's revision that the answer reflects.
    Revision revision;
};
struct LeaseResult {
    Outcome outcome = Outcome::unknown;
    /// The store's id of the lease; 0 unless ok.
    std::uint64_t id = 0;
};

}  // namespace zincdyke
