/// Which messages come late, twice or not at all.
#pragma once

namespace zincdyke::testing {

/// Shares of messages (0 to 1) that are delayed, duplicated or lost, and how late they come. Tests set the
/// fields at any time. Loss on a link, and partitions, are set in FakeNetwork.
struct MessageFaults {
    /// Commits to the key-value store that get no response and are carried out 2 to 12 s later.
    double late_commits = 0;
    /// Commits that are carried out at once while their response is lost.
    double lost_commit_responses = 0;
    /// The key-value store's responses take up to so many seconds more.
    double store_response_delay_s = 0;

    /// Direct commands to workers that are carried out once, 2 to 16 s later, with no response.
    double late_commands = 0;
    /// Direct commands whose response takes up to 4 s.
    double late_command_responses = 0;

    /// Heartbeats that arrive once more at the same controller, up to `duplicate_heartbeat_delay_s` later;
    /// the response to the duplicate goes nowhere.
    double duplicate_heartbeats = 0;
    double duplicate_heartbeat_delay_s = 40;
    /// Heartbeats to a leader of which a duplicate is kept until the machine has a new leader, and arrives
    /// there.
    double heartbeats_replayed_to_next_leader = 0;

    /// POST requests that were carried out and come once more, up to `duplicate_request_delay_s` later:
    /// commits, leases, rentals, returns, commands, submissions, cancellations.
    double duplicate_requests = 0;
    double duplicate_request_delay_s = 90;
};

}  // namespace zincdyke::testing
