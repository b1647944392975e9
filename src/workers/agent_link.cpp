#include "workers/agent_link.h"

#include <algorithm>

namespace zincdyke {

Duration max_lease_duration(double lease_s) { return seconds(lease_s * 1.002) + millis(100); }

void AgentLink::reset_for_term(Term term) {
    term_ = term;
    has_received_term_ = has_sent_heartbeat_ = receives_responses_ = false;
    token_count_ = 0;
    heartbeat_requested_at_ = {};
}

void AgentLink::on_message(const wire::Heartbeat& heartbeat, Term term, HeartbeatSource source,
                           SteadyTime now) {
    if (term_ != term) reset_for_term(term);
    const bool confirms_term = heartbeat.token.term == term;
    const bool is_from_agent = source == HeartbeatSource::agent;
    if (confirms_term) token_count_ = std::max(token_count_, heartbeat.token.count);
    // An agent begins a new epoch when it received no response for a whole lease duration.
    if (heartbeat.sequence.agent_epoch > newest_sequence_.agent_epoch) {
        receives_responses_ = false;
        last_answered_heartbeat_number_ = 0;
    }
    if (confirms_term && !has_received_term_) receives_responses_ = true;
    if (is_from_agent && last_answered_heartbeat_number_ > 0 &&
        heartbeat.sequence.number == last_answered_heartbeat_number_ + 1)
        receives_responses_ = true;
    if (is_from_agent && receives_responses_) last_connected_at_ = now;
    newest_sequence_ = heartbeat.sequence;
    if (confirms_term) has_received_term_ = true;
    if (is_from_agent) has_sent_heartbeat_ = true;
}

void AgentLink::record_message_received(SteadyTime now) {
    last_message_at_ = std::max(last_message_at_, now);
}

void AgentLink::mark_lease_expired(Term term) {
    expired_epoch_ = newest_sequence_.agent_epoch;
    expired_term_ = term;
    receives_responses_ = false;
}

void AgentLink::record_heartbeat_requested(SteadyTime now) {
    heartbeat_requested_at_ = now;
    ++token_count_;
}

bool AgentLink::is_stale(const wire::HeartbeatSequence& sequence, Term term) const {
    return sequence <= newest_sequence_ || (expired_term_ == term && sequence.agent_epoch <= expired_epoch_);
}

bool AgentLink::is_lease_overdue(std::uint64_t agent_epoch, Term term, SteadyTime now, double lease_s) const {
    return term_ == term && has_sent_heartbeat_ && agent_epoch == newest_sequence_.agent_epoch &&
           now - last_message_at_ > max_lease_duration(lease_s);
}

bool AgentLink::was_heartbeat_requested(SteadyTime now, Duration interval) const {
    return heartbeat_requested_at_ != SteadyTime{} && now - heartbeat_requested_at_ < interval;
}

}  // namespace zincdyke
