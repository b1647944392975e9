#include "jobs/commit_responder.h"

#include <utility>

#include "jobs/committed_records.h"

namespace zincdyke {

void CommitResponder::add_result(const ForwardedRequest& request, bool is_committed) {
    results_[request.leader].push_back({request.request_id, is_committed});
    if (!std::exchange(is_send_scheduled_, true)) env_.after(Duration(0), [this] { send({}); });
}

void CommitResponder::send_with_records(const Transaction& transaction, Revision revision) {
    send(stored_records(transaction, revision));
}

void CommitResponder::send(const std::vector<wire::StoredRecord>& records) {
    is_send_scheduled_ = false;
    for (auto& [leader, results] : std::exchange(results_, {}))
        peers_.send(leader, wire::CommitResponse{std::move(results), records});
}

}  // namespace zincdyke
