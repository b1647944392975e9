/// Forwards a shard leader's task operations to the controller that commits them, and tracks the responses.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "base/env.h"
#include "cluster/peer_channel.h"
#include "jobs/pending_operation.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Sends operations to their job's committer (ClusterCoordinator::committer_of) and keeps each one until the
/// committer responds or is considered failed. The forwarder must outlive the timers that it starts.
class CommitForwarder {
  public:
    /// Called on the event-loop thread with an operation whose committer failed or did not respond in time;
    /// the callee must commit the operation on this node.
    using ReclaimCallback = std::function<void(const JobId& job, PendingOperation operation)>;
    /// A forwarded operation with the result that its committer reported.
    struct AnsweredOperation {
        JobId job;
        PendingOperation operation;
        bool is_committed = false;
    };
    /// Totals of forwarded and reclaimed operations since the process started.
    struct Counts {
        std::uint64_t forwarded_operations = 0, reclaimed_operations = 0;
    };

    /// Keeps all reference arguments; they must outlive the forwarder.
    CommitForwarder(Env& env, const StateCache& state_cache, PeerChannel& peers,
                    ReclaimCallback on_reclaimed);
    /// Starts the periodic check that reclaims operations from failed committers.
    void start();
    /// Queues an operation for `committer`. Operations for the same committer and job are sent in one message
    /// after a delay of a few milliseconds.
    void forward(const NodeName& committer, const JobId& job, PendingOperation operation);
    /// Removes and returns the forwarded operations for which `response` contains a result, each with its
    /// result. Ignores results of operations that were already removed or reclaimed.
    [[nodiscard]] std::vector<AnsweredOperation> take_answered_operations(
        const wire::CommitResponse& response);
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    struct ForwardedOperation {
        JobId job;
        PendingOperation operation;
        NodeName committer;
        // Version of the committer's node record when the operation was forwarded. A new session changes it.
        Revision committer_session;
        SteadyTime sent_at;
    };
    struct Destination {
        NodeName committer;
        JobId job;
        auto operator<=>(const Destination&) const = default;
    };
    void send_outbox();
    void reclaim_operations();
    [[nodiscard]] bool should_reclaim(const ForwardedOperation& forwarded) const;
    [[nodiscard]] Revision current_session(const NodeName& node) const;

    Env& env_;
    const StateCache& state_cache_;
    PeerChannel& peers_;
    const ReclaimCallback on_reclaimed_;
    std::map<std::uint64_t, ForwardedOperation> unanswered_operations_;  // operations by request id
    std::map<Destination, std::vector<std::uint64_t>> outbox_;
    bool is_send_scheduled_ = false;
    std::uint64_t last_request_id_ = 0;
    Counts counts_;
};

}  // namespace zincdyke
