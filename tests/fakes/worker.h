/// One simulated worker: a machine and the agent that executes tasks on it.
#pragma once
#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace zincdyke::testing {

/// A task's attempt as its worker sees it.
struct FakeTask {
    std::string job;
    int index = 0;
    std::uint32_t attempt = 0;
    /// In the protocol's words: "fetching" (its image), "waiting" (for the rest of its gang), "running",
    /// "saving" (a checkpoint), "ended".
    std::string phase = "fetching";
    std::string cause;       ///< Of its end.
    bool kept = false;       ///< A checkpoint was saved.
    double remaining_s = 0;  ///< How long it will run.
    std::uint64_t generation =
        0;  ///< Rises with each change of phase; pending events of an earlier one do nothing.
};

/// A worker's state. FakeWorkers owns all workers; what happens to one is there and in FakeTaskRunner.
struct FakeWorker {
    std::string id, address, type, zone;
    bool spot = false;
    bool alive = true;    ///< False: the machine crashed.
    bool hung = false;    ///< Executes nothing for now; its lease runs on.
    bool faulty = false;  ///< All tasks on it fail.
    double created_at = 0;
    std::optional<double> preemption_at;  ///< When the cloud will take it, if that was announced.

    std::map<std::string, FakeTask> tasks;                   ///< By "job/index#attempt".
    std::set<std::string> images;                            ///< That were fetched.
    std::vector<std::function<void()>> deferred_while_hung;  ///< Carried out when it no longer hangs.

    std::uint64_t agent_epoch = 1;          ///< Rises when its lease expires.
    std::uint64_t fencing_token = 0;        ///< The highest that a leader showed; lower ones are rejected.
    double last_token_heartbeat_at = -1e9;  ///< When a higher token last prompted a heartbeat.
    double lease_renewed_at = 0;

    std::optional<std::size_t> controller;  ///< Where it sends heartbeats; none before it has booted.
    std::uint64_t heartbeats_sent = 0;
    std::uint64_t heartbeat_in_flight = 0;  ///< Number of the one that waits for its response; 0: none.
    std::uint64_t sequence_number = 0;      ///< Of the last state that was reported.
    double next_heartbeat = 0;

    [[nodiscard]] bool has_booted() const { return controller.has_value(); }
    [[nodiscard]] double cpus() const { return type == "small" ? 4.0 : 8.0; }
    /// Something changed that the leader should know soon.
    void prompt_heartbeat(double now) { next_heartbeat = std::min(next_heartbeat, now + 0.3); }
};

/// By machine id.
using FakeWorkerMap = std::map<std::string, FakeWorker>;

}  // namespace zincdyke::testing
