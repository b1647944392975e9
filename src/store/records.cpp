#include "store/records.h"

#include <algorithm>

#include "base/log.h"

namespace zincdyke::records {
namespace {
// Where a controller of an earlier version called a replica done, its attempt is lost. The next one is above
// any that it may have had.
constexpr Attempt above_lost_attempt = 1'000'000;
constexpr int small_pages_layout = 1;  // in a job's record: its pages are of the size that the record names

// Nothing when the record's pages are of a layout that this version doesn't know.
std::optional<std::uint32_t> small_page_size_in(const Json& record) {
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

std::optional<Job> decode_job_record(const Json& v) {
    if (!v.is_object() || !v.contains("spec")) return std::nullopt;
    auto spec = wire::spec_from_json(v["spec"]);
    if (!spec) return std::nullopt;
    Job j;
    j.spec = std::move(*spec);
    j.submitted = WallTime{v.value("at", std::int64_t{0})};
    j.relay = NodeName(v.value("relay", ""));
    j.cancelled = v.value("x", false);
    if (v.contains("pin")) j.assigned_zone = v["pin"].get<std::string>();
    const auto small_page_size = small_page_size_in(v);
    if (!small_page_size) return std::nullopt;
    j.small_page_size = *small_page_size;
    return j;
}
}  // namespace

Json encode_page(const std::vector<TaskState>& tasks, std::size_t first) {
    Json placed = Json::array(), tried = Json::array();
    std::string done((tasks.size() + 3) / 4, '0');
    bool any_done = false;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const TaskState& t = tasks[i];
        const std::size_t index = i + first;
        if (t.status == TaskState::Status::placed) {
            Json e = {index, t.attempt, t.machine.value()};
            if (!t.zone.empty()) e.push_back(t.zone);
            placed.push_back(std::move(e));
        } else if (t.status == TaskState::Status::done) {
            any_done = true;
            char& c = done[i / 4];
            int digit = (c <= '9' ? c - '0' : c - 'a' + 10) | (1 << (i % 4));
            c = "0123456789abcdef"[digit];
        } else if (t.attempt > 0) {
            tried.push_back({index, t.attempt});
        }
    }
    Json v = Json::object();
    if (!placed.empty()) v["p"] = std::move(placed);
    if (!tried.empty()) v["t"] = std::move(tried);
    if (any_done) v["d"] = std::move(done);
    return v;
}

std::optional<std::vector<TaskState>> decode_page(const Json& v, const Job& j, std::size_t first,
                                                  TaskIndex count) {
    std::vector<TaskState> tasks(count);
    const bool is_service = j.spec.is_service();
    try {
        auto slot = [&](const Json& e) -> TaskState& { return tasks.at(e.at(0).get<std::size_t>() - first); };
        if (v.contains("p"))
            for (const auto& e : v["p"]) {
                TaskState& t = slot(e);
                t = {TaskState::Status::placed, e.at(1).get<Attempt>(), MachineId(e.at(2).get<std::string>()),
                     ""};
                if (e.size() > 3) t.zone = e.at(3).get<std::string>();
            }
        if (v.contains("t"))
            for (const auto& e : v["t"]) slot(e).attempt = e.at(1).get<Attempt>();
        if (v.contains("d")) {
            const auto& hex = v["d"].get_ref<const std::string&>();
            for (std::size_t i = 0; i < tasks.size() && i / 4 < hex.size(); ++i) {
                char c = hex[i / 4];
                int digit = c <= '9' ? c - '0' : c - 'a' + 10;
                if ((digit >> (i % 4) & 1) == 0) continue;
                // A replica is never done: it has to run again.
                if (is_service)
                    tasks[i].attempt = above_lost_attempt;
                else
                    tasks[i].status = TaskState::Status::done;
            }
        }
    } catch (const std::exception& e) {
        log::error("event=bad_record job={} first_task={} why={}", j.spec.id.value(), first, e.what());
        return std::nullopt;
    }
    return tasks;
}

Json encode_job(const Job& j, const std::vector<wire::MachineType>& types, std::size_t most_bytes) {
    Json v = {{"spec", wire::spec_to_json(j.spec)}, {"at", j.submitted.value()}, {"relay", j.relay.value()}};
    if (j.cancelled) v["x"] = true;
    if (j.assigned_zone) v["pin"] = *j.assigned_zone;
    if (j.small_page_size != 0) v["pages"] = {{"layout", small_pages_layout}, {"size", j.small_page_size}};
    if (v.dump().size() <= most_bytes) return v;
    // Accepted under larger limits, it must still be possible to cancel it and to hand it on. Only the list
    // of allowed types can be so long; it need not name what no cloud rents, nor anything twice.
    if (!j.spec.types || types.empty()) return v;
    wire::JobSpec spec = j.spec;
    spec.types->clear();
    for (const auto& known : types)
        if (std::find(j.spec.types->begin(), j.spec.types->end(), known.name) != j.spec.types->end())
            spec.types->push_back(known.name);
    v["spec"] = wire::spec_to_json(spec);
    return v;
}

std::optional<Job> decode_job(const Json& v) {
    try {
        return decode_job_record(v);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}  // namespace zincdyke::records
