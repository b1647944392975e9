/// A committer's side of forwarded operations: results go back to the leaders that asked.
#pragma once
#include <map>
#include <vector>

#include "base/env.h"
#include "cluster/peer_channel.h"
#include "jobs/pending_operation.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Gathers results and sends them, one message for each leader: with the records of a commit, or else on the
/// event loop's next turn. Must outlive the event loop's timers.
class CommitResponder {
  public:
    /// The references must outlive the responder.
    CommitResponder(Env& env, PeerChannel& peers) : env_(env), peers_(peers) {}
    /// Notes a result; it waits for the records that go with it.
    void add_result(const ForwardedRequest& request, bool is_committed);
    /// Sends what waits, with the records that `transaction` left.
    void send_with_records(const Transaction& transaction, Revision revision);

  private:
    void send(const std::vector<wire::StoredRecord>& records);

    Env& env_;
    PeerChannel& peers_;
    std::map<NodeName, std::vector<wire::OperationResult>> results_;
    bool is_send_scheduled_ = false;
};

}  // namespace zincdyke
