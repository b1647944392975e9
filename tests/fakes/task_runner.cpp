#include "fakes/task_runner.h"

#include <utility>
#include <vector>

namespace zincdyke::testing {

namespace {

constexpr double gang_wait_s = 30;         // equals the controllers' setting gang_wait_s
constexpr double gang_member_check_s = 2;  // half of the controllers' setting gang_peer_s
constexpr double cached_image_fetch_s = 0.01;
constexpr double failing_task_s = 0.5;

}  // namespace

FakeTask* FakeTaskRunner::find(const TaskHandle& handle) {
    const auto worker = workers_.find(handle.machine);
    if (worker == workers_.end()) return nullptr;
    const auto task = worker->second.tasks.find(handle.key);
    if (task == worker->second.tasks.end() || task->second.generation != handle.generation) return nullptr;
    return &task->second;
}

bool FakeTaskRunner::is_gang(const std::string& job) const { return body(job).value("shape", "") == "group"; }

void FakeTaskRunner::drop_all(FakeWorker& worker) {
    const auto tasks = std::move(worker.tasks);
    worker.tasks.clear();
    for (const auto& [key, task] : tasks) {
        if (task.phase == "ended") continue;
        if (task.phase != "fetching") checker_.task_stopped(task.job, task.index, worker.id);
        if (is_gang(task.job)) gang_member_lost(task.job, task.attempt);
    }
}

void FakeTaskRunner::execute(FakeWorker& worker, const Json& commands) {
    for (const auto& command : commands) {
        const std::string task = command["shard"].get<std::string>(),
                          verb = command["verb"].get<std::string>();
        const auto attempt = command["try"].get<std::uint32_t>();
        const std::string key = task + "#" + std::to_string(attempt);
        const auto found = worker.tasks.find(key);
        const bool is_known = found != worker.tasks.end();
        if (verb == "clear") {
            if (is_known && found->second.phase == "ended") worker.tasks.erase(found);
        } else if (verb == "halt") {
            if (is_known && found->second.phase != "ended")
                stop(worker, key, command.value("respite_s", 0.0));
        } else if (verb == "run" && !is_known) {
            start(worker, key, task, attempt);
        }
    }
}

void FakeTaskRunner::stop(FakeWorker& worker, const std::string& key, double grace_s) {
    FakeTask& task = worker.tasks.at(key);
    const double checkpoint_s = body(task.job).value("stow_s", 0.0);
    const bool saves_checkpoints = body(task.job).value("mark_every_s", 0.0) > 0;
    if (task.phase == "running" && saves_checkpoints && grace_s >= checkpoint_s) {
        task.phase = "saving";
        const TaskHandle handle{worker.id, key, ++task.generation};
        clock_.after(checkpoint_s, [this, handle] {
            if (find(handle) != nullptr) end_task(workers_.at(handle.machine), handle.key, "halted", true);
        });
    } else if (task.phase != "saving" || grace_s == 0) {
        end_task(worker, key, "halted");
    }
}

std::string FakeTaskRunner::start_error(const FakeWorker& worker, const FakeTask& task) const {
    if (!jobs_.contains(task.job)) return "unknown";
    double used_cpus = 0;
    bool in_use = false;
    for (const auto& [key, other] : worker.tasks) {
        if (other.phase == "ended") continue;
        used_cpus += body(other.job).value("vcpus", 0.0);
        in_use = in_use || (other.job == task.job && other.index == task.index);
    }
    if (used_cpus + body(task.job).value("vcpus", 0.0) > worker.cpus()) return "full";
    return in_use ? "in_use" : "";
}

void FakeTaskRunner::start(FakeWorker& worker, const std::string& key, const std::string& name,
                           std::uint32_t attempt) {
    const auto slash = name.rfind('/');
    FakeTask task;
    task.job = name.substr(0, slash);
    task.index = std::stoi(name.substr(slash + 1));
    task.attempt = attempt;
    task.end_cause = start_error(worker, task);
    if (!task.end_cause.empty()) task.phase = "ended";
    worker.tasks[key] = task;
    if (task.phase != "ended") fetch_image(worker, key);
    worker.prompt_heartbeat(clock_.now());
}

void FakeTaskRunner::fetch_image(FakeWorker& worker, const std::string& key) {
    FakeTask& task = worker.tasks.at(key);
    const Json& job = body(task.job);
    const bool is_cached = worker.images.contains(job["cask"].get<std::string>());
    task.run_time_s = job.value("real_s", 5.0);
    const TaskHandle handle{worker.id, key, ++task.generation};
    clock_.after(is_cached ? cached_image_fetch_s : job.value("image_gb", 0.5),
                 [this, handle] { image_fetched(handle); });
}

void FakeTaskRunner::image_fetched(const TaskHandle& handle) {
    FakeTask* const task = find(handle);
    if (task == nullptr || task->phase != "fetching") return;
    FakeWorker& worker = workers_.at(handle.machine);
    if (worker.hung) {
        worker.deferred_while_hung.push_back([this, handle] { image_fetched(handle); });
        return;
    }
    worker.images.insert(body(task->job)["cask"].get<std::string>());
    checker_.task_started(clock_.now(), task->job, task->index, worker.id);
    if (completed_tasks_[task->job].contains(task->index)) {
        task->phase = "running";
        return end_task(worker, handle.key, "done");
    }
    if (is_gang(task->job))
        wait_for_gang(worker, handle.key);
    else
        run(worker.id, handle.key);
}

void FakeTaskRunner::wait_for_gang(FakeWorker& worker, const std::string& key) {
    FakeTask& task = worker.tasks.at(key);
    task.phase = "waiting";
    worker.prompt_heartbeat(clock_.now());
    std::vector<TaskHandle> members;
    gang_machines_[task.job].insert(worker.id);
    for (const auto& machine : gang_machines_[task.job])
        if (const auto other = workers_.find(machine); other != workers_.end())
            for (const auto& [other_key, member] : other->second.tasks)
                if (member.job == task.job && member.attempt == task.attempt && member.phase == "waiting")
                    members.push_back({machine, other_key, member.generation});
    if (static_cast<int>(members.size()) == body(task.job)["shards"].get<int>()) {
        for (const auto& member : members) run(member.machine, member.key);
        return;
    }
    clock_.after(gang_wait_s, [this, handle = TaskHandle{worker.id, key, task.generation}] {
        const FakeTask* const waiting = find(handle);
        if (waiting != nullptr && waiting->phase == "waiting")
            end_task(workers_.at(handle.machine), handle.key, "alone");
    });
}

void FakeTaskRunner::run(const std::string& machine, const std::string& key) {
    FakeWorker& worker = workers_.at(machine);
    FakeTask& task = worker.tasks.at(key);
    task.phase = "running";
    const TaskHandle handle{machine, key, ++task.generation};
    worker.prompt_heartbeat(clock_.now());
    const bool fails = worker.faulty || failing_jobs.contains(task.job);
    clock_.after(fails ? failing_task_s : task.run_time_s, [this, handle, fails] {
        const FakeTask* const running = find(handle);
        if (running == nullptr || running->phase != "running") return;
        auto finish = [this, handle, fails] {
            if (find(handle) != nullptr)
                end_task(workers_.at(handle.machine), handle.key, fails ? "error" : "done");
        };
        FakeWorker& host = workers_.at(handle.machine);
        if (host.hung)
            host.deferred_while_hung.push_back(finish);
        else
            finish();
    });
}

void FakeTaskRunner::end_task(FakeWorker& worker, const std::string& key, const std::string& cause,
                              bool checkpoint_saved) {
    FakeTask& task = worker.tasks.at(key);
    if (task.phase == "ended") return;
    if (task.phase != "fetching") checker_.task_stopped(task.job, task.index, worker.id);
    task.phase = "ended";
    task.end_cause = cause;
    task.checkpoint_saved = checkpoint_saved;
    ++task.generation;
    worker.prompt_heartbeat(clock_.now());
    const bool gang = is_gang(task.job);
    const bool is_service = body(task.job).value("shape", "") == "service";  // service tasks have no result
    if (cause == "done" && !is_service) {
        // A gang completes as a unit: when one task is done, all are.
        for (int i = 0; i < body(task.job)["shards"].get<int>(); ++i)
            if (gang || i == task.index) {
                completed_tasks_[task.job].insert(i);
                checker_.task_completed(task.job, i);
            }
    } else if (gang) {
        gang_member_lost(task.job, task.attempt);
    }
}

void FakeTaskRunner::gang_member_lost(const std::string& job, std::uint32_t attempt) {
    clock_.after(gang_member_check_s, [this, job, attempt] {
        for (const auto& machine : gang_machines_[job]) {
            const auto worker = workers_.find(machine);
            if (worker == workers_.end()) continue;
            for (const auto& [key, task] : worker->second.tasks)
                if (task.job == job && task.attempt == attempt &&
                    (task.phase == "running" || task.phase == "saving")) {
                    end_task(worker->second, key, "peers");
                    return gang_member_lost(job, attempt);
                }
        }
    });
}

}  // namespace zincdyke::testing
