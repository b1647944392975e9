/// Writes job records outside the transactions that commit task starts and ends: a job's final record, and
/// the switch to smaller pages.
#pragma once
#include <set>

#include "base/env.h"
#include "base/settings.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Writes job records. Ignores a call while the same write of the same job is in progress. Failed writes are
/// not retried: the callers repeat the call while the write is still needed. The writer must outlive the
/// timers and store requests that it starts.
class JobRecordWriter {
  public:
    /// Keeps all reference arguments; they must outlive the writer.
    JobRecordWriter(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache);
    /// Replaces the record of a finished job by its final record, and deletes as many of its pages as fit
    /// into the transaction.
    void close_job(const JobId& id);
    /// Sets the page size in the job's record to the size that fits the strictest store limits. Every commit
    /// of a task start or end has the job record's version as a condition, so no transaction that was built
    /// for the larger pages can succeed after the change.
    void resize_pages(const JobId& id);

  private:
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    std::set<JobId> closing_jobs_;
    std::set<JobId> resizing_jobs_;
};

/// Returns the value of a finished job's final record, which contains whether the job was cancelled or is
/// done.
[[nodiscard]] Json final_record(const Job& job);

}  // namespace zincdyke
