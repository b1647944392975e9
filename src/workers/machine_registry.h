/// Registry of the machines in the shards that this node leads.
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

/// Cached free capacity of a machine. Only CapacityTracker uses it; it is stored in `Machine` because every
/// placement request needs it for every machine.
struct CachedCapacity {
    std::optional<Resources> free;     // free resources; empty: must be computed
    std::uint64_t inputs_version = 0;  // version of the jobs and machine types used to compute `free`
};

/// State of a machine as reported by its worker's newest heartbeat, and of the communication with its agent.
struct Machine {
    std::string type, zone, address;
    bool spot = false;
    std::optional<double> spot_notice_s;   // time until the cloud reclaims the spot machine; empty: no notice
    std::set<TaskRef> active_tasks;        // reported tasks that have not ended
    std::set<TaskAttempt> ended_attempts;  // attempts reported as ended; they no longer use capacity
    AgentLink link;
    SteadyTime monitored_since{};  // time from which on missing heartbeats are counted
    CachedCapacity cached_capacity;

    /// Updates the machine's state from a message of its agent, which must be newer than all messages applied
    /// before. `term` is this node's term as the leader of the machine's shard.
    void apply_heartbeat(const wire::Heartbeat& heartbeat, Term term, HeartbeatSource source, SteadyTime now);
};

/// Is notified when MachineRegistry removes a machine, so that other components can discard their state for
/// the machine. Runs on the event-loop thread.
class MachineRemovalObserver {
  public:
    MachineRemovalObserver() = default;
    MachineRemovalObserver(const MachineRemovalObserver&) = delete;
    MachineRemovalObserver& operator=(const MachineRemovalObserver&) = delete;
    virtual ~MachineRemovalObserver() = default;
    /// Called once for each removed machine, during the removal. The observer must not modify the registry.
    virtual void on_machine_removed(const MachineId& id) = 0;
};

/// Owns the state of the registered machines, and the ids of machines that the cloud terminated. Pointers and
/// references to a machine remain valid until the machine is removed.
class MachineRegistry {
  public:
    /// `env` and `observer` must outlive the registry.
    MachineRegistry(Env& env, MachineRemovalObserver& observer) : env_(env), observer_(observer) {}

    /// Returns the machine, or null if it is not registered.
    [[nodiscard]] Machine* find(const MachineId& id);
    [[nodiscard]] const Machine* find(const MachineId& id) const;
    [[nodiscard]] bool contains(const MachineId& id) const { return machines_.contains(id); }
    /// Whether the machine is registered, or the registry still has space for it.
    [[nodiscard]] bool can_register(const MachineId& id) const;
    /// Returns the machine, and registers it if necessary. A new machine has `monitored_since` set to now.
    Machine& find_or_add(const MachineId& id);
    /// Removes the machine and notifies the observer. Does nothing if the machine is not registered.
    void remove(const MachineId& id);
    /// Removes all machines for which `should_remove(id, machine)` returns true, and notifies the observer.
    template <class Predicate>
    void remove_if(Predicate should_remove);
    /// Returns an iterator to the first registered machine, for range-based loops over all machines in no
    /// particular order. An element is a pair of machine id and machine.
    [[nodiscard]] auto begin() { return machines_.begin(); }
    /// Returns the iterator past the last registered machine.
    [[nodiscard]] auto end() { return machines_.end(); }
    [[nodiscard]] auto begin() const { return machines_.begin(); }
    [[nodiscard]] auto end() const { return machines_.end(); }

    /// Returns the fencing token for commands to the machine under this node's `term`.
    [[nodiscard]] wire::FencingToken fencing_token_for(const MachineId& id, Term term) const;

    /// Records that the cloud terminated the machine, so that a delayed heartbeat does not register it again.
    void mark_terminated(const MachineId& id);
    [[nodiscard]] bool is_terminated(const MachineId& id) const { return terminated_.contains(id); }

    /// Limit on registered machines, above the size of the largest deployment. Heartbeats of further machines
    /// get a 503 response.
    static constexpr std::size_t max_machines = 20'000;

  private:
    static constexpr std::size_t max_terminated_machines = 16'384;
    Env& env_;
    MachineRemovalObserver& observer_;
    std::unordered_map<MachineId, Machine> machines_;
    std::set<MachineId> terminated_;
    std::deque<MachineId> terminated_order_;  // terminated machines, oldest first
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
