/// State of the communication between a shard's leader and the agent of one machine.
#pragma once
#include <cstdint>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

/// How a heartbeat message reached this node.
enum class HeartbeatSource : std::uint8_t {
    agent,            // a heartbeat request from the agent; the response renews the agent's lease
    command_response  // the status in the agent's response to a command; it renews no lease
};

/// Returns the longest time for which a lease of `lease_s` may still be valid, measured on this node's clock.
/// Allows for a clock drift of 0.05% on both nodes and for timer granularity.
[[nodiscard]] Duration max_lease_duration(double lease_s);

/// Tracks which messages an agent has provably received from this node, and when the agent's lease ends.
/// Evidence collected under one leader term does not apply to a later term, so it is discarded when the term
/// changes.
class AgentLink {
  public:
    /// Updates the link's state from a message of the agent. The message must not be stale (see `is_stale`).
    void on_message(const wire::Heartbeat& heartbeat, Term term, HeartbeatSource source, SteadyTime now);
    /// Records that a message of the agent arrived at `now`. The agent's lease ends at most one lease
    /// duration later.
    void record_message_received(SteadyTime now);
    /// Records that this node answers the heartbeat that has the sequence number `number` in its agent epoch.
    void record_heartbeat_answered(std::uint64_t number) { last_answered_heartbeat_number_ = number; }
    /// Discards all evidence that the agent receives this node's responses.
    void mark_responses_unacknowledged() { receives_responses_ = false; }
    /// Prevents the agent's next heartbeat from counting as evidence that it received the response to the
    /// previous one.
    void clear_last_answered_heartbeat_number() { last_answered_heartbeat_number_ = 0; }
    /// Records that the lease of the current agent epoch expired under `term`. Further messages of the epoch
    /// are stale under `term`, but not under a later term: a leader other than this node may have renewed the
    /// lease in between.
    void mark_lease_expired(Term term);
    /// Records that a command requesting an early heartbeat is sent at `now`, and increments the counter in
    /// the fencing token, so that the command has a higher token than earlier messages to the agent.
    void record_heartbeat_requested(SteadyTime now);

    /// Whether an agent's message with this sequence must be ignored: it is not newer than the newest message
    /// received so far, or belongs to an agent epoch whose lease expired under `term`.
    [[nodiscard]] bool is_stale(const wire::HeartbeatSequence& sequence, Term term) const;
    /// Whether no message of the agent epoch arrived for longer than a lease can last. False if the agent has
    /// sent no heartbeat under `term`.
    [[nodiscard]] bool is_lease_overdue(std::uint64_t agent_epoch, Term term, SteadyTime now,
                                        double lease_s) const;
    /// Whether the agent has proved that it received `term`. An agent that has received `term` rejects
    /// commands and responses of leaders with an earlier term.
    [[nodiscard]] bool has_received_term(Term term) const { return has_received_term_ && term_ == term; }
    /// Whether the agent sends heartbeats under `term` and has proved that it receives this node's responses.
    [[nodiscard]] bool is_connected(Term term) const {
        return has_sent_heartbeat_ && receives_responses(term);
    }
    /// Whether the agent has proved that it receives this node's responses under `term`.
    [[nodiscard]] bool receives_responses(Term term) const { return receives_responses_ && term_ == term; }
    /// Whether the agent has proved, in the leader term of its newest message, that it receives this node's
    /// responses.
    [[nodiscard]] bool receives_responses() const { return receives_responses_; }
    /// Returns the fencing token for a command or response to the agent under `term`.
    [[nodiscard]] wire::FencingToken fencing_token(Term term) const {
        return {term, term_ == term ? token_count_ : 0};
    }
    /// Whether the counter in the fencing token has reached its maximum. Each request for an early heartbeat
    /// needs a higher counter, so no further request is possible until the leader's term changes.
    [[nodiscard]] bool is_token_exhausted() const { return token_count_ == wire::FencingToken::max_count; }
    /// Whether an early heartbeat was requested less than `interval` before `now`.
    [[nodiscard]] bool was_heartbeat_requested(SteadyTime now, Duration interval) const;
    [[nodiscard]] const wire::HeartbeatSequence& newest_sequence() const { return newest_sequence_; }
    [[nodiscard]] std::uint64_t agent_epoch() const { return newest_sequence_.agent_epoch; }
    [[nodiscard]] std::uint64_t last_answered_heartbeat_number() const {
        return last_answered_heartbeat_number_;
    }
    /// Arrival time of the agent's newest message. The agent's lease was last renewed at that time or
    /// earlier.
    [[nodiscard]] SteadyTime last_message_at() const { return last_message_at_; }
    /// Arrival time of the newest heartbeat at which the agent was known to receive this node's responses.
    [[nodiscard]] SteadyTime last_connected_at() const { return last_connected_at_; }

  private:
    void reset_for_term(Term term);
    Term term_;  // leader term under which `has_received_term_` to `heartbeat_requested_at_` were recorded
    bool has_received_term_ = false;
    bool has_sent_heartbeat_ = false;
    // Sending a response does not prove that it arrives. Proof is a message with a term that only this node
    // can have sent to the agent, or two consecutive heartbeats to this node within one agent epoch: without
    // a response, the agent would have sent the second one to another controller.
    bool receives_responses_ = false;
    std::uint32_t token_count_ = 0;
    SteadyTime heartbeat_requested_at_{};
    wire::HeartbeatSequence newest_sequence_;
    SteadyTime last_message_at_{};
    SteadyTime last_connected_at_{};
    std::uint64_t last_answered_heartbeat_number_ = 0;  // 0: none answered in the newest agent epoch
    std::uint64_t expired_epoch_ = 0;  // agent epoch whose lease expired under `expired_term_`; 0: none
    Term expired_term_;
};

}  // namespace zincdyke
