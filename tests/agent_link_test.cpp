// What a machine's messages prove to the leader of its shard.
#include "workers/agent_link.h"

#include <gtest/gtest.h>

namespace zincdyke::testing {
namespace {

constexpr Term our_term{7};
constexpr SteadyTime start{std::chrono::seconds(100)};

wire::Heartbeat heartbeat(std::uint64_t agent_epoch, std::uint64_t number, Term shown) {
    wire::Heartbeat message;
    message.sequence = {agent_epoch, number};
    message.token = {shown, 0};
    return message;
}

TEST(AgentLink, TermThatOnlyWeToldProvesThatResponsesArrive) {
    AgentLink link;
    link.on_message(heartbeat(1, 1, Term{5}), our_term, HeartbeatSource::agent, start);
    EXPECT_FALSE(link.has_received_term(our_term));
    EXPECT_FALSE(link.is_connected(our_term));
    link.on_message(heartbeat(1, 2, our_term), our_term, HeartbeatSource::agent, start);
    EXPECT_TRUE(link.has_received_term(our_term));
    EXPECT_TRUE(link.is_connected(our_term));
}

TEST(AgentLink, HeartbeatAfterAnAnsweredOneProvesThatResponsesArrive) {
    AgentLink link;
    link.on_message(heartbeat(1, 4, Term{5}), our_term, HeartbeatSource::agent, start);
    link.record_heartbeat_answered(4);
    link.on_message(heartbeat(1, 6, Term{5}), our_term, HeartbeatSource::agent, start);
    EXPECT_FALSE(link.receives_responses(our_term)) << "number 5 went to another controller";
    link.record_heartbeat_answered(6);
    link.on_message(heartbeat(1, 7, Term{5}), our_term, HeartbeatSource::agent, start);
    EXPECT_TRUE(link.receives_responses(our_term));
}

TEST(AgentLink, NewEpochDropsTheProof) {
    AgentLink link;
    link.on_message(heartbeat(1, 1, our_term), our_term, HeartbeatSource::agent, start);
    link.record_heartbeat_answered(1);
    link.on_message(heartbeat(2, 2, our_term), our_term, HeartbeatSource::agent, start);
    EXPECT_FALSE(link.receives_responses(our_term));
    EXPECT_EQ(link.last_answered_heartbeat_number(), 0U);
}

TEST(AgentLink, NewTermDropsAllThatTheOldOneProved) {
    AgentLink link;
    link.on_message(heartbeat(1, 1, our_term), our_term, HeartbeatSource::agent, start);
    link.record_heartbeat_requested(start);
    EXPECT_EQ(link.fencing_token(our_term).count, 1U);
    const Term later{9};
    EXPECT_FALSE(link.has_received_term(later));
    EXPECT_EQ(link.fencing_token(later).count, 0U);
    link.on_message(heartbeat(1, 2, our_term), later, HeartbeatSource::agent, start);
    EXPECT_FALSE(link.is_connected(later));
    EXPECT_FALSE(link.was_heartbeat_requested(start, seconds(1)));
}

TEST(AgentLink, ResponseToACommandIsNoHeartbeat) {
    AgentLink link;
    link.on_message(heartbeat(1, 1, our_term), our_term, HeartbeatSource::command_response, start);
    EXPECT_TRUE(link.receives_responses(our_term));
    EXPECT_FALSE(link.is_connected(our_term));
    EXPECT_EQ(link.last_connected_at(), SteadyTime{});
}

TEST(AgentLink, MessagesOfAnExpiredEpochAreStaleUnderThatTermOnly) {
    AgentLink link;
    link.on_message(heartbeat(3, 10, our_term), our_term, HeartbeatSource::agent, start);
    EXPECT_TRUE(link.is_stale({3, 10}, our_term));
    EXPECT_FALSE(link.is_stale({3, 11}, our_term));
    link.mark_lease_expired(our_term);
    EXPECT_TRUE(link.is_stale({3, 11}, our_term));
    EXPECT_FALSE(link.is_stale({4, 1}, our_term));
    EXPECT_FALSE(link.is_stale({3, 11}, Term{9})) << "another leader may have renewed it between the two";
}

TEST(AgentLink, OverdueBeginsAfterTheLeaseHasSurelyExpired) {
    AgentLink link;
    link.record_message_received(start);
    link.on_message(heartbeat(1, 1, our_term), our_term, HeartbeatSource::agent, start);
    const SteadyTime limit = start + max_lease_duration(10);
    EXPECT_FALSE(link.is_lease_overdue(1, our_term, limit, 10));
    EXPECT_TRUE(link.is_lease_overdue(1, our_term, limit + Duration(1), 10));
    EXPECT_FALSE(link.is_lease_overdue(2, our_term, limit + Duration(1), 10));
    EXPECT_GT(max_lease_duration(10), seconds(10));
}

}  // namespace
}  // namespace zincdyke::testing
