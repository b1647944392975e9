#include "jobs/job_record_writer.h"

#include <utility>

#include "base/log.h"
#include "jobs/committed_records.h"
#include "store/keys.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr Duration close_retry_delay = std::chrono::milliseconds(300);
constexpr Duration resize_retry_delay = std::chrono::milliseconds(300);
}  // namespace

JobRecordWriter::JobRecordWriter(Env& env, const Settings& settings, StoreClient& store,
                                 StateCache& state_cache)
    : env_(env), settings_(settings), store_(store), state_cache_(state_cache) {}

Json final_record(const Job& job) { return records::encode_final_state({!job.cancelled, job.spec.tasks}); }

void JobRecordWriter::close_job(const JobId& id) {
    const Job* job = state_cache_.job(id);
    // A start that was committed just before the cancellation must be in the cache before the job's pages are
    // deleted.
    if (job == nullptr || closing_jobs_.contains(id) || state_cache_.applied_revision < job->version) return;
    Transaction transaction;
    transaction.conditions.push_back({keys::job(id), job->version});
    transaction.writes.push_back({keys::job(id), std::nullopt, std::nullopt});
    transaction.writes.push_back({keys::final_state(id), final_record(*job), std::nullopt});
    for (const auto& key : state_cache_.written_page_keys(*job)) {
        // Pages that don't fit into the transaction are deleted later, as orphaned pages.
        if (transaction.writes.size() == settings_.strictest_limits.txn_ops) break;
        transaction.writes.push_back({key, std::nullopt, std::nullopt});
    }
    closing_jobs_.insert(id);
    store_.commit(transaction, RequestPriority::report, [this, id, transaction](const CommitResult& result) {
        if (result.outcome == Outcome::ok) {
            apply_committed(state_cache_, transaction, result.revision);
            log::info("event=job_closed job={} revision={}", id.value(), result.revision.value());
        }
        env_.after(close_retry_delay, [this, id] { closing_jobs_.erase(id); });
    });
}

void JobRecordWriter::resize_pages(const JobId& id) {
    const Job* job = state_cache_.job(id);
    if (job == nullptr || !resizing_jobs_.insert(id).second) return;
    Job resized = *job;
    resized.small_page_size = state_cache_.safe_page_size();
    Transaction transaction;
    transaction.conditions.push_back({keys::job(id), job->version});
    transaction.writes.push_back({keys::job(id), state_cache_.encode_job(resized), std::nullopt});
    store_.commit(transaction, RequestPriority::report, [this, id, transaction](const CommitResult& result) {
        // A failed change of the page size is not retried here: the operations that need smaller pages stay
        // queued and request the change again.
        const bool is_committed = result.outcome == Outcome::ok;
        env_.after(is_committed ? Duration(0) : resize_retry_delay, [this, id] { resizing_jobs_.erase(id); });
        if (!is_committed) return;
        log::info("event=pages_resized job={} size={} revision={}", id.value(), state_cache_.safe_page_size(),
                  result.revision.value());
        apply_committed(state_cache_, transaction, result.revision);
    });
}

}  // namespace zincdyke
