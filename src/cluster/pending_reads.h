/// Queue of reads that wait for the state cache to catch up with the key-value store.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>

#include "base/types.h"

namespace zincdyke {

/// Consistent reads in the order in which they were added. Each read waits until the state cache contains
/// everything that was committed to the key-value store before the read was added.
///
/// Reads are numbered consecutively. One response of the key-value store completes all reads that were added
/// before the request was sent.
class PendingReads {
  public:
    /// Receives the outcome of a read: `is_fresh` is true if the state cache contains everything committed
    /// before the read was requested, and false if the read timed out or could not be started.
    using Callback = std::function<void(bool is_fresh)>;

    /// Appends a read that starts at `now`; `done` is called exactly once.
    void add(SteadyTime now, Callback done);
    [[nodiscard]] bool empty() const { return reads_.empty(); }
    /// Returns whether the number of pending reads has reached its maximum.
    [[nodiscard]] bool is_full() const;
    /// Returns the number that the next added read will get. A response to a request sent now completes all
    /// reads with lower numbers.
    [[nodiscard]] std::uint64_t next_read_number() const { return next_number_; }
    /// Removes all reads with numbers below `end` and calls their callbacks with true. A callback may add
    /// further reads.
    void complete_before(std::uint64_t end);
    /// Removes all reads that have timed out at `now` and calls their callbacks with false.
    void expire(SteadyTime now);

  private:
    struct Read {
        std::uint64_t number = 0;
        SteadyTime added_at;
        Callback done;
    };
    void complete_oldest(bool is_fresh);
    std::deque<Read> reads_;
    std::uint64_t next_number_ = 0;
};

}  // namespace zincdyke
