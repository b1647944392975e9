/// A bounded cache of the final states of jobs, as read from the key-value store.
#pragma once
#include <cstdint>
#include <list>
#include <unordered_map>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

/// The final state of a job, which never changes.
struct FinalState {
    wire::Phase phase = wire::Phase::done;  ///< either done or cancelled
    std::int64_t task_count = 0;
};

/// A cache of final states that evicts the least recently used entry when it is full.
class FinalStateCache {
  public:
    explicit FinalStateCache(std::size_t max_entries) : max_entries_(max_entries) {}

    /// Returns the job's final state, or null if it is not in the cache. The pointer is valid until the next
    /// call of `put`.
    [[nodiscard]] const FinalState* find(const JobId& id);
    /// Adds a job's final state. Does nothing if the cache has the job already, since final states are
    /// immutable.
    void put(const JobId& id, FinalState state);

  private:
    struct Entry {
        JobId id;
        FinalState state;
    };
    std::size_t max_entries_;
    std::list<Entry> entries_;  // ordered from most to least recently used
    std::unordered_map<JobId, std::list<Entry>::iterator> entries_by_job_;
};

}  // namespace zincdyke
