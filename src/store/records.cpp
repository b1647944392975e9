#include "store/records.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "base/log.h"

namespace zincdyke::records {
namespace {
// Attempt assigned to a service's task that an earlier version of the program recorded as done. Such a record
// lacks the task's attempt; this value is larger than any attempt that the task can have reached.
constexpr Attempt replacement_attempt = 1'000'000;
// Value of `pages.layout` in a job's record: the pages have the size in `pages.size`.
constexpr int small_pages_layout = 1;
constexpr std::size_t tasks_per_digit = 4;

// Returns the small page size in a job's record; 0 if the record has none. Returns `std::nullopt` if the size
// is invalid or the pages have a layout that this version does not support.
std::optional<std::uint32_t> decode_small_page_size(const Json& record) {
    const auto pages = record.find("pages");
    if (pages == record.end()) return 0;
    if (!pages->is_object()) return std::nullopt;
    const auto layout = pages->find("layout"), size = pages->find("size");
    if (layout == pages->end() || *layout != small_pages_layout) return std::nullopt;
    if (size == pages->end() || !size->is_number_unsigned()) return std::nullopt;
    const auto tasks = size->get<std::uint64_t>();
    if (tasks < 1 || tasks > wire::max_tasks) return std::nullopt;
    return static_cast<std::uint32_t>(tasks);
}

std::optional<Job> decode_job_record(const Json& record) {
    if (!record.is_object() || !record.contains("spec")) return std::nullopt;
    auto spec = wire::spec_from_json(record["spec"]);
    if (!spec) return std::nullopt;
    Job job;
    job.spec = std::move(*spec);
    job.submitted = WallTime{record.value("at", std::int64_t{0})};
    job.relay = NodeName(record.value("relay", ""));
    job.cancelled = record.value("x", false);
    if (record.contains("pin")) job.assigned_zone = record["pin"].get<std::string>();
    const auto small_page_size = decode_small_page_size(record);
    if (!small_page_size) return std::nullopt;
    job.small_page_size = *small_page_size;
    return job;
}

int digit_value(char digit) { return digit <= '9' ? digit - '0' : digit - 'a' + 10; }

// Encodes which tasks are done as hex digits: one bit per task, four tasks per digit, the first task in the
// lowest bit.
std::string encode_done(const std::vector<TaskState>& tasks) {
    std::string digits((tasks.size() + tasks_per_digit - 1) / tasks_per_digit, '0');
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].status != TaskState::Status::done) continue;
        char& digit = digits[i / tasks_per_digit];
        const int bits = digit_value(digit) | (1 << (i % tasks_per_digit));
        digit = "0123456789abcdef"[bits];
    }
    return digits;
}

void decode_done(const std::string& digits, bool is_service, std::vector<TaskState>& tasks) {
    for (std::size_t i = 0; i < tasks.size() && i / tasks_per_digit < digits.size(); ++i) {
        const int bits = digit_value(digits[i / tasks_per_digit]);
        if ((bits >> (i % tasks_per_digit) & 1) == 0) continue;
        // A service's tasks run until the job is cancelled, so a task recorded as done has to run again.
        if (is_service)
            tasks[i].attempt = replacement_attempt;
        else
            tasks[i].status = TaskState::Status::done;
    }
}

// Decodes the tasks in a page's record. Throws an exception if the record is malformed.
std::vector<TaskState> decode_page_record(const Json& record, bool is_service, std::size_t first_task,
                                          TaskIndex task_count) {
    std::vector<TaskState> tasks(task_count);
    const auto task_of = [&](const Json& entry) -> TaskState& {
        return tasks.at(entry.at(0).get<std::size_t>() - first_task);
    };
    if (record.contains("p"))
        for (const auto& entry : record["p"]) {
            TaskState& task = task_of(entry);
            task = {TaskState::Status::placed, entry.at(1).get<Attempt>(),
                    MachineId(entry.at(2).get<std::string>()), ""};
            if (entry.size() > 3) task.zone = entry.at(3).get<std::string>();
        }
    if (record.contains("t"))
        for (const auto& entry : record["t"]) task_of(entry).attempt = entry.at(1).get<Attempt>();
    if (record.contains("d")) decode_done(record["d"].get_ref<const std::string&>(), is_service, tasks);
    return tasks;
}

