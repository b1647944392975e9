/// The state of a simulated worker: a machine and the agent that executes tasks on it.
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

/// The state of a task attempt on its worker.
struct FakeTask {
    std::string job;
    int index = 0;
    std::uint32_t attempt = 0;
    /// Phase of the task as named in the protocol: "fetching" (the image), "waiting" (for other gang
    /// members), "running", "saving" (a checkpoint) or "ended".
    std::string phase = "fetching";
    std::string end_cause;  ///< Reason why the task ended, as named in the protocol; empty: not ended.
    bool checkpoint_saved = false;  ///< Whether a checkpoint was saved before the task ended.
    double run_time_s = 0;
    /// Incremented when the phase changes, so that events scheduled for an earlier phase are ignored.
    std::uint64_t generation = 0;
};

/// The state of a simulated worker. FakeWorkers owns all workers; FakeWorkers and FakeTaskRunner implement
/// their behaviour.
struct FakeWorker {
    std::string id, address, type, zone;
    bool spot = false;
    bool alive = true;    ///< Whether the machine runs; false after a crash.
    bool hung = false;    ///< Whether the agent is suspended; its lease can still expire.
    bool faulty = false;  ///< Whether all tasks on the machine fail.
    double created_at = 0;
    std::optional<double> preemption_at;  ///< Announced time of spot preemption; empty: not announced.

    std::map<std::string, FakeTask> tasks;  ///< Tasks by "job/index#attempt".
    std::set<std::string> images;           ///< Names of the container images that the machine has fetched.
    std::vector<std::function<void()>> deferred_while_hung;  ///< Operations to run when the worker resumes.

    std::uint64_t agent_epoch = 1;    ///< Incremented when the worker's lease expires.
    std::uint64_t fencing_token = 0;  ///< Highest token received from a leader; lower ones are rejected.
    double last_token_heartbeat_at = -1e9;  ///< Time when a higher fencing token last triggered a heartbeat.
    double lease_renewed_at = 0;

    /// Number of the controller that receives the worker's heartbeats; empty until the machine has booted.
    std::optional<std::size_t> controller;
    std::uint64_t heartbeats_sent = 0;
    std::uint64_t heartbeat_in_flight = 0;  ///< Number of the heartbeat that awaits its response; 0: none.
    std::uint64_t sequence_number = 0;      ///< Sequence number of the last state report.
    double next_heartbeat_at = 0;           ///< Time when the next heartbeat is sent.

    [[nodiscard]] bool has_booted() const { return controller.has_value(); }
    [[nodiscard]] double cpus() const { return type == "small" ? 4.0 : 8.0; }
    /// Schedules the next heartbeat within 0.3 s, to report a change to the leader early.
    void prompt_heartbeat(double now) { next_heartbeat_at = std::min(next_heartbeat_at, now + 0.3); }
};

/// Simulated workers by machine id.
using FakeWorkerMap = std::map<std::string, FakeWorker>;

}  // namespace zincdyke::testing
