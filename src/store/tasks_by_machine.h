/// Index of the tasks placed on each machine.
#pragma once
#include <set>
#include <unordered_map>

#include "base/types.h"

namespace zincdyke {

/// Maps each machine to its placed tasks; machines without placed tasks have no entry.
class TasksByMachine {
  public:
    void add(const MachineId& machine, const TaskRef& task) { tasks_[machine].insert(task); }
    void remove(const MachineId& machine, const TaskRef& task);
    /// Returns the tasks placed on the machine; an empty set if there are none.
    [[nodiscard]] const std::set<TaskRef>& tasks_on(const MachineId& machine) const;
    /// All machines that have placed tasks, with those tasks.
    [[nodiscard]] const std::unordered_map<MachineId, std::set<TaskRef>>& all() const { return tasks_; }

  private:
    std::unordered_map<MachineId, std::set<TaskRef>> tasks_;
};

}  // namespace zincdyke
