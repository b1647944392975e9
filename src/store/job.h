/// An unfinished job and its tasks, as the key-value store holds them.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

/// Where one task stands.
struct TaskState {
    enum class Status : std::uint8_t {
        pending,  ///< not on a machine; also what a task is that no record names
        placed,   ///< on `machine`, running or about to
        done,     ///< ended, and not to run again
    };
    Status status = Status::pending;
    /// Placed: the present attempt. Pending: the last that ended. Counted from 1; 0: none.
    Attempt attempt = 0;
    /// Where it is placed.
    MachineId machine;
    /// The machine's zone, where the job asks to be spread over zones.
    std::string zone;
    bool operator==(const TaskState&) const = default;
};

/// A block of a job's tasks that is stored as one record.
struct Page {
    /// 0: not written yet.
    Revision version;
    std::vector<TaskState> tasks;
    /// How many of `tasks` are placed and done.
    TaskIndex placed = 0, done = 0;
    /// Sets the two from `tasks`.
    void update_counts();
};

/// One unfinished job. How its tasks are divided into pages: `PageLayout`.
struct Job {
    wire::JobSpec spec;
    /// Of the job's own record.
    Revision version;
    /// Whether it is known to be cancelled, by its record or by a peer's word.
    bool cancelled = false;
    /// The controller that asks for placements of its tasks.
    NodeName relay;
    WallTime submitted;
    /// For one-zone jobs: where its tasks are, or are expected to go.
    std::optional<std::string> assigned_zone;
    /// Tasks in a small page; 0: its pages are of the standard size.
    std::uint32_t small_page_size = 0;
    /// By number: the pages that are written today, of the size that the job has.
    std::map<std::uint32_t, Page> pages;
    /// By number: pages of the standard size, where `pages` are small ones.
    std::map<std::uint32_t, Page> frozen_pages;
    /// Tasks placed and done, over all `pages`.
    TaskIndex placed = 0, done = 0;
    [[nodiscard]] TaskIndex pending() const { return spec.tasks - placed - done; }
};

}  // namespace zincdyke
