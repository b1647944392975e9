/// What a leader can conclude from the messages of one machine's agent.
#pragma once
#include <cstdint>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

/// How a heartbeat came here.
enum class HeartbeatSource : std::uint8_t {
    agent,            // sent by the agent itself; a response renews its lease
    command_response  // in its response to a command; nothing is renewed
};

/// How old a lease must be to have expired for certain. Two clocks may each be off by 0.05%; the rest covers
/// the timer's own step.
[[nodiscard]] Duration max_lease_duration(double lease_s);

/// The exchange with one agent under this node's term: what it has proved to have received, and how long its
/// lease may still run. Everything that only a term proves is dropped when the term changes.
class AgentLink {
  public:
    /// Takes over a message that is newer than all before (see `is_stale`).
    void on_message(const wire::Heartbeat& heartbeat, Term term, HeartbeatSource source, SteadyTime now);
    /// Something of the agent's arrived at `now`: its lease ends at most one lease later.
    void record_message_received(SteadyTime now);
    /// The agent's message with this number gets a response.
    void record_heartbeat_answered(std::uint64_t number) { last_answered_number_ = number; }
    /// No message of the agent proves any more that it receives our responses.
    void mark_responses_unacknowledged() { receives_responses_ = false; }
    /// The next message does not prove that the response to the one before arrived.
    void clear_last_answered_number() { last_answered_number_ = 0; }
    /// Its lease expired under `term`: what still comes of this epoch is a late copy. Under a later term it
    /// may be alive, since another leader may have renewed it between the two.
    void mark_lease_expired(Term term);
    /// A command that asks for an early heartbeat goes out now; it needs a higher token.
    void record_heartbeat_requested(SteadyTime now);

    /// Older than what is known, or of an epoch whose lease expired under `term`.
    [[nodiscard]] bool is_stale(const wire::HeartbeatSequence& sequence, Term term) const;
    /// Nothing of this epoch arrived for longer than a lease.
    [[nodiscard]] bool is_lease_overdue(std::uint64_t agent_epoch, Term term, SteadyTime now,
                                        double lease_s) const;
    /// It has shown `term`: no other leader's commands or responses count any more.
    [[nodiscard]] bool has_received_term(Term term) const { return has_received_term_ && term_ == term; }
    /// It sends heartbeats under `term`, and receives our responses.
    [[nodiscard]] bool is_connected(Term term) const {
        return has_sent_heartbeat_ && receives_responses(term);
    }
    /// It receives our responses under `term`.
    [[nodiscard]] bool receives_responses(Term term) const { return receives_responses_ && term_ == term; }
    [[nodiscard]] bool receives_responses() const { return receives_responses_; }
    /// The token that a command or response under `term` bears.
    [[nodiscard]] wire::FencingToken token(Term term) const {
        return {term, term_ == term ? token_count_ : 0};
    }
    /// Heartbeats were asked for so often under this term that the token cannot be raised.
    [[nodiscard]] bool is_token_exhausted() const { return token_count_ == wire::FencingToken::max_count; }
    /// An early heartbeat was asked for less than `interval` ago.
    [[nodiscard]] bool was_heartbeat_requested(SteadyTime now, Duration interval) const;
    [[nodiscard]] const wire::HeartbeatSequence& sequence() const { return sequence_; }
    [[nodiscard]] std::uint64_t agent_epoch() const { return sequence_.agent_epoch; }
    [[nodiscard]] std::uint64_t last_answered_number() const { return last_answered_number_; }
    /// When the newest message arrived; its lease runs from there at the latest.
    [[nodiscard]] SteadyTime last_received() const { return last_received_; }
    /// When the newest heartbeat arrived while the agent received our responses.
    [[nodiscard]] SteadyTime last_connected() const { return last_connected_; }

  private:
    void begin_term(Term term);
    Term term_;  // that everything below holds for, down to `heartbeat_requested_`
    bool has_received_term_ = false;
    bool has_sent_heartbeat_ = false;
    // Heartbeats may arrive while nothing gets back to the machine: that a response was written proves
    // nothing. Proof is a term that only we can have told it, or two heartbeats to us in a row within one
    // epoch (without a response the second would have gone to another controller).
    bool receives_responses_ = false;
    std::uint32_t token_count_ = 0;
    SteadyTime heartbeat_requested_{};
    wire::HeartbeatSequence sequence_;  // of the newest message
    SteadyTime last_received_{};
    SteadyTime last_connected_{};
    std::uint64_t last_answered_number_ = 0;  // newest heartbeat of this epoch that was answered; 0: none
    std::uint64_t expired_epoch_ = 0;
    Term expired_term_;
};

}  // namespace zincdyke
