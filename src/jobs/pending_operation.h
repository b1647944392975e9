/// Value types for task starts and ends that are waiting to be committed, and for the keys of the pages and
/// commit queues that they belong to.
#pragma once
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

/// The kinds of changes to a task's state that are committed to the key-value store. The values are those of
/// `wire::TaskOperation::event`.
enum class OperationKind : std::uint8_t {
    start,       ///< the operation places a pending task on a machine
    completion,  ///< the operation marks a task as done after its attempt succeeded
    release      ///< the operation makes a task pending again after an attempt that did not complete it
};
/// Returns the operation kind for the `event` number in a peer message, or nothing if the number is unknown.
[[nodiscard]] std::optional<OperationKind> operation_kind(std::uint8_t event);

/// The reasons why a task's attempt is released. The values up to `unknown` correspond to the exit causes
/// that workers report (`wire::ExitCause`).
enum class ReleaseReason : std::uint8_t {
    no_cause,
    done,
    stopped,  ///< the task was stopped by command
    gang_member_lost,
    gang_wait_timed_out,  ///< not all members of the gang were ready in time
    error,
    no_capacity,
    busy,
    unknown,
    missing_from_heartbeat,  ///< the task ran, but its machine's heartbeat no longer lists it
    start_not_acknowledged,  ///< the worker did not acknowledge the start command
    never_started,           ///< no start command was sent
    machine_terminated,      ///< the cloud confirmed the termination of the task's machine
    lease_expired            ///< the lease of the task's machine expired
};
/// Returns the release reason for an exit cause that a worker reported.
[[nodiscard]] ReleaseReason release_reason(wire::ExitCause cause);
/// Returns the name of a release reason in log lines.
[[nodiscard]] std::string_view release_reason_name(ReleaseReason reason);

/// Called on the event-loop thread with the result of a task start: whether the task is placed on the
/// machine. Never called during the call that it was passed to.
using StartCallback = std::function<void(bool is_placed)>;

/// Identifies an operation that a shard leader forwarded to this node, by the leader and its request id.
struct ForwardedRequest {
    NodeName leader;
    std::uint64_t request_id = 0;
};

/// One task start or end, from the decision until the store has responded to its commit.
struct PendingOperation {
    OperationKind kind = OperationKind::start;
    TaskIndex task = 0;
    /// Number of the attempt of `task` that is completed or released; unused for a start.
    Attempt attempt = 0;
    MachineId machine;
    std::string zone;                             ///< the zone of the machine; set only for a start
    std::optional<ReleaseReason> release_reason;  ///< set only for a release decided by this node
    /// The shard leader's term in which the operation was decided. The operation is valid only in that term:
    /// after the term has ended, another leader may have renewed the machine's lease or started the task
    /// again.
    Term term;
    SteadyTime accepted_at{};  ///< when this node decided or received the operation
    StartCallback on_result;   ///< called with the result unless empty
    /// The request by which a shard leader forwarded the operation; empty if this node decided it.
    std::optional<ForwardedRequest> forwarded_request;

    [[nodiscard]] bool is_start() const { return kind == OperationKind::start; }
};
/// Returns the value of `event=` in the log line for an operation's commit.
[[nodiscard]] std::string_view committed_event_name(const PendingOperation& operation);
/// Returns the value of `reason=` in the log line for an operation's commit.
[[nodiscard]] std::string_view log_reason(const PendingOperation& operation);

/// Identifies a page of a job's tasks, numbered by the job's current page size.
struct PageKey {
    JobId job;
    std::uint32_t page = 0;
    auto operator<=>(const PageKey&) const = default;
};

/// Identifies a commit queue, whose transactions are sent one after another. All starts of a team with a
/// quota limit share one queue; other starts and all ends have a queue per page, since they need no team
/// lock.
struct CommitQueueKey {
    TeamName team;
    PageKey page;  ///< set only if `team` is empty
    auto operator<=>(const CommitQueueKey&) const = default;
    [[nodiscard]] bool is_team_queue() const { return !team.empty(); }
};

}  // namespace zincdyke
