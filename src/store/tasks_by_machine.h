/// Index: which tasks are placed on each machine.
#pragma once
#include <set>
#include <unordered_map>

#include "base/types.h"

namespace zincdyke {

/// The placed tasks of every machine that has any.
class TasksByMachine {
  public:
    void add(const MachineId& machine, const TaskRef& task) { tasks_[machine].insert(task); }
    void remove(const MachineId& machine, const TaskRef& task);
    void clear() { tasks_.clear(); }
    /// Empty for a machine without tasks.
    [[nodiscard]] const std::set<TaskRef>& tasks_on(const MachineId& machine) const;
    /// Machines without tasks are left out.
    [[nodiscard]] const std::unordered_map<MachineId, std::set<TaskRef>>& all() const { return tasks_; }

  private:
    std::unordered_map<MachineId, std::set<TaskRef>> tasks_;
};

}  // namespace zincdyke
