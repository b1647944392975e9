/// Free capacity of machines, with what is reserved for offers and for starts that are not committed yet.
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

/// Owns the reservations. Free capacity is computed when it is asked for and cached until a heartbeat, a
/// placement or a reservation of that machine changes it.
class CapacityTracker {
  public:
    CapacityTracker(Env& env, const StateCache& state_cache, MachineRegistry& registry)
        : env_(env), state_cache_(state_cache), registry_(registry) {}

    /// What a new task may take on the machine.
    [[nodiscard]] Resources free_capacity(const MachineId& id, Machine& machine);
    /// No task is placed there or reported, and nothing is reserved.
    [[nodiscard]] bool is_idle(const MachineId& id, const Machine& machine) const;

    /// Something on the machine changed.
    void invalidate(const MachineId& id);
    /// A job came or went: what an unknown job's tasks take may be known now.
    void on_jobs_changed();
    /// Periodic: capacity depends on the machine types as well.
    void refresh_machine_types();

    /// Reserves `each` once for every offer of the round, until `release_offers` or 2.5 s have passed.
    void reserve_offers(const wire::RoundId& round, const Resources& each,
                        const std::vector<wire::PlacementOffer>& offers);
    /// The round is decided: releases what it reserved.
    void release_offers(const wire::RoundId& round);
    /// Periodic: releases what no decision came for.
    void expire_reservations();

    /// Reserves capacity for a start until it is committed or rejected.
    void reserve_start(const TaskRef& task, const MachineId& id, const Resources& need);
    /// Releases what `reserve_start` reserved.
    void release_start(const TaskRef& task);
    /// Whether a start of the task waits to be committed here.
    [[nodiscard]] bool is_start_pending(const TaskRef& task) const { return starting_.contains(task); }

    /// How often free capacity was computed, not taken from the cache.
    [[nodiscard]] std::uint64_t computation_count() const { return computation_count_; }

  private:
    static constexpr Duration reservation_timeout = std::chrono::milliseconds(2500);
    /// Capacity reserved for the offers of one round.
    struct RoundReservation {
        std::vector<MachineId> machines;  // one entry for each offer
        Resources each;
        SteadyTime expires;
    };
    // By machine, so that the capacity of one can be computed without a search through all rounds.
    struct MachineReservations {
        Resources offered;
        std::map<TaskRef, Resources> starting;
        [[nodiscard]] bool is_empty() const { return offered == Resources{} && starting.empty(); }
    };
    Resources compute(const MachineId& id, const Machine& machine);
    Env& env_;
    const StateCache& state_cache_;
    MachineRegistry& registry_;
    std::uint64_t version_ = 1;      // of jobs and machine types, which all cached capacity depends on
    bool has_unknown_jobs_ = false;  // some machine shows tasks of a job that has not been read yet
    Revision machine_types_version_;
    std::map<wire::RoundId, RoundReservation> rounds_;
    std::unordered_map<MachineId, MachineReservations> reservations_;
    std::map<TaskRef, MachineId> starting_;
    std::uint64_t computation_count_ = 0;
};

}  // namespace zincdyke
