/// Messages between controllers: packed structs, little-endian, versioned, checked against their bounds.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/json_api.h"

namespace zincdyke::wire {

constexpr std::uint8_t peer_protocol_version = 4;
constexpr std::size_t max_peer_frame = std::size_t{256} * 1024;
constexpr std::size_t peer_header_bytes = 4;  // length of what follows, as u32

/// Names a placement round: the relay that began it and that relay's own count.
struct RoundId {
    NodeName relay;
    std::uint64_t number = 0;
    auto operator<=>(const RoundId&) const = default;
};

/// The first message of a connection.
struct Hello {
    NodeName node;
    std::uint64_t incarnation = 0;
};
/// One machine as its leader sees it.
struct MachineStatus {
    MachineId id;
    std::string type, zone, address;
    bool spot = false, usable = false, silent = false;
    std::uint64_t agent_epoch = 0;
    std::uint32_t busy_tasks = 0;  // committed to it, held for offers or reported by it
    std::uint32_t idle_ms = 0, silent_ms = 0;
};
/// Acknowledges which cancellations a controller knows; it advances the receiver's cancellation watermark
/// (cluster/cancellation_watermark). Stamps are the steady clock of whoever first sent them, in microseconds.
struct CancellationAck {
    std::uint64_t sender_epoch = 0;                    // random, new for each process
    std::uint64_t sent_stamp = 0;                      // when this was sent
    std::uint64_t echoed_epoch = 0, echoed_stamp = 0;  // the receiver's newest stamp that came here
    bool is_lagging = false;   // the sender's watermark has not advanced for a while: tell it what you know
    bool is_complete = false;  // `cancelled` names all unfinished jobs that the sender knows to be cancelled
    std::vector<JobId> cancelled;
};
/// Controller to controller, twice a second.
struct PeerHeartbeat {
    CancellationAck cancellation_ack;
    bool store_reachable = false;
    std::uint64_t applied_revision = 0;  // the store's revision that this node has read up to
    std::uint32_t write_demand = 0;      // how much this node has to commit, against its peers
    std::vector<MachineStatus> machines;
};
/// Relay to every scorer: a job's tasks that are to be placed.
struct PlacementRequest {
    RoundId round;
    JobId job;
    NodeName gatherer;
    std::uint8_t scorers = 0;  // how many the gatherer may expect answers from
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
/// Scorer to gatherer: one offer for each task that it has capacity for.
struct PlacementResponse {
    RoundId round;
    JobId job;
    NodeName scorer;
    std::uint8_t scorers = 0;
    bool is_gang = false;  // all tasks are placed, or none
    std::vector<TaskIndex> tasks;
    std::vector<PlacementOffer> offers;
};
/// The machine chosen for a task.
struct Assignment {
    TaskIndex task = 0;
    MachineId machine;
};
/// Gatherer to scorer: these offers are accepted, the rest of the round is rejected.
struct PlacementDecision {
    RoundId round;
    JobId job;
    std::vector<Assignment> accepted;
};
/// To the relay, from the gatherer (no capacity) or from a leader (conflict): place these tasks again.
struct PlacementFailure {
    RoundId round;
    JobId job;
    std::vector<TaskIndex> tasks;
};
/// Autoscaler to a machine's leader: place nothing more on it, it is to be scaled in.
struct DrainRequest {
    MachineId machine;
};
/// The leader's answer: the machine is empty and takes no more tasks.
struct DrainResponse {
    MachineId machine;
};
/// Autoscaler to all: the cloud confirmed that these machines are gone; nothing runs there any more.
struct MachinesTerminatedNotification {
    std::vector<MachineId> machines;
};
/// A machine reserved for a class of jobs that cannot wait for a boot. Tasks of lower rank that save within
/// `max_save_ms` may use it meanwhile, and are preempted for that class.
struct ReservedMachine {
    MachineId machine;
    std::string job_class;
    Rank rank = Rank::standard;
    std::uint32_t max_save_ms = 0;
    JobId job;  // not empty: reserved for this one alone
};
/// Autoscaler to the machines' leaders: replaces all earlier reservations.
struct ReservationUpdate {
    bool is_first = true;  // of several messages: earlier reservations end with it
    std::vector<ReservedMachine> machines;
};
/// Autoscaler to a machine's leader: stop this task, with time to save, for work of higher rank.
struct PreemptionRequest {
    JobId job;
    TaskIndex task = 0;
    Attempt attempt = 0;
};
/// Autoscaler to all: machines that the cloud lists as running and from which no controller receives
/// heartbeats. Their leaders announce themselves there: a former leader that is partitioned from everything
/// else may still command them.
/// A machine as the cloud lists it.
struct DiscoveredMachine {
    MachineId id;
    std::string address;
};
struct MachinesDiscoveredNotification {
    std::vector<DiscoveredMachine> machines;
};
/// One start or end of a task, to be committed.
struct TaskOperation {
    std::uint8_t event = 0;
    TaskIndex task = 0;
    Attempt attempt = 0;
    MachineId machine;
    std::string zone;
    std::uint64_t term = 0;        // of the machine's leader when it decided this
    std::uint64_t request_id = 0;  // chosen by that leader
};
/// A machine's leader to the job's committer: commit these with the operations of other leaders.
struct CommitRequest {
    JobId job;
    std::vector<TaskOperation> operations;
};
/// What came of one operation.
struct OperationResult {
    std::uint64_t request_id = 0;
    bool is_committed = false;
};
/// A record as a commit left it.
struct StoredRecord {
    std::string key, value;  // JSON text; empty: deleted
    std::uint64_t version = 0;
};
/// The committer's answer: the operations' results and the records that the commit left.
struct CommitResponse {
    std::vector<OperationResult> results;
    std::vector<StoredRecord> records;
};
/// A leader to all: capacity has come free on machines of this type, so that tasks which found none may ask
/// again.
struct CapacityFreedNotification {
    std::string type;
    Resources free;
};
/// From the controller that confirms a cancellation, to all: its tasks are to be stopped at once, not only
/// when the watch brings it.
struct JobCancelledNotification {
    JobId job;
};
/// Any message between controllers; the order is the kind byte of the frame.
using PeerMessage =
    std::variant<Hello, PeerHeartbeat, PlacementRequest, PlacementResponse, PlacementDecision,
                 PlacementFailure, DrainRequest, DrainResponse, MachinesTerminatedNotification,
                 ReservationUpdate, PreemptionRequest, MachinesDiscoveredNotification, CommitRequest,
                 CommitResponse, CapacityFreedNotification, JobCancelledNotification>;

/// The whole frame, length included.
std::string encode(const PeerMessage& m);
/// `payload` is a frame without its length. Nothing when it is truncated, oversized or of an unknown kind.
std::optional<PeerMessage> decode(std::string_view payload);

}  // namespace zincdyke::wire
