/// Free capacity of machines, less the reservations for placement offers and uncommitted task starts.
#pragma once
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/env.h"
#include "store/state_cache.h"
#include "wire/peer_messages.h"
#include "workers/machine_registry.h"

namespace zincdyke {

/// Owns the capacity reservations and computes the free capacity of machines on demand. The result is cached
/// until a heartbeat, a placement or a reservation changes the machine.
class CapacityTracker {
  public:
    CapacityTracker(Env& env, const StateCache& state_cache, MachineRegistry& registry)
        : env_(env), state_cache_(state_cache), registry_(registry) {}

    /// Returns the resources that new tasks may use on the machine. Returns zero resources if the machine's
    /// type, or the job of a task that the machine reports, is unknown.
    [[nodiscard]] Resources free_capacity(const MachineId& id, Machine& machine);
    /// Whether the machine has no placed tasks, no running tasks and no reservations.
    [[nodiscard]] bool is_idle(const MachineId& id, const Machine& machine) const;

    /// Discards the machine's cached free capacity.
    void invalidate(const MachineId& id);
    /// Called when a job is added or removed. Discards all cached capacity if some of it is zero because of
    /// an unknown job.
    void on_jobs_changed();
    /// Discards all cached capacity if the machine types have changed. Called periodically.
    void refresh_machine_types();

    /// Reserves `need` for every offer of a placement round, until `release_offers` is called or 2.5 s have
    /// passed. Replaces the round's earlier reservations.
    void reserve_offers(const wire::RoundId& round, const Resources& need,
                        const std::vector<wire::PlacementOffer>& offers);
    /// Releases all reservations for the offers of a placement round.
    void release_offers(const wire::RoundId& round);
    /// Releases the reservations of placement rounds that received no decision in time. Called periodically.
    void expire_reservations();

    /// Reserves capacity for a task start that waits to be committed; to be released with `release_start`.
    void reserve_start(const TaskRef& task, const MachineId& id, const Resources& need);
    /// Releases the capacity reserved by `reserve_start`. Does nothing if there is no such reservation.
    void release_start(const TaskRef& task);
    /// Whether capacity is reserved for a start of the task that waits to be committed.
    [[nodiscard]] bool is_start_pending(const TaskRef& task) const { return pending_starts_.contains(task); }

    /// Returns how often free capacity was computed instead of taken from the cache.
    [[nodiscard]] std::uint64_t computation_count() const { return computation_count_; }

  private:
    static constexpr Duration reservation_timeout = std::chrono::milliseconds(2500);
    /// Capacity reserved for the offers of one placement round.
    struct RoundReservation {
        std::vector<MachineId> machines;  // machine of each offer; may contain a machine several times
        Resources need;                   // resources reserved for each offer
        SteadyTime expires_at;
    };
    /// Capacity reserved on one machine for offers and task starts. Stored by machine so that computing the
    /// free capacity of a machine needs no search through all placement rounds.
    struct MachineReservations {
        Resources offered_capacity;
        std::map<TaskRef, Resources> pending_starts;
        [[nodiscard]] bool is_empty() const {
            return offered_capacity == Resources{} && pending_starts.empty();
        }
    };
    Resources compute_free_capacity(const MachineId& id, const Machine& machine);
    Env& env_;
    const StateCache& state_cache_;
    MachineRegistry& registry_;
    std::uint64_t inputs_version_ =
        1;  // version of jobs and machine types; a change discards all cached capacity
    bool has_unknown_jobs_ =
        false;  // whether a machine reports a task of a job that is not in the state cache
    Revision machine_types_version_;
    std::map<wire::RoundId, RoundReservation> reservations_by_round_;
    std::unordered_map<MachineId, MachineReservations> reservations_by_machine_;
    std::map<TaskRef, MachineId> pending_starts_;
    std::uint64_t computation_count_ = 0;
};

}  // namespace zincdyke
