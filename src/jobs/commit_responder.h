/// Returns the results of forwarded operations from the committer to the shard leaders that requested them.
#pragma once
#include <map>
#include <vector>

#include "base/env.h"
#include "cluster/peer_channel.h"
#include "jobs/pending_operation.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Collects the results of forwarded operations and sends them in one message per shard leader. After a
/// commit, the message also contains the records that the commit wrote; otherwise the results are sent in the
/// next iteration of the event loop. The responder must outlive the timers that it starts.
class CommitResponder {
  public:
    /// Keeps both references; they must outlive the responder.
    CommitResponder(Env& env, PeerChannel& peers) : env_(env), peers_(peers) {}
    /// Stores the result of a forwarded operation. The result is sent in the next iteration of the event
    /// loop, unless send_with_records() sends it first.
    void add_result(const ForwardedRequest& request, bool is_committed);
    /// Sends all stored results, with the records that `transaction` wrote at `revision`.
    void send_with_records(const Transaction& transaction, Revision revision);

  private:
    void send(const std::vector<wire::StoredRecord>& records);

    Env& env_;
    PeerChannel& peers_;
    std::map<NodeName, std::vector<wire::OperationResult>> results_;
    bool is_send_scheduled_ = false;
};

}  // namespace zincdyke
