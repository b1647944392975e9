/// Starts and ends of tasks that wait to be committed, and the names of the records and queues that they
/// wait for. Plain values without threads or resources of their own.
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

/// What a commit does to a task. The values are those of `wire::TaskOperation::event`.
enum class OperationKind : std::uint8_t {
    start,       ///< a pending task is placed on a machine
    completion,  ///< its attempt ended well: it is done for good
    release      ///< its attempt is over, or surely never began: it is pending again
};
/// The kind that a peer's message names; nothing for a number that stands for none.
[[nodiscard]] std::optional<OperationKind> operation_kind(std::uint8_t event);

/// Why an attempt is taken for over. The first group is what its worker reported (`wire::ExitCause`).
enum class ReleaseReason : std::uint8_t {
    no_cause,
    done,
    halted,
    peers,
    alone,
    error,
    no_room,
    busy,
    unknown,
    missing_from_heartbeat,  ///< it ran, and its machine's heartbeat no longer lists it
    start_not_acknowledged,  ///< its start command went unheeded
    never_started,           ///< no start command for it was ever given
    machine_terminated,      ///< the cloud confirmed that its machine is gone
    lease_expired            ///< its machine's lease ran out
};
/// The reason that corresponds to what a worker reported.
[[nodiscard]] ReleaseReason release_reason(wire::ExitCause cause);
/// The reason's name in log lines.
[[nodiscard]] std::string_view release_reason_name(ReleaseReason reason);

/// Told from the event loop, never from within the call that was given it, what came of a start: whether the
/// task is placed on the machine.
using StartCallback = std::function<void(bool placed)>;

/// The leader that forwarded an operation to this node, and that leader's id for it.
struct ForwardedRequest {
    NodeName leader;
    std::uint64_t request_id = 0;
};

/// One start or end of a task, from when it is decided until its commit has been answered.
struct PendingOperation {
    OperationKind kind = OperationKind::start;
    TaskIndex task = 0;
    Attempt attempt = 0;  ///< the one that ended; of no meaning for a start
    MachineId machine;
    std::string zone;                             ///< of the machine, for a start
    std::optional<ReleaseReason> release_reason;  ///< of this node's own releases
    /// The leader's term under which this was decided. Evidence gathered in one term proves nothing in
    /// another: between the two, another leader may have renewed the lease or started the task again.
    Term term;
    SteadyTime accepted_at{};                   ///< when this node took it over
    StartCallback on_result;                    ///< may be empty
    std::optional<ForwardedRequest> forwarded;  ///< nothing: decided by this node

    [[nodiscard]] bool is_start() const { return kind == OperationKind::start; }
};
/// The `event=` and `reason=` of an operation in the log line of its commit.
[[nodiscard]] std::string_view committed_event_name(const PendingOperation& operation);
[[nodiscard]] std::string_view log_reason(const PendingOperation& operation);

/// One page of a job's tasks, in the job's present page size.
struct PageKey {
    JobId job;
    std::uint32_t page = 0;
    auto operator<=>(const PageKey&) const = default;
};

/// What is committed one after another: the starts of a limited team, or else what happens on one page. Ends
/// need no quota and don't wait for the team's lock.
struct CommitQueueKey {
    TeamName team;
    PageKey page;  ///< where `team` is empty
    auto operator<=>(const CommitQueueKey&) const = default;
    [[nodiscard]] bool is_of_team() const { return !team.empty(); }
};

}  // namespace zincdyke
