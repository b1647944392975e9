#include "cluster/pending_reads.h"

#include <utility>

namespace zincdyke {
namespace {
// Timeout of a pending read, so that users get a response within 2 s even if the state cache is not
// refreshed.
constexpr Duration read_timeout = std::chrono::milliseconds(1700);
constexpr std::size_t max_pending_reads = 2000;
}  // namespace

void PendingReads::add(SteadyTime now, Callback done) {
    reads_.push_back({next_number_++, now, std::move(done)});
}

bool PendingReads::is_full() const { return reads_.size() >= max_pending_reads; }

void PendingReads::complete_before(std::uint64_t end) {
    while (!reads_.empty() && reads_.front().number < end) complete_oldest(true);
}

void PendingReads::expire(SteadyTime now) {
    while (!reads_.empty() && now - reads_.front().added_at > read_timeout) complete_oldest(false);
}

void PendingReads::complete_oldest(bool is_fresh) {
    const Callback done = std::move(reads_.front().done);
    reads_.pop_front();
    done(is_fresh);
}

}  // namespace zincdyke
