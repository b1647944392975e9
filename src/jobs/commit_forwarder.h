/// A leader's side of commits that another controller makes for it: operations go to their job's committer
/// (ClusterCoordinator::committer_of), whose answer is waited for.
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

/// Forwards operations and keeps each until its committer has answered or is given up. Must outlive the event
/// loop's timers, as all parts of a controller do.
class CommitForwarder {
  public:
    /// Takes an operation back whose committer is given up: this node commits it itself.
    using ReclaimCallback = std::function<void(const JobId& job, PendingOperation operation)>;
    /// An operation that its committer has answered.
    struct AnsweredOperation {
        JobId job;
        PendingOperation operation;
        bool is_committed = false;
    };
    struct Counts {
        std::uint64_t forwarded_operations = 0, reclaimed_operations = 0;
    };

    /// The references must outlive the forwarder.
    CommitForwarder(Env& env, const StateCache& state_cache, PeerChannel& peers,
                    ReclaimCallback on_reclaimed);
    /// Begins to look for committers that are to be given up.
    void start();
    /// Sends the operation to `committer`, together with what else goes there for the job in the next moment.
    void forward(const NodeName& committer, const JobId& job, PendingOperation operation);
    /// Hands over the operations that the response answers. Late and repeated answers are ignored.
    [[nodiscard]] std::vector<AnsweredOperation> take_answered(const wire::CommitResponse& response);
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    struct ForwardedOperation {
        JobId job;
        PendingOperation operation;
        NodeName committer;
        Revision committer_session;  // of the process that was asked
        SteadyTime sent_at;
    };
    struct Destination {
        NodeName committer;
        JobId job;
        auto operator<=>(const Destination&) const = default;
    };
    void send_outbox();
    void reclaim();
    [[nodiscard]] bool is_given_up(const ForwardedOperation& forwarded) const;
    [[nodiscard]] Revision session_of(const NodeName& node) const;

    Env& env_;
    const StateCache& state_cache_;
    PeerChannel& peers_;
    const ReclaimCallback on_reclaimed_;
    std::map<std::uint64_t, ForwardedOperation> unanswered_;  // by request id
    std::map<Destination, std::vector<std::uint64_t>> outbox_;
    bool is_send_scheduled_ = false;
    std::uint64_t last_request_id_ = 0;
    Counts counts_;
};

}  // namespace zincdyke
