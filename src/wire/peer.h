// Messages between controllers: packed structs, little-endian, versioned, checked against their bounds.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/json_api.h"

namespace zd::wire {

constexpr std::uint8_t peer_version = 4;
constexpr std::size_t max_peer_frame = std::size_t{256} * 1024;
constexpr std::size_t peer_header = 4;  // length of what follows, as u32

// Names a scatter round: the relay that began it and that relay's own count.
struct RoundId {
    NodeName relay;
    std::uint64_t number = 0;
    auto operator<=>(const RoundId&) const = default;
};

struct Hello {
    NodeName node;
    std::uint64_t incarnation = 0;
};
// One machine as its owner sees it.
struct MachineBeat {
    MachineId id;
    std::string type, zone, address;
    bool spot = false, usable = false, silent = false;
    std::uint64_t session = 0;
    std::uint32_t busy_tasks = 0;  // committed to it, held for offers or reported by it
    std::uint32_t idle_ms = 0, silent_ms = 0;
};
// What a controller knows of cancellations (cluster/horizon). Stamps are the steady clock of whoever first
// sent them.
struct Vouch {
    std::uint64_t life = 0;                 // of the sending process
    std::uint64_t stamp = 0;                // when this was sent
    std::uint64_t echo_life = 0, echo = 0;  // the receiver's newest stamp that came here
    bool behind = false;  // the sender has learnt nothing for a while: tell it what you know
    bool whole = false;   // `cancelled` names all unfinished jobs that the sender knows to be cancelled
    std::vector<JobId> cancelled;
};
struct Beat {
    Vouch vouch;
    bool store_ok = false;
    std::uint64_t seen = 0;          // revision this node has read up to
    std::uint32_t write_demand = 0;  // how much this node has to commit, against its peers
    std::vector<MachineBeat> machines;
};
// Relay to every scorer: a job's tasks that want machines.
struct Ask {
    RoundId round;
    JobId job;
    NodeName gatherer;
    std::uint8_t scorers = 0;  // how many the gatherer may expect answers from
    Room need;
    std::string image;
    Rank rank = Rank::standard;
    std::vector<TaskIndex> tasks;
};
struct Offer {
    MachineId machine;
    std::string zone;
    std::int64_t score = 0;
};
// Scorer to gatherer: one offer for each task that it has room for.
struct Offers {
    RoundId round;
    JobId job;
    NodeName scorer;
    std::uint8_t scorers = 0;
    bool whole = false;  // a gang: all or nothing
    std::vector<TaskIndex> tasks;
    std::vector<Offer> offers;
};
struct Assignment {
    TaskIndex task = 0;
    MachineId machine;
};
// Gatherer to scorer: these yes, the rest of the round no.
struct Verdict {
    RoundId round;
    JobId job;
    std::vector<Assignment> yes;
};
// To the relay, from the gatherer (nobody had room) or from an owner (conflict): place these again.
struct Unplaced {
    RoundId round;
    JobId job;
    std::vector<TaskIndex> tasks;
};
// Supplier to owner: use this machine no more, I want to return it; and the owner's word that it is empty.
struct Drain {
    MachineId machine;
};
struct Drained {
    MachineId machine;
};
// Supplier to all: the cloud confirmed the return; nothing runs there any more.
struct Gone {
    std::vector<MachineId> machines;
};
// Supplier to their owners: machines kept for a class of jobs that cannot wait for a boot.
// Others may use them on sufferance: tasks of lower rank that save within `save_ms` when they are stopped.
struct ReservedMachine {
    MachineId machine;
    std::string job_class;
    Rank rank = Rank::standard;
    std::uint32_t save_ms = 0;
    JobId job;  // not empty: kept for this one alone
};
struct Reserve {
    bool first = true;  // of several messages: what was reserved before is over
    std::vector<ReservedMachine> machines;
};
// Supplier to owner: stop this task, with time to save, for work of higher rank.
struct Preempt {
    JobId job;
    TaskIndex task = 0;
    Attempt attempt = 0;
};
// Supplier to all: machines that the cloud lists as running and that no controller hears. Their owners
// announce themselves there: an earlier owner that is cut off from everything else may still hold them.
struct SightedMachine {
    MachineId id;
    std::string address;
};
struct Sighted {
    std::vector<SightedMachine> machines;
};
// Owner to the home of a job: commit these starts and ends with those of other owners.
struct TaskOp {
    std::uint8_t event = 0;
    TaskIndex task = 0;
    Attempt attempt = 0;
    MachineId machine;
    std::string zone;
    std::uint64_t term = 0;    // of the owner, under which it was judged
    std::uint64_t ticket = 0;  // the owner's name for it
};
struct Settle {
    JobId job;
    std::vector<TaskOp> ops;
};
// The home's answer: what came of them, and the records that the commit left.
struct SettledOp {
    std::uint64_t ticket = 0;
    bool done = false;
};
struct Record {
    std::string key, value;  // JSON text; empty: deleted
    std::uint64_t version = 0;
};
struct Settled {
    std::vector<SettledOp> ops;
    std::vector<Record> records;
};
// Owner to all: room has come free on machines of this type, so that tasks which found none may ask again.
struct Freed {
    std::string type;
    Room room;
};
// Whoever confirms a cancellation to all: its tasks are to be halted at once, not when the watch brings it.
struct CalledOff {
    JobId job;
};
using PeerMessage = std::variant<Hello, Beat, Ask, Offers, Verdict, Unplaced, Drain, Drained, Gone, Reserve,
                                 Preempt, Sighted, Settle, Settled, Freed, CalledOff>;

// The whole frame, length included.
std::string encode(const PeerMessage& m);
// `payload` is a frame without its length. Nothing when it is truncated, oversized or of an unknown kind.
std::optional<PeerMessage> decode(std::string_view payload);

}  // namespace zd::wire
