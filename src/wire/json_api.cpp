#include "wire/json_api.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace zincdyke::wire {
namespace {

// Converts an amount to thousandths. Required amounts are rounded up and available amounts are rounded down,
// so that rounding never makes the tasks on a machine exceed its capacity.
std::int64_t thousandths_rounded_up(double number) {
    return static_cast<std::int64_t>(std::ceil(number * 1000 - 1e-6));
}
std::int64_t thousandths_rounded_down(double number) {
    return static_cast<std::int64_t>(std::floor(number * 1000 + 1e-6));
}

// Returns the value of the field `key` of a JSON object; nullptr if the field is missing or null.
const Json* find(const Json& object, const char* key) {
    auto it = object.find(key);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

// Exception for malformed input; thrown and caught only in this file.
struct MalformedInput {
    std::string message, field = {};
    SubmissionError::Code code = SubmissionError::Code::invalid_field;
};

// Returns an error with the message "FIELD RULE", such as "uid is out of range".
MalformedInput invalid_field(const char* field, const std::string& rule) {
    return {std::string(field) + " " + rule, field, SubmissionError::Code::invalid_field};
}
MalformedInput missing_field(const char* field) {
    return {std::string(field) + " is missing", field, SubmissionError::Code::missing_field};
}

const Json& required(const Json& object, const char* key) {
    const Json* value = find(object, key);
    if (value == nullptr) throw missing_field(key);
    return *value;
}
std::string text(const Json& object, const char* key, std::size_t max_bytes = 200) {
    const Json& value = required(object, key);
    if (!value.is_string() || value.get_ref<const std::string&>().empty() ||
        value.get_ref<const std::string&>().size() > max_bytes)
        throw invalid_field(key, "must be a string of 1 to " + std::to_string(max_bytes) + " bytes");
    return value.get<std::string>();
}
double to_amount(const Json& value, const char* key, double max = 1e9) {
    if (!value.is_number()) throw invalid_field(key, "must be a number");
    double number = value.get<double>();
    if (!std::isfinite(number) || number < 0 || number > max) throw invalid_field(key, "is out of range");
    return number;
}
double amount(const Json& object, const char* key) { return to_amount(required(object, key), key); }
bool flag(const Json& object, const char* key) {
    const Json& value = required(object, key);
    if (!value.is_boolean()) throw invalid_field(key, "must be true or false");
    return value.get<bool>();
}
std::uint64_t count(const Json& object, const char* key) {
    const Json& value = required(object, key);
    if (!value.is_number_unsigned()) throw invalid_field(key, "must be a whole number");
    return value.get<std::uint64_t>();
}

constexpr const char* shape_names[] = {"batch", "group", "service"};
constexpr const char* rank_names[] = {"critical", "high", "standard", "best_effort"};
constexpr const char* phase_names[] = {"queued", "running", "done", "withdrawn"};
constexpr const char* task_phase_names[] = {"fetching", "waiting", "running", "saving", "ended"};
constexpr const char* cause_names[] = {"none",  "done", "halted", "peers",  "alone",
                                       "error", "full", "in_use", "unknown"};
constexpr const char* command_names[] = {"run", "halt", "clear"};

template <std::size_t N>
int index_of(const char* const (&names)[N], const std::string& name) {
    for (std::size_t i = 0; i < N; ++i)
        if (name == names[i]) return static_cast<int>(i);
    return -1;
}

JobSpec spec_of(const Json& json) {
    if (!json.is_object()) throw MalformedInput{"not an object", "", SubmissionError::Code::not_an_object};
    JobSpec spec;
    spec.id = JobId(text(json, "uid", 64));
    if (!valid_job_id(spec.id.value())) throw invalid_field("uid", "must look like job-000412");
    spec.job_class = text(json, "ilk");
    spec.team = TeamName(text(json, "crew"));
    std::string shape = text(json, "shape");
    int shape_index = index_of(shape_names, shape);
    if (shape_index < 0) throw invalid_field("shape", "must be batch, group or service");
    spec.shape = static_cast<Shape>(shape_index);
    int rank_index = index_of(rank_names, text(json, "rank"));
    if (rank_index < 0) throw invalid_field("rank", "is not known");
    spec.rank = static_cast<Rank>(rank_index);
    std::uint64_t task_count = count(json, "shards");
    if (task_count < 1 || task_count > max_tasks) throw invalid_field("shards", "must be from 1 to 100000");
    spec.tasks = static_cast<TaskIndex>(task_count);
    spec.need = {thousandths_rounded_up(amount(json, "vcpus")), thousandths_rounded_up(amount(json, "gpus")),
                 thousandths_rounded_up(amount(json, "ram_gb"))};
    spec.image = text(json, "cask");
    spec.image_gb = amount(json, "image_gb");
    if (const Json* types = find(json, "breeds")) {
        if (!types->is_array() || types->size() > 1000)
            throw invalid_field("breeds", "must be a list of machine types");
        spec.types.emplace();
        for (const auto& type : *types) {
            if (!type.is_string()) throw invalid_field("breeds", "must be a list of machine types");
            spec.types->push_back(type.get<std::string>());
        }
    }
    if (find(json, "field") != nullptr) spec.zone = text(json, "field");
    spec.one_zone = flag(json, "one_zone");
    spec.spread = flag(json, "apart");
    spec.spot = flag(json, "loaners");
    // A service runs until it is cancelled, so that its run time may be omitted.
    if (!spec.is_service() || find(json, "guess_s") != nullptr) spec.estimate_s = amount(json, "guess_s");
    spec.checkpoint_s = amount(json, "mark_every_s");
    spec.save_s = amount(json, "stow_s");
    if (const Json* deadline = find(json, "due_s")) spec.deadline_s = to_amount(*deadline, "due_s");
    return spec;
}

// Parses a task name "JOB/INDEX".
TaskRef task_ref(const std::string& name) {
    auto slash = name.rfind('/');
    if (slash == std::string::npos || slash + 1 == name.size() || name.size() - slash > 8)
        throw MalformedInput{"bad task name"};
    std::uint32_t index = 0;
    for (std::size_t i = slash + 1; i < name.size(); ++i) {
        if (name[i] < '0' || name[i] > '9') throw MalformedInput{"bad task name"};
        index = index * 10 + static_cast<std::uint32_t>(name[i] - '0');
    }
    return {JobId(name.substr(0, slash)), index};
}

// Parses `body`, passes it to `fn` and returns the result of `fn`. Malformed input is returned as an error:
// no exception leaves this package, because malformed input from another process is not a failure of this
// one.
template <class Fn>
auto parse_or_error(std::string_view body, Fn fn) -> tl::expected<decltype(fn(Json())), SubmissionError> {
    using Code = SubmissionError::Code;
    Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded()) return tl::unexpected(SubmissionError{Code::not_json, "", "not JSON"});
    try {
        return fn(json);
    } catch (const MalformedInput& error) {
        return tl::unexpected(SubmissionError{error.code, error.field, error.message});
    } catch (const Json::exception&) {
        return tl::unexpected(SubmissionError{Code::invalid_field, "", "a field has the wrong type"});
    }
}

// Parses `body`, passes it to `fn` and returns the result of `fn`; nullopt if `body` is malformed.
template <class Fn>
auto parse_or_nullopt(std::string_view body, Fn fn) -> std::optional<decltype(fn(Json()))> {
    auto parsed = parse_or_error(body, fn);
    if (!parsed) return std::nullopt;
    return std::move(*parsed);
}

std::vector<MachineType> machine_types_of(const Json& json) {
    if (!json.is_object() || !required(json, "breeds").is_array())
        throw MalformedInput{"breeds must be a list"};
    std::vector<MachineType> types;
    for (const auto& entry : json["breeds"]) {
        MachineType type;
        type.name = text(entry, "sku");
        type.capacity = {thousandths_rounded_down(amount(entry, "vcpus")),
                         thousandths_rounded_down(amount(entry, "gpus")),
                         thousandths_rounded_down(amount(entry, "ram_gb"))};
        type.cache_gb = amount(entry, "local_gb");
        type.fetch_gb_per_s = std::max(0.001, amount(entry, "fetch_gb_per_s"));
        type.price = amount(entry, "hourly");
        type.spot_price = amount(entry, "low_price");
        type.boot_s = amount(entry, "boot_s");
        for (const auto& zone : required(entry, "fields")) type.zones.push_back(zone.get<std::string>());
        types.push_back(std::move(type));
    }
    return types;
}

double from_thousandths(std::int64_t amount) { return static_cast<double>(amount) / 1000.0; }

}  // namespace

