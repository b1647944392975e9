/// Writes job records that no task's start or end writes: the final one, and the change to smaller pages.
#pragma once
#include <set>

#include "base/env.h"
#include "base/settings.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// One write for a job is under way at a time; what fails is asked for again by whoever still needs it. Must
/// outlive the event loop's timers and requests.
class JobRecordWriter {
  public:
    /// The references must outlive the writer.
    JobRecordWriter(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache);
    /// Turns a job that is over into its final record, and deletes as many of its pages as fit.
    void close_job(const JobId& id);
    /// Has the job's record name pages of the size that surely fits the strictest limits. Every commit of a
    /// task's start or end names that record's version: none that was built for the larger pages is carried
    /// out after this one.
    void resize_pages(const JobId& id);

  private:
    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    std::set<JobId> closing_;
    std::set<JobId> resizing_;
};

/// The value of the final record of a job that is over: cancelled, or else done.
[[nodiscard]] Json final_record(const Job& job);

}  // namespace zincdyke
