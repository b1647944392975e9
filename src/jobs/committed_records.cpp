#include "jobs/committed_records.h"

#include "store/keys.h"

namespace zincdyke {
namespace {
constexpr std::size_t max_message_record_bytes = 60'000;  // keeps messages below the peer frame limit

bool is_job(const std::string& key) { return keys::parse(key).kind == keys::RecordKind::job; }

void apply_stored_record(StateCache& state_cache, const wire::StoredRecord& record) {
    const JobId page_job = keys::job_of_page(record.key);
    if (!page_job.empty() && state_cache.job(page_job) == nullptr) return;
    KeyUpdate update{record.key, std::nullopt, Revision{record.version}};
    if (!record.value.empty()) {
        Json value = Json::parse(record.value, nullptr, false);
        if (value.is_discarded()) return;
        update.value = std::move(value);
    }
    state_cache.apply(update);
}
}  // namespace

// Applies job records before pages: removing a job marks its pages as orphaned, and the deletions of pages in
// the same transaction clear these marks afterwards.
void apply_committed(StateCache& state_cache, const Transaction& transaction, Revision revision) {
    for (const auto& write : transaction.writes)
        if (is_job(write.key)) state_cache.apply({write.key, write.value, revision});
    for (const auto& write : transaction.writes)
        if (keys::is_watched(write.key)) state_cache.apply({write.key, write.value, revision});
}

std::vector<wire::StoredRecord> stored_records(const Transaction& transaction, Revision revision) {
    std::vector<wire::StoredRecord> records;
    std::size_t bytes = 0;
    for (const auto& write : transaction.writes) {
        if (!keys::is_watched(write.key)) continue;
        wire::StoredRecord record{write.key, write.value ? write.value->dump() : "", revision.value()};
        bytes += record.value.size();
        if (bytes <= max_message_record_bytes) records.push_back(std::move(record));
    }
    return records;
}

// Applies job records before pages, since pages whose job is not in the state cache are skipped.
void apply_stored_records(StateCache& state_cache, const std::vector<wire::StoredRecord>& records) {
    for (const auto& record : records)
        if (is_job(record.key)) apply_stored_record(state_cache, record);
    for (const auto& record : records)
        if (!is_job(record.key)) apply_stored_record(state_cache, record);
}

}  // namespace zincdyke