NodeName node_name_in(const Json& record, const char* field) { return NodeName(record.value(field, "")); }

}  // namespace

Json encode_page(const std::vector<TaskState>& tasks, std::size_t first_task) {
    Json placed = Json::array(), pending_tried = Json::array();
    bool is_any_done = false;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const TaskState& task = tasks[i];
        const std::size_t index = i + first_task;
        if (task.status == TaskState::Status::placed) {
            Json entry = {index, task.attempt, task.machine.value()};
            if (!task.zone.empty()) entry.push_back(task.zone);
            placed.push_back(std::move(entry));
        } else if (task.status == TaskState::Status::done) {
            is_any_done = true;
        } else if (task.attempt > 0) {
            pending_tried.push_back({index, task.attempt});
        }
    }
    Json record = Json::object();
    if (!placed.empty()) record["p"] = std::move(placed);
    if (!pending_tried.empty()) record["t"] = std::move(pending_tried);
    if (is_any_done) record["d"] = encode_done(tasks);
    return record;
}

std::optional<std::vector<TaskState>> decode_page(const Json& record, const Job& job, std::size_t first_task,
                                                  TaskIndex task_count) {
    try {
        return decode_page_record(record, job.spec.is_service(), first_task, task_count);
    } catch (const std::exception& error) {
        log::error("event=invalid_record job={} first_task={} reason={}", job.spec.id.value(), first_task,
                   error.what());
        return std::nullopt;
    }
}

Json encode_job(const Job& job, const std::vector<wire::MachineType>& types, std::size_t max_bytes) {
    Json record = {
        {"spec", wire::spec_to_json(job.spec)}, {"at", job.submitted.value()}, {"relay", job.relay.value()}};
    if (job.cancelled) record["x"] = true;
    if (job.assigned_zone) record["pin"] = *job.assigned_zone;
    if (job.small_page_size != 0)
        record["pages"] = {{"layout", small_pages_layout}, {"size", job.small_page_size}};
    if (record.dump().size() <= max_bytes) return record;
    // A job that was accepted under larger value limits must remain cancellable and movable to another relay.
    // Only its list of allowed machine types can make its record too large. Duplicates and types that do not
    // exist can be omitted from that list.
    if (!job.spec.types || types.empty()) return record;
    wire::JobSpec spec = job.spec;
    spec.types->clear();
    for (const auto& type : types)
        if (std::find(job.spec.types->begin(), job.spec.types->end(), type.name) != job.spec.types->end())
            spec.types->push_back(type.name);
    record["spec"] = wire::spec_to_json(spec);
    return record;
}

std::optional<Job> decode_job(const Json& record) {
    try {
        return decode_job_record(record);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

Json encode_shard_leader(const NodeName& leader, Revision incarnation) {
    return {{"owner", leader.value()}, {"inc", incarnation.value()}};
}
NodeName decode_shard_leader(const Json& record) { return node_name_in(record, "owner"); }

Json encode_team_lock_holder(const NodeName& holder) { return {{"node", holder.value()}}; }
NodeName decode_team_lock_holder(const Json& record) { return node_name_in(record, "node"); }

Json encode_autoscaler_leader(const NodeName& leader) { return {{"node", leader.value()}}; }
NodeName decode_autoscaler_leader(const Json& record) { return node_name_in(record, "node"); }

Json encode_format_level(std::uint32_t level) { return {{"format", level}}; }

std::optional<std::uint32_t> decode_format_level(const Json& record) {
    if (!record.is_object()) return std::nullopt;
    const auto format = record.find("format");
    if (format == record.end() || !format->is_number_unsigned()) return std::nullopt;
    return format->get<std::uint32_t>();
}

Json encode_final_state(const FinalState& state) {
    if (!state.is_done) return {{"s", "withdrawn"}};
    return {{"s", "done"}, {"n", state.done_tasks}};
}

FinalState decode_final_state(const Json& record) {
    return {record.value("s", "") == "done", record.value("n", std::int64_t{0})};
}

}  // namespace zincdyke::records
