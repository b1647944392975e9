#include "jobs/commit_forwarder.h"

#include <utility>

#include "jobs/commit_timing.h"

namespace zincdyke {
namespace {
constexpr Duration outbox_delay = std::chrono::milliseconds(5);
constexpr Duration reclaim_interval = std::chrono::milliseconds(250);
// How long a forwarded start or end may wait for the committer's response before it is reclaimed. A reachable
// committer responds within these timeouts unless a message is lost.
constexpr Duration start_answer_timeout = start_commit_timeout + std::chrono::seconds(1);
constexpr Duration end_answer_timeout = max_completion_batching_delay + std::chrono::seconds(6);
constexpr std::size_t max_operations_per_message = 256;
}  // namespace

CommitForwarder::CommitForwarder(Env& env, const StateCache& state_cache, PeerChannel& peers,
                                 ReclaimCallback on_reclaimed)
    : env_(env), state_cache_(state_cache), peers_(peers), on_reclaimed_(std::move(on_reclaimed)) {}

void CommitForwarder::start() { reclaim_operations(); }

// Sending an operation to its committer twice is safe: the committer checks each copy against the current
// leader's term and the task's current attempt.
void CommitForwarder::forward(const NodeName& committer, const JobId& job, PendingOperation operation) {
    const std::uint64_t request_id = ++last_request_id_;
    unanswered_operations_.emplace(request_id, ForwardedOperation{job, std::move(operation), committer,
                                                                  current_session(committer), env_.now()});
    ++counts_.forwarded_operations;
    outbox_[{committer, job}].push_back(request_id);
    if (!std::exchange(is_send_scheduled_, true)) env_.after(outbox_delay, [this] { send_outbox(); });
}

void CommitForwarder::send_outbox() {
    is_send_scheduled_ = false;
    for (const auto& [destination, request_ids] : std::exchange(outbox_, {})) {
        wire::CommitRequest request{destination.job, {}};
        for (const std::uint64_t request_id : request_ids) {
            const auto found = unanswered_operations_.find(request_id);
            if (found == unanswered_operations_.end()) continue;
            const PendingOperation& operation = found->second.operation;
            request.operations.push_back({static_cast<std::uint8_t>(operation.kind), operation.task,
                                          operation.attempt, operation.machine, operation.zone,
                                          operation.term.value(), request_id});
            if (request.operations.size() == max_operations_per_message)
                peers_.send(destination.committer, std::exchange(request, {destination.job, {}}));
        }
        if (!request.operations.empty()) peers_.send(destination.committer, std::move(request));
    }
}

std::vector<CommitForwarder::AnsweredOperation> CommitForwarder::take_answered_operations(
    const wire::CommitResponse& response) {
    std::vector<AnsweredOperation> answered;
    for (const auto& result : response.results) {
        const auto found = unanswered_operations_.find(result.request_id);
        if (found == unanswered_operations_.end()) continue;
        answered.push_back(
            {std::move(found->second.job), std::move(found->second.operation), result.is_committed});
        unanswered_operations_.erase(found);
    }
    return answered;
}

Revision CommitForwarder::current_session(const NodeName& node) const {
    const auto session = state_cache_.live_nodes().find(node);
    return session != state_cache_.live_nodes().end() ? session->second : Revision{};
}

bool CommitForwarder::should_reclaim(const ForwardedOperation& forwarded) const {
    if (!peers_.is_reachable(forwarded.committer) ||
        current_session(forwarded.committer) != forwarded.committer_session)
        return true;
    const Duration timeout = forwarded.operation.is_start() ? start_answer_timeout : end_answer_timeout;
    return env_.now() - forwarded.sent_at > timeout;
}

// Reclaims operations from committers that are unreachable, were restarted, lost their session or did not
// respond in time. If such a committer still commits an operation, one of the two commits fails with a
// version conflict. A committer that is only busy is not considered failed, since reclaiming operations that
// such a committer is still batching would cause extra writes.
void CommitForwarder::reclaim_operations() {
    env_.after(reclaim_interval, [this] { reclaim_operations(); });
    for (auto it = unanswered_operations_.begin(); it != unanswered_operations_.end();) {
        ForwardedOperation& forwarded = it->second;
        if (!should_reclaim(forwarded)) {
            ++it;
            continue;
        }
        ++counts_.reclaimed_operations;
        on_reclaimed_(forwarded.job, std::move(forwarded.operation));
        it = unanswered_operations_.erase(it);
    }
}

}  // namespace zincdyke
