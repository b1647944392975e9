/// Keeps this controller's session in the key-value store open.
#pragma once
#include <cstdint>
#include <functional>

#include "base/env.h"
#include "base/settings.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Maintains this controller's session, by which other controllers recognize that it is alive.
///
/// A session consists of a store lease, renewed four times per lease duration, and a session record attached
/// to the lease, so that the record is deleted when the lease expires. A lost session is replaced by a new
/// one.
class SessionKeeper {
  public:
    /// All arguments passed by reference must outlive the SessionKeeper. `on_lost` is called on the event
    /// loop when a renewal reveals that the lease has expired, before a new lease is requested.
    SessionKeeper(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                  std::function<void()> on_lost);

    /// Requests the first session lease. Must be called exactly once.
    void start();
    /// Writes the session record again. To be called if the record has been deleted from the key-value store
    /// although the session is open.
    void restore_record();

    /// Returns whether the session record has been written under the current lease and no loss of the lease
    /// has been noticed.
    [[nodiscard]] bool is_open() const;
    /// Returns the id of the session's current lease, or of the previous lease while a new one is being
    /// requested; 0 before the first lease is granted.
    [[nodiscard]] std::uint64_t lease_id() const { return lease_id_; }
    /// Returns a number unique to this process: the store revision at which it first wrote its session
    /// record; 0 before the first write.
    [[nodiscard]] Revision incarnation() const { return incarnation_; }

  private:
    enum class LeaseState : std::uint8_t { none, requesting, held };
    /// The state of the session record, tracked separately from the lease because a commit response may
    /// arrive after the lease used in the commit has been replaced.
    enum class RecordState : std::uint8_t {
        missing,
        writing,
        written,
        rewriting  // the record has been written, and a commit that writes it again is in flight
    };
    // Only the following six functions change `lease_state_` and `record_state_`.
    [[nodiscard]] bool begin_lease_request();
    void end_lease_request(std::uint64_t lease);
    [[nodiscard]] bool begin_record_write();
    void end_record_write();
    void set_record_written();
    void set_record_missing();

    void replace_lease();
    void request_lease();
    void write_record();
    void on_record_written(std::uint64_t lease, const CommitResult& result);
    void renew_lease();

    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    const std::function<void()> on_lost_;
    const Duration lease_duration_;
    LeaseState lease_state_ = LeaseState::none;
    RecordState record_state_ = RecordState::missing;
    std::uint64_t lease_id_ = 0;
    Revision incarnation_;
};

}  // namespace zincdyke
