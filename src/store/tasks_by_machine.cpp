#include "store/tasks_by_machine.h"

namespace zincdyke {

void TasksByMachine::remove(const MachineId& machine, const TaskRef& task) {
    const auto found = tasks_.find(machine);
    if (found == tasks_.end()) return;
    found->second.erase(task);
    if (found->second.empty()) tasks_.erase(found);
}

const std::set<TaskRef>& TasksByMachine::tasks_on(const MachineId& machine) const {
    static const std::set<TaskRef> none;
    const auto found = tasks_.find(machine);
    return found == tasks_.end() ? none : found->second;
}

}  // namespace zincdyke