bool valid_job_id(std::string_view id) {
    return id.size() > 4 && id.size() <= 40 && id.substr(0, 4) == "job-" &&
           std::all_of(id.begin() + 4, id.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
}

tl::expected<JobSpec, SubmissionError> parse_job(std::string_view body) {
    return parse_or_error(body, spec_of);
}

std::string error_response_body(std::string_view message) { return Json{{"error", message}}.dump(); }

std::optional<JobSpec> spec_from_json(const Json& json) {
    try {
        return spec_of(json);
    } catch (const MalformedInput&) {
    } catch (const Json::exception&) {
    }
    return std::nullopt;
}

Json spec_to_json(const JobSpec& spec) {
    Json json = {{"uid", spec.id.value()},
                 {"ilk", spec.job_class},
                 {"crew", spec.team.value()},
                 {"shape", shape_names[static_cast<int>(spec.shape)]},
                 {"rank", rank_names[static_cast<int>(spec.rank)]},
                 {"shards", spec.tasks},
                 {"vcpus", from_thousandths(spec.need.cpu)},
                 {"gpus", from_thousandths(spec.need.gpu)},
                 {"ram_gb", from_thousandths(spec.need.ram)},
                 {"cask", spec.image},
                 {"image_gb", spec.image_gb},
                 {"one_zone", spec.one_zone},
                 {"apart", spec.spread},
                 {"loaners", spec.spot},
                 {"guess_s", spec.estimate_s},
                 {"mark_every_s", spec.checkpoint_s},
                 {"stow_s", spec.save_s}};
    if (spec.types) json["breeds"] = *spec.types;
    if (spec.zone) json["field"] = *spec.zone;
    if (spec.deadline_s) json["due_s"] = *spec.deadline_s;
    return json;
}

std::string job_response_body(const JobId& id, Phase phase, std::int64_t done, std::int64_t running) {
    Json json = {{"uid", id.value()}, {"phase", phase_names[static_cast<int>(phase)]}};
    if (done >= 0) json["done"] = done;
    if (running >= 0) json["running"] = running;
    return json.dump();
}

const char* exit_cause_name(ExitCause cause) { return cause_names[static_cast<int>(cause)]; }

std::optional<Heartbeat> parse_heartbeat(std::string_view body) {
    return parse_or_nullopt(body, [](const Json& json) {
        if (!json.is_object()) throw MalformedInput{"not an object"};
        Heartbeat heartbeat;
        heartbeat.machine = MachineId(text(json, "werf"));
        heartbeat.address = text(json, "address");
        heartbeat.type = text(json, "breed");
        heartbeat.zone = text(json, "field");
        heartbeat.spot = flag(json, "loaners");
        heartbeat.sequence = {count(json, "tenure"), count(json, "tick")};
        if (const Json* token = find(json, "baton")) {
            if (!token->is_number_unsigned()) throw MalformedInput{"baton"};
            heartbeat.token = FencingToken::of(token->get<std::uint64_t>());
        }
        if (const Json* notice = find(json, "warning_s"))
            heartbeat.spot_notice_s = to_amount(*notice, "warning_s");
        for (const auto& entry : required(json, "shards")) {
            TaskStatus status;
            status.task = task_ref(text(entry, "shard"));
            std::uint64_t attempt = count(entry, "try");
            if (attempt > std::numeric_limits<Attempt>::max()) throw MalformedInput{"try"};
            status.attempt = static_cast<Attempt>(attempt);
            int phase = index_of(task_phase_names, text(entry, "phase"));
            if (phase < 0) throw MalformedInput{"phase"};
            status.phase = static_cast<TaskPhase>(phase);
            if (status.phase == TaskPhase::ended) {
                // A cause unknown to this version still means that the task has ended, and has not succeeded.
                int cause =
                    find(entry, "cause") != nullptr ? index_of(cause_names, text(entry, "cause")) : -1;
                status.cause = cause > 0 ? static_cast<ExitCause>(cause) : ExitCause::unknown;
                const Json* saved = find(entry, "kept");
                status.saved = saved != nullptr && saved->is_boolean() && saved->get<bool>();
            }
            heartbeat.tasks.push_back(std::move(status));
        }
        return heartbeat;
    });
}

std::string encode_commands(FencingToken token, const std::vector<Command>& commands,
                            std::optional<std::uint64_t> agent_epoch) {
    Json list = Json::array();
    for (const auto& command : commands) {
        Json entry = {{"verb", command_names[static_cast<int>(command.kind)]},
                      {"shard", command.task.str()},
                      {"try", command.attempt}};
        if (command.kind == CommandKind::stop) entry["respite_s"] = command.grace_s;
        list.push_back(std::move(entry));
    }
    Json json = {{"baton", token.value()}, {"orders", std::move(list)}};
    if (agent_epoch) json["tenure"] = *agent_epoch;
    return json.dump();
}

std::string encode_redirect(const std::optional<NodeName>& leader) {
    return leader ? Json{{"foreman", leader->value()}}.dump() : "{}";
}

std::optional<std::vector<MachineType>> parse_machine_types(std::string_view body) {
    return parse_or_nullopt(body, machine_types_of);
}

std::optional<std::vector<MachineType>> machine_types_from_json(const Json& json) {
    try {
        return machine_types_of(json);
    } catch (const MalformedInput&) {
    } catch (const Json::exception&) {
    }
    return std::nullopt;
}

Json machine_types_to_json(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const auto& type : types)
        list.push_back({{"sku", type.name},
                        {"vcpus", from_thousandths(type.capacity.cpu)},
                        {"gpus", from_thousandths(type.capacity.gpu)},
                        {"ram_gb", from_thousandths(type.capacity.ram)},
                        {"local_gb", type.cache_gb},
                        {"fetch_gb_per_s", type.fetch_gb_per_s},
                        {"hourly", type.price},
                        {"low_price", type.spot_price},
                        {"boot_s", type.boot_s},
                        {"fields", type.zones}});
    return {{"breeds", std::move(list)}};
}

