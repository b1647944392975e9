/// Fault injection settings for delayed, duplicated and lost messages.
#pragma once

namespace zincdyke::testing {

/// Probabilities (0 to 1) that a message is delayed, duplicated or lost, and the lengths of the delays. Tests
/// may change the fields at any time. FakeNetwork has the settings for lossy links and network partitions.
struct MessageFaults {
    /// Probability that the key-value store executes a commit 2 to 12 s late and sends no response.
    double late_commits = 0;
    /// Probability that a commit is executed immediately while its response is lost.
    double lost_commit_responses = 0;
    /// Maximum extra delay of a response from the key-value store, in seconds.
    double store_response_delay_s = 0;
    /// Extra delay of a response to a list request, which is executed before the delay, in seconds.
    double list_response_delay_s = 0;

    /// Probability that a worker executes a direct command 2 to 16 s late and sends no response.
    double late_commands = 0;
    /// Probability that a worker's response to a direct command is delayed by up to 4 s.
    double late_command_responses = 0;

    /// Probability that a duplicate of a heartbeat arrives at the same controller, up to
    /// `duplicate_heartbeat_delay_s` later. The response to the duplicate is discarded.
    double duplicate_heartbeats = 0;
    double duplicate_heartbeat_delay_s = 40;
    /// Probability that a duplicate of a heartbeat to a leader is delivered to the machine's next leader.
    double heartbeats_replayed_to_next_leader = 0;

    /// Probability that a POST request is executed a second time, up to `duplicate_request_delay_s` later.
    /// Applies to commits, leases, machine rentals and returns, commands, job submissions and cancellations.
    double duplicate_requests = 0;
    double duplicate_request_delay_s = 90;
};

}  // namespace zincdyke::testing
