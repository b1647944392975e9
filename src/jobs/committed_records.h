/// The records that a commit left: into this node's state cache at once, and to the leaders that forwarded
/// operations, so that nobody acts on an older view until the watch brings them.
#pragma once
#include <vector>

#include "store/state_cache.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Applies what `transaction` wrote, committed at `revision`, to the cache.
void apply_committed(StateCache& state_cache, const Transaction& transaction, Revision revision);

/// The live records that `transaction` wrote, as a message to a peer carries them; no more than fit one.
[[nodiscard]] std::vector<wire::StoredRecord> stored_records(const Transaction& transaction,
                                                             Revision revision);

/// Applies the records of a peer's commit to the cache. Pages of jobs that the cache doesn't know, and values
/// that are no JSON, are left out: the watch brings them.
void apply_stored_records(StateCache& state_cache, const std::vector<wire::StoredRecord>& records);

}  // namespace zincdyke