std::optional<MachinePage> parse_machine_page(std::string_view body) {
    return parse_or_nullopt(body, [](const Json& json) {
        MachinePage page;
        page.has_more = flag(json, "has_next");
        for (const auto& entry : required(json, "werven")) {
            ListedMachine machine;
            machine.id = MachineId(text(entry, "uid"));
            machine.address = text(entry, "address");
            machine.type = text(entry, "breed");
            machine.zone = text(entry, "field");
            machine.spot = flag(entry, "loaners");
            std::string phase = text(entry, "phase");
            machine.phase = phase == "running"  ? MachinePhase::running
                            : phase == "failed" ? MachinePhase::failed
                                                : MachinePhase::booting;
            machine.age_s = amount(entry, "held_s");
            page.machines.push_back(std::move(machine));
        }
        return page;
    });
}

std::string provision_request_body(const std::string& request, const std::string& type,
                                   const std::string& zone, bool spot, std::uint32_t count) {
    return Json{{"hire", request}, {"breed", type}, {"field", zone}, {"loaners", spot}, {"how_many", count}}
        .dump();
}

std::string terminate_request_body(const std::vector<MachineId>& machines) {
    Json ids = Json::array();
    for (const auto& machine : machines) ids.push_back(machine.value());
    return Json{{"werven", std::move(ids)}}.dump();
}

std::optional<std::vector<MachineId>> parse_machine_ids(std::string_view body) {
    return parse_or_nullopt(body, [](const Json& json) {
        std::vector<MachineId> ids;
        for (const auto& entry : required(json, "werven")) ids.emplace_back(entry.get<std::string>());
        return ids;
    });
}

}  // namespace zincdyke::wire
