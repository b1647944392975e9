/// The machines of the shards that this node leads, as their newest heartbeats describe them.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/env.h"
#include "wire/json_api.h"
#include "workers/agent_link.h"
#include "workers/task_attempt.h"

namespace zincdyke {

/// A machine's free capacity as last computed. Read and written by CapacityTracker alone; it is kept here
/// because every placement request asks for it of every machine.
struct CachedCapacity {
    std::optional<Resources> free;  // nothing: to be computed
    std::uint64_t version = 0;      // of what it was computed from
};

/// What the newest heartbeat of a machine says.
struct Machine {
    std::string type, zone, address;
    bool spot = false;
    std::optional<double> spot_notice_s;   // the cloud takes the machine back in so many seconds
    std::set<TaskRef> active_tasks;        // reported and not ended
    std::set<TaskAttempt> ended_attempts;  // reported as ended: they take no capacity any more
    AgentLink link;
    SteadyTime monitored_since{};  // since when its silence counts
    CachedCapacity cached_capacity;

    /// Takes over a message that is newer than all before, under this node's `term`.
    void apply(const wire::Heartbeat& heartbeat, Term term, HeartbeatSource source, SteadyTime now);
};

/// Told when the registry forgets a machine, so that whoever keeps state for it does so too.
class MachineRemovalObserver {
  public:
    MachineRemovalObserver() = default;
    MachineRemovalObserver(const MachineRemovalObserver&) = delete;
    MachineRemovalObserver& operator=(const MachineRemovalObserver&) = delete;
    virtual ~MachineRemovalObserver() = default;
    /// Called while the machine is removed; the registry must not be changed from within.
    virtual void on_machine_removed(const MachineId& id) = 0;
};

/// Owns the machines that are known here, and remembers those that the cloud terminated. References and
/// pointers to machines stay valid until the machine is removed.
class MachineRegistry {
  public:
    /// Both must outlive the registry.
    MachineRegistry(Env& env, MachineRemovalObserver& observer) : env_(env), observer_(observer) {}

    /// Null where the machine is unknown.
    [[nodiscard]] Machine* find(const MachineId& id);
    [[nodiscard]] const Machine* find(const MachineId& id) const;
    /// Whether the machine is known.
    [[nodiscard]] bool contains(const MachineId& id) const { return machines_.contains(id); }
    /// Whether the machine is known or may still be added.
    [[nodiscard]] bool can_register(const MachineId& id) const;
    /// A machine that is new here counts as known from now.
    Machine& find_or_add(const MachineId& id);
    /// Nothing happens where the machine is unknown.
    void remove(const MachineId& id);
    /// Removes those for which `should_remove(id, machine)` holds.
    template <class Predicate>
    void remove_if(Predicate should_remove);
    [[nodiscard]] auto begin() { return machines_.begin(); }
    [[nodiscard]] auto end() { return machines_.end(); }
    [[nodiscard]] auto begin() const { return machines_.begin(); }
    [[nodiscard]] auto end() const { return machines_.end(); }

    /// The token that commands to the machine bear under this node's `term`.
    [[nodiscard]] wire::FencingToken token_for(const MachineId& id, Term term) const;

    /// The cloud confirmed that the machine is gone. A late copy of a heartbeat must not bring it back.
    void mark_terminated(const MachineId& id);
    [[nodiscard]] bool is_terminated(const MachineId& id) const { return terminated_.contains(id); }

    /// More than the largest deployment has; beyond it heartbeats of new machines are answered 503.
    static constexpr std::size_t max_machines = 20'000;

  private:
    static constexpr std::size_t max_terminated = 16'384;
    Env& env_;
    MachineRemovalObserver& observer_;
    std::unordered_map<MachineId, Machine> machines_;
    std::set<MachineId> terminated_;
    std::deque<MachineId> terminated_order_;  // newest last
};

template <class Predicate>
void MachineRegistry::remove_if(Predicate should_remove) {
    for (auto it = machines_.begin(); it != machines_.end();) {
        if (!should_remove(it->first, it->second)) {
            ++it;
            continue;
        }
        observer_.on_machine_removed(it->first);
        it = machines_.erase(it);
    }
}

}  // namespace zincdyke
