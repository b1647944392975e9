#include "cluster/session_keeper.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "store/keys.h"

namespace zincdyke {
namespace {
constexpr Duration lease_retry_delay = std::chrono::milliseconds(250);
constexpr Duration record_retry_delay = std::chrono::milliseconds(200);
constexpr int renewals_per_lease = 4;

// The session lease is short enough that another controller takes over a failed controller's shards before
// the leases of the workers expire, so running tasks survive the failover.
Duration lease_duration(const Settings& settings) {
    return std::clamp(seconds(settings.lease_s * 0.4), millis(1500), seconds(10));
}
}  // namespace

SessionKeeper::SessionKeeper(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                             std::function<void()> on_lost)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(state_cache),
      on_lost_(std::move(on_lost)),
      lease_duration_(lease_duration(settings)) {}

void SessionKeeper::start() { replace_lease(); }

bool SessionKeeper::is_open() const {
    return record_state_ == RecordState::written || record_state_ == RecordState::rewriting;
}

bool SessionKeeper::begin_lease_request() {
    if (lease_state_ == LeaseState::requesting) return false;
    lease_state_ = LeaseState::requesting;
    set_record_missing();
    return true;
}

void SessionKeeper::end_lease_request(std::uint64_t lease) {
    lease_state_ = LeaseState::held;
    lease_id_ = lease;
}

bool SessionKeeper::begin_record_write() {
    switch (record_state_) {
        case RecordState::missing:
            record_state_ = RecordState::writing;
            return true;
        case RecordState::written:
            record_state_ = RecordState::rewriting;
            return true;
        case RecordState::writing:
        case RecordState::rewriting:
            break;
    }
    return false;
}

void SessionKeeper::end_record_write() {
    record_state_ = is_open() ? RecordState::written : RecordState::missing;
}

void SessionKeeper::set_record_written() { record_state_ = RecordState::written; }

void SessionKeeper::set_record_missing() {
    if (record_state_ == RecordState::written) record_state_ = RecordState::missing;
    if (record_state_ == RecordState::rewriting) record_state_ = RecordState::writing;
}

void SessionKeeper::replace_lease() {
    if (begin_lease_request()) request_lease();
}

void SessionKeeper::request_lease() {
    store_.grant_lease(lease_duration_, [this](Outcome outcome, std::uint64_t lease) {
        if (outcome != Outcome::ok) {
            env_.after(lease_retry_delay, [this] { request_lease(); });
            return;
        }
        const bool is_first = lease_id_ == 0;
        end_lease_request(lease);
        write_record();
        if (is_first) env_.after(lease_duration_ / renewals_per_lease, [this] { renew_lease(); });
    });
}

void SessionKeeper::restore_record() {
    set_record_missing();
    write_record();
}

void SessionKeeper::write_record() {
    if (!begin_record_write()) return;
    Transaction txn;
    txn.writes.push_back({keys::node(settings_.node), Json::object(), lease_id_});
    store_.commit(txn, RequestPriority::lease, [this, lease = lease_id_](const CommitResult& result) {
        on_record_written(lease, result);
    });
}

void SessionKeeper::on_record_written(std::uint64_t lease, const CommitResult& result) {
    end_record_write();
    if (lease != lease_id_) return write_record();  // the lease was replaced while the commit was in flight
    if (result.outcome == Outcome::ok) {
        set_record_written();
        if (incarnation_ == Revision{}) incarnation_ = result.revision;
        log::info("event=session_opened lease={} revision={}", lease_id_, result.revision.value());
        state_cache_.apply({keys::node(settings_.node), Json::object(), result.revision});
    } else if (result.outcome == Outcome::invalid_request) {
        replace_lease();  // the lease expired while the commit was in flight
    } else {
        env_.after(record_retry_delay, [this] { write_record(); });
    }
}

void SessionKeeper::renew_lease() {
    store_.renew_lease(lease_id_, [this, lease = lease_id_](Outcome outcome) {
        const bool is_expired = outcome == Outcome::not_found || outcome == Outcome::invalid_request;
        if (is_expired && lease == lease_id_ && lease_state_ != LeaseState::requesting) {
            log::warn("event=session_lost lease={}", lease_id_);
            on_lost_();
            replace_lease();
        }
        env_.after(outcome == Outcome::ok ? lease_duration_ / renewals_per_lease : lease_retry_delay,
                   [this] { renew_lease(); });
    });
}

}  // namespace zincdyke
