/// Applies the records of a commit to the state cache, on this node and on the leaders that forwarded the
/// operations. Otherwise, these nodes would base decisions on outdated records until the watch delivers the
/// new records.
#pragma once
#include <vector>

#include "store/state_cache.h"
#include "store/store_client.h"
#include "wire/peer_messages.h"

namespace zincdyke {

/// Applies the writes of `transaction`, which was committed at `revision`, to the state cache.
void apply_committed(StateCache& state_cache, const Transaction& transaction, Revision revision);

/// Returns the watched records that `transaction` wrote, in the format of peer messages. Records that exceed
/// the size limit of one message are omitted.
[[nodiscard]] std::vector<wire::StoredRecord> stored_records(const Transaction& transaction,
                                                             Revision revision);

/// Applies the records of another controller's commit to the state cache. Skips pages whose job is not in the
/// cache and values that are not valid JSON; the watch delivers those records.
void apply_stored_records(StateCache& state_cache, const std::vector<wire::StoredRecord>& records);

}  // namespace zincdyke
