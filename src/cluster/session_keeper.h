/// This controller's session in the key-value store.
#pragma once
#include <cstdint>
#include <functional>

#include "base/env.h"
#include "base/settings.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Keeps the session by which other controllers know that this one is alive: a lease of the store, renewed
/// four times in its life, and this node's record, tied to the lease so that it goes with it. A session that
/// is lost is replaced by a new one.
class SessionKeeper {
  public:
    /// The references must outlive this object. `on_lost` is called from the event loop when the lease turns
    /// out to have expired, before a new one is asked for.
    SessionKeeper(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                  std::function<void()> on_lost);

    /// Asks for the first lease; to be called once.
    void start();
    /// Writes this node's record again although the session is open: a late message removed it.
    void restore_record();

    /// The record is written under the present lease, as far as this node knows.
    [[nodiscard]] bool is_open() const;
    /// The present lease, or the last one while another is asked for; 0 before the first.
    [[nodiscard]] std::uint64_t lease_id() const { return lease_id_; }
    /// Unique to this process among all that ever ran: the revision of its first session; 0 before it.
    [[nodiscard]] Revision incarnation() const { return incarnation_; }

  private:
    enum class LeaseState : std::uint8_t { none, requesting, held };
    /// A commit's answer may come after the lease it was made under was replaced, so that the record's state
    /// is told apart from the lease's.
    enum class RecordState : std::uint8_t {
        missing,
        writing,
        written,
        rewriting  // written, and a further commit of it is under way
    };
    // The transitions: no other function sets the states.
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
