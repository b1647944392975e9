#include "jobs/commit_forwarder.h"

#include <utility>

#include "jobs/commit_timing.h"

namespace zincdyke {
namespace {
constexpr Duration outbox_delay = std::chrono::milliseconds(5);
constexpr Duration reclaim_interval = std::chrono::milliseconds(250);
// A committer that lives and is reachable answers within these; after that its message was lost, and the
// leader commits itself.
constexpr Duration start_answer_timeout = start_commit_timeout + std::chrono::seconds(1);
constexpr Duration end_answer_timeout = max_completion_delay + std::chrono::seconds(6);
constexpr std::size_t max_operations_in_message = 256;
}  // namespace

CommitForwarder::CommitForwarder(Env& env, const StateCache& state_cache, PeerChannel& peers,
                                 ReclaimCallback on_reclaimed)
    : env_(env), state_cache_(state_cache), peers_(peers), on_reclaimed_(std::move(on_reclaimed)) {}

void CommitForwarder::start() { reclaim(); }

// What a late copy of this message says is judged again by the committer, under the same term and attempt.
void CommitForwarder::forward(const NodeName& committer, const JobId& job, PendingOperation operation) {
    const std::uint64_t request_id = ++last_request_id_;
    unanswered_.emplace(request_id, ForwardedOperation{job, std::move(operation), committer,
                                                       session_of(committer), env_.now()});
    ++counts_.forwarded_operations;
    outbox_[{committer, job}].push_back(request_id);
    if (!std::exchange(is_send_scheduled_, true)) env_.after(outbox_delay, [this] { send_outbox(); });
}

void CommitForwarder::send_outbox() {
    is_send_scheduled_ = false;
    for (const auto& [to, request_ids] : std::exchange(outbox_, {})) {
        wire::CommitRequest request{to.job, {}};
        for (const std::uint64_t request_id : request_ids) {
            const auto found = unanswered_.find(request_id);
            if (found == unanswered_.end()) continue;
            const PendingOperation& operation = found->second.operation;
            request.operations.push_back({static_cast<std::uint8_t>(operation.kind), operation.task,
                                          operation.attempt, operation.machine, operation.zone,
                                          operation.term.value(), request_id});
            if (request.operations.size() == max_operations_in_message)
                peers_.send(to.committer, std::exchange(request, {to.job, {}}));
        }
        if (!request.operations.empty()) peers_.send(to.committer, std::move(request));
    }
}

std::vector<CommitForwarder::AnsweredOperation> CommitForwarder::take_answered(
    const wire::CommitResponse& response) {
    std::vector<AnsweredOperation> answered;
    for (const auto& result : response.results) {
        const auto found = unanswered_.find(result.request_id);
        if (found == unanswered_.end()) continue;
        answered.push_back(
            {std::move(found->second.job), std::move(found->second.operation), result.is_committed});
        unanswered_.erase(found);
    }
    return answered;
}

Revision CommitForwarder::session_of(const NodeName& node) const {
    const auto session = state_cache_.live_nodes().find(node);
    return session != state_cache_.live_nodes().end() ? session->second : Revision{};
}

bool CommitForwarder::is_given_up(const ForwardedOperation& forwarded) const {
    if (!peers_.is_reachable(forwarded.committer) ||
        session_of(forwarded.committer) != forwarded.committer_session)
        return true;
    const Duration timeout = forwarded.operation.is_start() ? start_answer_timeout : end_answer_timeout;
    return env_.now() - forwarded.sent_at > timeout;
}

// A committer that is gone or began anew, or is cut off from us or from the key-value store, is not waited
// for: the leader commits itself. Should the committer do so too, one of the two commits finds the other's
// versions and fails. One that is only busy is waited for: ends reclaimed while it gathered them would be
// written twice.
void CommitForwarder::reclaim() {
    env_.after(reclaim_interval, [this] { reclaim(); });
    for (auto it = unanswered_.begin(); it != unanswered_.end();) {
        ForwardedOperation& forwarded = it->second;
        if (!is_given_up(forwarded)) {
            ++it;
            continue;
        }
        ++counts_.reclaimed_operations;
        on_reclaimed_(forwarded.job, std::move(forwarded.operation));
        it = unanswered_.erase(it);
    }
}

}  // namespace zincdyke
