/// Final states of jobs, as read from the key-value store.
#pragma once
#include <cstdint>
#include <list>
#include <unordered_map>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

/// How a job ended. It never changes.
struct FinalState {
    wire::Phase phase = wire::Phase::done;  ///< done or cancelled
    std::int64_t tasks = 0;                 ///< that the job had
};

/// The final states used last, up to a number of them. The least recently used make room for new ones.
class FinalStateCache {
  public:
    explicit FinalStateCache(std::size_t max_entries) : max_entries_(max_entries) {}

    /// Null when the job's final state is not in the cache. Valid until the next call of `put`.
    [[nodiscard]] const FinalState* find(const JobId& id);
    /// Does nothing if the job is known: final states don't change.
    void put(const JobId& id, FinalState state);

  private:
    struct Entry {
        JobId id;
        FinalState state;
    };
    std::size_t max_entries_;
    std::list<Entry> entries_;  // most recently used first
    std::unordered_map<JobId, std::list<Entry>::iterator> by_job_;
};

}  // namespace zincdyke
