/// Questions that wait until the state cache has caught up with them.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>

#include "base/types.h"

namespace zincdyke {

/// A queue of callbacks, oldest first. One answer of the store serves all that were asked before it was
/// requested.
class PendingReads {
  public:
    /// `is_fresh`: the state cache holds all that was committed before the question. False: not answered in
    /// time.
    using Callback = std::function<void(bool is_fresh)>;

    void add(SteadyTime now, Callback done);
    [[nodiscard]] bool empty() const { return reads_.empty(); }
    [[nodiscard]] bool is_full() const;
    /// To be taken when the store is asked: its answer serves the reads numbered below this.
    [[nodiscard]] std::uint64_t next_read_number() const { return next_number_; }
    /// Calls back all reads numbered below `end`. They may add further ones.
    void complete_before(std::uint64_t end);
    /// Calls back, as not fresh, what has waited for too long.
    void expire(SteadyTime now);

  private:
    struct Read {
        std::uint64_t number = 0;
        SteadyTime asked_at;
        Callback done;
    };
    void finish_oldest(bool is_fresh);
    std::deque<Read> reads_;
    std::uint64_t next_number_ = 0;
};

}  // namespace zincdyke
