/// Messages between controllers and their binary encoding: packed little-endian structs with a protocol
/// version. Decoding validates all lengths.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/json_api.h"

namespace zincdyke::wire {

/// Version byte of every frame; frames with another version are rejected.
constexpr std::uint8_t peer_protocol_version = 4;
/// The maximum size of a frame without its length field, in bytes.
constexpr std::size_t max_peer_frame = std::size_t{256} * 1024;
/// The size of a frame's length field, a 32-bit count of the bytes that follow.
constexpr std::size_t peer_header_bytes = 4;

/// Identifies a placement round by the relay that started it and a number that this relay assigned.
struct RoundId {
    NodeName relay;
    std::uint64_t number = 0;
    auto operator<=>(const RoundId&) const = default;
};

/// The first message on a connection between controllers, with the name of the sender.
struct Hello {
    NodeName node;
    std::uint64_t incarnation = 0;  ///< Not used; senders set it to 0.
};
/// The state of one machine, as reported by its leader.
struct MachineStatus {
    MachineId id;
    std::string type, zone, address;
    bool spot = false;
    bool usable = false;  ///< Whether tasks may be placed on the machine.
    bool silent = false;  ///< Whether the machine has been unreachable for longer than a lease.
    std::uint64_t agent_epoch = 0;
    /// Number of tasks placed on the machine; 0 if the machine is idle. A machine without placed tasks that
    /// has running tasks or reserved capacity is not idle and reports 1.
    std::uint32_t busy_tasks = 0;
    std::uint32_t idle_ms = 0;    ///< Time for which the machine has been idle.
    std::uint32_t silent_ms = 0;  ///< Time for which the machine has been unreachable.
};
/// Acknowledges which job cancellations the sender knows, and so advances the receiver's cancellation
/// watermark (cluster/cancellation_watermark). Each timestamp is a reading, in microseconds, of the steady
/// clock of the controller that first sent it.
struct CancellationAck {
    std::uint64_t sender_epoch = 0;    ///< Random number that the sender's process chose at startup.
    std::uint64_t sent_timestamp = 0;  ///< Time at which the sender sent this acknowledgement.
    /// The latest timestamp that the sender received from the receiver, and the epoch it came with.
    std::uint64_t echoed_epoch = 0, echoed_timestamp = 0;
    /// Whether the sender's watermark lags; the receiver then lists the cancellations that it knows.
    bool is_lagging = false;
    /// Whether `cancelled` lists all unfinished jobs that the sender knows to be cancelled.
    bool is_complete = false;
    std::vector<JobId> cancelled;
};
/// The heartbeat that every controller sends to every other one, twice a second.
struct PeerHeartbeat {
    CancellationAck cancellation_ack;
    bool store_reachable = false;
    std::uint64_t applied_revision = 0;  ///< Revision of the key-value store up to which the sender has read.
    /// The smoothed number of pages that the sender has to write per heartbeat interval, in hundredths.
    std::uint32_t write_demand = 0;
    std::vector<MachineStatus> machines;
};
/// Sent by the relay to every scorer, to request machines for tasks of a job.
struct PlacementRequest {
    RoundId round;
    JobId job;
    NodeName gatherer;
    std::uint8_t scorers = 0;  ///< Number of scorers whose responses the gatherer expects.
    Resources need;
    std::string image;
    Rank rank = Rank::standard;
    std::vector<TaskIndex> tasks;
};
/// A machine on which a scorer has reserved capacity for one task.
struct PlacementOffer {
    MachineId machine;
    std::string zone;
    std::int64_t score = 0;
};
/// Sent by a scorer to the gatherer: one offer for each task for which the scorer has capacity.
struct PlacementResponse {
    RoundId round;
    JobId job;
    NodeName scorer;
    std::uint8_t scorers = 0;
    bool is_gang = false;  ///< Whether either all of the job's tasks must be placed or none.
    std::vector<TaskIndex> tasks;
    std::vector<PlacementOffer> offers;
};
/// The machine chosen for a task.
struct Assignment {
    TaskIndex task = 0;
    MachineId machine;
};
/// Sent by the gatherer to a scorer: the accepted offers. All other offers of the round are rejected.
struct PlacementDecision {
    RoundId round;
    JobId job;
    std::vector<Assignment> accepted;
};
/// Sent to the relay by the gatherer (no capacity) or by a leader (conflict): the tasks must be placed again.
struct PlacementFailure {
    RoundId round;
    JobId job;
    std::vector<TaskIndex> tasks;
};
/// Sent by the autoscaler to a machine's leader. The leader then places no more tasks on the machine, so that
/// the machine can be terminated.
struct DrainRequest {
    MachineId machine;
};
/// Sent by a machine's leader in response to a DrainRequest, when the machine has no tasks and accepts none.
struct DrainResponse {
    MachineId machine;
};
/// Sent by the autoscaler to all controllers: the cloud confirmed that the machines were terminated, so that
/// no task runs on them.
struct MachinesTerminatedNotification {
    std::vector<MachineId> machines;
};
/// A machine reserved for a class of jobs that cannot wait until a new machine has booted. Tasks of lower
/// rank may run on it until that class needs it, if they can save their progress within `max_save_ms`.
struct ReservedMachine {
    MachineId machine;
    std::string job_class;
    Rank rank = Rank::standard;
    std::uint32_t max_save_ms = 0;
    JobId job;  ///< The only job that may use the machine; empty if any job of the class may.
};
/// Sent by the autoscaler to the machines' leaders: replaces all earlier reservations. A long list is split
/// over several messages.
struct ReservationUpdate {
    /// Whether this message contains the first part of the list; the receiver of the first part discards all
    /// earlier reservations.
    bool is_first = true;
    std::vector<ReservedMachine> machines;
};
/// Sent by the autoscaler to a machine's leader. The leader then preempts the task for work of higher rank,
/// and gives the task time to save its progress.
struct PreemptionRequest {
    JobId job;
    TaskIndex task = 0;
    Attempt attempt = 0;
};
/// A machine in the cloud's list with the address of its worker.
struct DiscoveredMachine {
    MachineId id;
    std::string address;
};
/// Sent by the autoscaler to all controllers: machines that the cloud lists as running and from which no
/// controller receives heartbeats. Their leaders then contact them directly, because a former leader that is
/// cut off from all other controllers may still command them.
struct MachinesDiscoveredNotification {
    std::vector<DiscoveredMachine> machines;
};
/// A start or end of a task that is to be committed to the key-value store.
struct TaskOperation {
    std::uint8_t event = 0;  ///< The operation's kind: a value of OperationKind (jobs/pending_operation.h).
    TaskIndex task = 0;
    Attempt attempt = 0;
    MachineId machine;
    std::string zone;
    std::uint64_t term = 0;        ///< Term in which the machine's leader decided the operation.
    std::uint64_t request_id = 0;  ///< Identifies the operation to the leader that requested it.
};
/// Sent by a machine's leader to the job's committer, which commits the operations of all leaders together.
struct CommitRequest {
    JobId job;
    std::vector<TaskOperation> operations;
};
/// The outcome of one TaskOperation of a CommitRequest.
struct OperationResult {
    std::uint64_t request_id = 0;
    bool is_committed = false;
};
/// A record of the key-value store, as it is after a commit.
struct StoredRecord {
    std::string key, value;  ///< The value is JSON text; empty if the record was deleted.
    std::uint64_t version = 0;
};
/// Sent by the committer in response to a CommitRequest: the outcomes of the operations and the resulting
/// records.
struct CommitResponse {
    std::vector<OperationResult> results;
    std::vector<StoredRecord> records;
};
/// Sent by a leader to all controllers: capacity was freed on machines of the type, so that tasks that could
/// not be placed may be retried.
struct CapacityFreedNotification {
    std::string type;
    Resources free;
};
/// Sent by the controller that confirms a cancellation to all controllers, so that they stop the job's tasks
/// immediately instead of when they read the cancellation from the key-value store.
struct JobCancelledNotification {
    JobId job;
};
/// Any message between controllers. The position of a message type in this list is the byte that encodes the
/// type in a frame.
using PeerMessage =
    std::variant<Hello, PeerHeartbeat, PlacementRequest, PlacementResponse, PlacementDecision,
                 PlacementFailure, DrainRequest, DrainResponse, MachinesTerminatedNotification,
                 ReservationUpdate, PreemptionRequest, MachinesDiscoveredNotification, CommitRequest,
                 CommitResponse, CapacityFreedNotification, JobCancelledNotification>;

/// Returns the complete frame of a message, including the length field.
std::string encode(const PeerMessage& message);
/// Decodes a frame without its length field. Returns nullopt if the frame is truncated or oversized, or if
/// its version or message type is unknown.
std::optional<PeerMessage> decode(std::string_view payload);

}  // namespace zincdyke::wire
