/// An unfinished job and its tasks, as stored in the key-value store.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

/// Whether one task is pending, placed or done, with its attempt number and, if it is placed, its machine and
/// zone.
struct TaskState {
    enum class Status : std::uint8_t {
        pending,  ///< the task is not on a machine; the default if no record contains the task
        placed,   ///< the task is assigned to a machine and is running or about to start
        done,     ///< the task has finished and never runs again
    };
    Status status = Status::pending;
    /// The current attempt of a placed task, or the last ended attempt of a pending task. Counted from 1; 0
    /// if the task was never started.
    Attempt attempt = 0;
    /// The machine of a placed task.
    MachineId machine;
    /// The zone of the task's machine; empty unless the job is to be spread over zones.
    std::string zone;
    bool operator==(const TaskState&) const = default;
};

/// A block of consecutive tasks of a job, stored as one record.
struct Page {
    /// Version of the page's record; 0 if the record was never written.
    Revision version;
    std::vector<TaskState> tasks;
    TaskIndex placed_tasks = 0;  ///< number of the page's tasks that are placed
    TaskIndex done_tasks = 0;    ///< number of the page's tasks that are done
    /// Recomputes `placed_tasks` and `done_tasks` from `tasks`.
    void update_counts();
};

/// An unfinished job with its pages of tasks. `PageLayout` defines which tasks a page contains.
struct Job {
    wire::JobSpec spec;
    /// Version of the job's own record, which excludes its pages.
    Revision version;
    /// Whether the job is known to be cancelled, from its record or from a peer heartbeat.
    bool cancelled = false;
    /// The controller that requests placements for the job's tasks.
    NodeName relay;
    WallTime submitted;
    /// The zone in which a one-zone job's tasks run or are expected to run; `std::nullopt` for other jobs.
    std::optional<std::string> assigned_zone;
    /// Number of tasks per small page; 0 if the job's pages have the standard size.
    std::uint32_t small_page_size = 0;
    /// Pages that receive the job's updates, by page number: small pages if `small_page_size` is set,
    /// otherwise standard pages.
    std::map<std::uint32_t, Page> pages;
    /// Standard pages from before the job switched to small pages, by page number; no longer written.
    std::map<std::uint32_t, Page> frozen_pages;
    TaskIndex placed_tasks = 0;  ///< number of the job's tasks that are placed
    TaskIndex done_tasks = 0;    ///< number of the job's tasks that are done
    [[nodiscard]] TaskIndex pending_tasks() const { return spec.tasks - placed_tasks - done_tasks; }
};

}  // namespace zincdyke
