// An unfinished job and its tasks, as the state service holds them.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/json_api.h"

namespace zincdyke {

struct TaskState {
    enum class Status : std::uint8_t { pending, placed, done } status = Status::pending;
    Attempt attempt = 0;  // placed: the present one; pending: the last that ended
    MachineId machine;
    std::string zone;  // of the machine, where the job asks to be spread
    bool operator==(const TaskState&) const = default;
};

struct Page {
    Revision version;  // 0: not written yet, all pending
    std::vector<TaskState> tasks;
    TaskIndex placed = 0, done = 0;
    void count();  // sets the two from `tasks`
};

// One unfinished job.
//
// Its tasks are stored in pages. A page of production's size (StateCache::standard_page_size) may be too
// large a value after the state service has lowered its limits. The job's record then names a smaller page
// size, once and for good: the pages written until then are frozen, and a smaller page takes precedence over
// its range of them from its first write on (docs/design.md, "Upgrade").
struct Job {
    wire::JobSpec spec;
    Revision version;
    bool cancelled = false;
    NodeName relay;
    WallTime submitted;
    std::optional<std::string>
        assigned_zone;                  // for one_zone jobs: where its tasks are, or are expected to go
    std::uint32_t small_page_size = 0;  // 0: pages are of the standard size
    std::map<std::uint32_t, Page> pages;
    std::map<std::uint32_t, Page> frozen_pages;  // of the standard size, where `pages` are smaller
    TaskIndex placed = 0, done = 0;
    TaskIndex pending() const { return spec.tasks - placed - done; }
};

}  // namespace zincdyke
