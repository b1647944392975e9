#include "wire/json_api.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace zincdyke::wire {
namespace {

// Amounts are rounded up for what is taken and down for what is there, so that sums never exceed a limit.
std::int64_t milli_up(double v) { return static_cast<std::int64_t>(std::ceil(v * 1000 - 1e-6)); }
std::int64_t milli_down(double v) { return static_cast<std::int64_t>(std::floor(v * 1000 + 1e-6)); }

const Json* find(const Json& j, const char* key) {
    auto it = j.find(key);
    return it == j.end() || it->is_null() ? nullptr : &*it;
}

// Thrown and caught within this file only.
struct Bad {
    std::string message, field = {};
    SubmissionError::Code code = SubmissionError::Code::invalid_field;
};

// "FIELD RULE", such as "uid is missing".
Bad wrong_field(const char* field, const std::string& rule) {
    return {std::string(field) + " " + rule, field, SubmissionError::Code::invalid_field};
}
Bad missing_field(const char* field) {
    return {std::string(field) + " is missing", field, SubmissionError::Code::missing_field};
}

const Json& need(const Json& j, const char* key) {
    const Json* v = find(j, key);
    if (v == nullptr) throw missing_field(key);
    return *v;
}
std::string text(const Json& j, const char* key, std::size_t most = 200) {
    const Json& v = need(j, key);
    if (!v.is_string() || v.get_ref<const std::string&>().empty() ||
        v.get_ref<const std::string&>().size() > most)
        throw wrong_field(key, "must be a string of 1 to " + std::to_string(most) + " bytes");
    return v.get<std::string>();
}
double amount(const Json& v, const char* key, double most = 1e9) {
    if (!v.is_number()) throw wrong_field(key, "must be a number");
    double d = v.get<double>();
    if (!std::isfinite(d) || d < 0 || d > most) throw wrong_field(key, "is out of range");
    return d;
}
double amount(const Json& j, const char* key, bool) { return amount(need(j, key), key); }
bool flag(const Json& j, const char* key) {
    const Json& v = need(j, key);
    if (!v.is_boolean()) throw wrong_field(key, "must be true or false");
    return v.get<bool>();
}
std::uint64_t count(const Json& j, const char* key) {
    const Json& v = need(j, key);
    if (!v.is_number_unsigned()) throw wrong_field(key, "must be a whole number");
    return v.get<std::uint64_t>();
}

constexpr const char* shape_names[] = {"batch", "group", "service"};
constexpr const char* rank_names[] = {"critical", "high", "standard", "best_effort"};
constexpr const char* phase_names[] = {"queued", "running", "done", "withdrawn"};
constexpr const char* task_phase_names[] = {"fetching", "waiting", "running", "saving", "ended"};
constexpr const char* cause_names[] = {"none",  "done", "halted", "peers",  "alone",
                                       "error", "full", "in_use", "unknown"};
constexpr const char* verb_names[] = {"run", "halt", "clear"};

template <std::size_t N>
int index_of(const char* const (&names)[N], const std::string& s) {
    for (std::size_t i = 0; i < N; ++i)
        if (s == names[i]) return static_cast<int>(i);
    return -1;
}

JobSpec spec_of(const Json& j) {
    if (!j.is_object()) throw Bad{"not an object", "", SubmissionError::Code::not_an_object};
    JobSpec s;
    s.id = JobId(text(j, "uid", 64));
    if (!valid_job_id(s.id.value())) throw wrong_field("uid", "must look like job-000412");
    s.job_class = text(j, "ilk");
    s.team = TeamName(text(j, "crew"));
    std::string shape = text(j, "shape");
    int shape_index = index_of(shape_names, shape);
    if (shape_index < 0) throw wrong_field("shape", "must be batch, group or service");
    s.shape = static_cast<Shape>(shape_index);
    int rank = index_of(rank_names, text(j, "rank"));
    if (rank < 0) throw wrong_field("rank", "is not known");
    s.rank = static_cast<Rank>(rank);
    std::uint64_t tasks = count(j, "shards");
    if (tasks < 1 || tasks > max_tasks) throw wrong_field("shards", "must be from 1 to 100000");
    s.tasks = static_cast<TaskIndex>(tasks);
    s.need = {milli_up(amount(j, "vcpus", true)), milli_up(amount(j, "gpus", true)),
              milli_up(amount(j, "ram_gb", true))};
    s.image = text(j, "cask");
    s.image_gb = amount(j, "image_gb", true);
    if (const Json* t = find(j, "breeds")) {
        if (!t->is_array() || t->size() > 1000)
            throw wrong_field("breeds", "must be a list of machine types");
        s.types.emplace();
        for (const auto& e : *t) {
            if (!e.is_string()) throw wrong_field("breeds", "must be a list of machine types");
            s.types->push_back(e.get<std::string>());
        }
    }
    if (find(j, "field") != nullptr) s.zone = text(j, "field");
    s.one_zone = flag(j, "one_zone");
    s.spread = flag(j, "apart");
    s.spot = flag(j, "loaners");
    // Nobody can estimate how long a service runs.
    if (!s.is_service() || find(j, "guess_s") != nullptr) s.estimate_s = amount(j, "guess_s", true);
    s.checkpoint_s = amount(j, "mark_every_s", true);
    s.save_s = amount(j, "stow_s", true);
    if (const Json* d = find(j, "due_s")) s.deadline_s = amount(*d, "due_s");
    return s;
}

TaskRef task_ref(const std::string& s) {
    auto slash = s.rfind('/');
    if (slash == std::string::npos || slash + 1 == s.size() || s.size() - slash > 8)
        throw Bad{"bad task name"};
    std::uint32_t n = 0;
    for (std::size_t i = slash + 1; i < s.size(); ++i) {
        if (s[i] < '0' || s[i] > '9') throw Bad{"bad task name"};
        n = n * 10 + static_cast<std::uint32_t>(s[i] - '0');
    }
    return {JobId(s.substr(0, slash)), n};
}

// Parses without exceptions leaving this package: a peer's bad text is an answer, not a failure of ours.
template <class Fn>
auto parse_or_error(std::string_view body, Fn fn) -> tl::expected<decltype(fn(Json())), SubmissionError> {
    using Code = SubmissionError::Code;
    Json j = Json::parse(body, nullptr, false);
    if (j.is_discarded()) return tl::unexpected(SubmissionError{Code::not_json, "", "not JSON"});
    try {
        return fn(j);
    } catch (const Bad& b) {
        return tl::unexpected(SubmissionError{b.code, b.field, b.message});
    } catch (const Json::exception&) {
        return tl::unexpected(SubmissionError{Code::invalid_field, "", "a field has the wrong type"});
    }
}

template <class Fn>
auto guarded(std::string_view body, Fn fn) -> std::optional<decltype(fn(Json()))> {
    auto parsed = parse_or_error(body, fn);
    if (!parsed) return std::nullopt;
    return std::move(*parsed);
}

std::vector<MachineType> types_of(const Json& j) {
    if (!j.is_object() || !need(j, "breeds").is_array()) throw Bad{"breeds must be a list"};
    std::vector<MachineType> out;
    for (const auto& e : j["breeds"]) {
        MachineType t;
        t.name = text(e, "sku");
        t.capacity = {milli_down(amount(e, "vcpus", true)), milli_down(amount(e, "gpus", true)),
                      milli_down(amount(e, "ram_gb", true))};
        t.cache_gb = amount(e, "local_gb", true);
        t.fetch_gb_per_s = std::max(0.001, amount(e, "fetch_gb_per_s", true));
        t.price = amount(e, "hourly", true);
        t.spot_price = amount(e, "low_price", true);
        t.boot_s = amount(e, "boot_s", true);
        for (const auto& z : need(e, "fields")) t.zones.push_back(z.get<std::string>());
        out.push_back(std::move(t));
    }
    return out;
}

double whole_gb(std::int64_t m) { return static_cast<double>(m) / 1000.0; }

}  // namespace

bool valid_job_id(std::string_view id) {
    return id.size() > 4 && id.size() <= 40 && id.substr(0, 4) == "job-" &&
           std::all_of(id.begin() + 4, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

tl::expected<JobSpec, SubmissionError> parse_job(std::string_view body) {
    return parse_or_error(body, spec_of);
}

std::string error_response_body(std::string_view message) { return Json{{"error", message}}.dump(); }

std::optional<JobSpec> spec_from_json(const Json& j) {
    try {
        return spec_of(j);
    } catch (const Bad&) {
    } catch (const Json::exception&) {
    }
    return std::nullopt;
}

Json spec_to_json(const JobSpec& s) {
    Json j = {{"uid", s.id.value()},
              {"ilk", s.job_class},
              {"crew", s.team.value()},
              {"shape", shape_names[static_cast<int>(s.shape)]},
              {"rank", rank_names[static_cast<int>(s.rank)]},
              {"shards", s.tasks},
              {"vcpus", whole_gb(s.need.cpu)},
              {"gpus", whole_gb(s.need.gpu)},
              {"ram_gb", whole_gb(s.need.ram)},
              {"cask", s.image},
              {"image_gb", s.image_gb},
              {"one_zone", s.one_zone},
              {"apart", s.spread},
              {"loaners", s.spot},
              {"guess_s", s.estimate_s},
              {"mark_every_s", s.checkpoint_s},
              {"stow_s", s.save_s}};
    if (s.types) j["breeds"] = *s.types;
    if (s.zone) j["field"] = *s.zone;
    if (s.deadline_s) j["due_s"] = *s.deadline_s;
    return j;
}

std::string job_response_body(const JobId& id, Phase phase, std::int64_t done, std::int64_t running) {
    Json j = {{"uid", id.value()}, {"phase", phase_names[static_cast<int>(phase)]}};
    if (done >= 0) j["done"] = done;
    if (running >= 0) j["running"] = running;
    return j.dump();
}

const char* exit_cause_name(ExitCause c) { return cause_names[static_cast<int>(c)]; }

std::optional<Heartbeat> parse_heartbeat(std::string_view body) {
    return guarded(body, [](const Json& j) {
        if (!j.is_object()) throw Bad{"not an object"};
        Heartbeat r;
        r.machine = MachineId(text(j, "werf"));
        r.address = text(j, "address");
        r.type = text(j, "breed");
        r.zone = text(j, "field");
        r.spot = flag(j, "loaners");
        r.sequence = {count(j, "tenure"), count(j, "tick")};
        if (const Json* b = find(j, "baton")) {
            if (!b->is_number_unsigned()) throw Bad{"baton"};
            r.token = FencingToken::of(b->get<std::uint64_t>());
        }
        if (const Json* n = find(j, "warning_s")) r.spot_notice_s = amount(*n, "warning_s");
        for (const auto& e : need(j, "shards")) {
            TaskStatus t;
            t.task = task_ref(text(e, "shard"));
            std::uint64_t attempt = count(e, "try");
            if (attempt > std::numeric_limits<Attempt>::max()) throw Bad{"try"};
            t.attempt = static_cast<Attempt>(attempt);
            int phase = index_of(task_phase_names, text(e, "phase"));
            if (phase < 0) throw Bad{"phase"};
            t.phase = static_cast<TaskPhase>(phase);
            if (t.phase == TaskPhase::ended) {
                // A cause added later to the protocol still means that the task is over, and not done.
                int cause = find(e, "cause") != nullptr ? index_of(cause_names, text(e, "cause")) : -1;
                t.cause = cause > 0 ? static_cast<ExitCause>(cause) : ExitCause::unknown;
                const Json* kept = find(e, "kept");
                t.saved = kept != nullptr && kept->is_boolean() && kept->get<bool>();
            }
            r.tasks.push_back(std::move(t));
        }
        return r;
    });
}

std::string encode_commands(FencingToken token, const std::vector<Command>& orders,
                            std::optional<std::uint64_t> agent_epoch) {
    Json list = Json::array();
    for (const auto& o : orders) {
        Json e = {
            {"verb", verb_names[static_cast<int>(o.kind)]}, {"shard", o.task.str()}, {"try", o.attempt}};
        if (o.kind == CommandKind::stop) e["respite_s"] = o.grace_s;
        list.push_back(std::move(e));
    }
    Json j = {{"baton", token.value()}, {"orders", std::move(list)}};
    if (agent_epoch) j["tenure"] = *agent_epoch;
    return j.dump();
}

std::string encode_redirect(const std::optional<NodeName>& leader) {
    return leader ? Json{{"foreman", leader->value()}}.dump() : "{}";
}

std::optional<std::vector<MachineType>> parse_machine_types(std::string_view body) {
    return guarded(body, types_of);
}

std::optional<std::vector<MachineType>> machine_types_from_json(const Json& j) {
    try {
        return types_of(j);
    } catch (const Bad&) {
    } catch (const Json::exception&) {
    }
    return std::nullopt;
}

Json machine_types_to_json(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const auto& t : types)
        list.push_back({{"sku", t.name},
                        {"vcpus", whole_gb(t.capacity.cpu)},
                        {"gpus", whole_gb(t.capacity.gpu)},
                        {"ram_gb", whole_gb(t.capacity.ram)},
                        {"local_gb", t.cache_gb},
                        {"fetch_gb_per_s", t.fetch_gb_per_s},
                        {"hourly", t.price},
                        {"low_price", t.spot_price},
                        {"boot_s", t.boot_s},
                        {"fields", t.zones}});
    return {{"breeds", std::move(list)}};
}

std::optional<MachinePage> parse_machine_page(std::string_view body) {
    return guarded(body, [](const Json& j) {
        MachinePage page;
        page.has_more = flag(j, "has_next");
        for (const auto& e : need(j, "werven")) {
            ListedMachine m;
            m.id = MachineId(text(e, "uid"));
            m.address = text(e, "address");
            m.type = text(e, "breed");
            m.zone = text(e, "field");
            m.spot = flag(e, "loaners");
            std::string phase = text(e, "phase");
            m.phase = phase == "running"  ? MachinePhase::running
                      : phase == "failed" ? MachinePhase::failed
                                          : MachinePhase::booting;
            m.age_s = amount(e, "held_s", true);
            page.machines.push_back(std::move(m));
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
    Json names = Json::array();
    for (const auto& m : machines) names.push_back(m.value());
    return Json{{"werven", std::move(names)}}.dump();
}

std::optional<std::vector<MachineId>> parse_machine_ids(std::string_view body) {
    return guarded(body, [](const Json& j) {
        std::vector<MachineId> out;
        for (const auto& e : need(j, "werven")) out.emplace_back(e.get<std::string>());
        return out;
    });
}

}  // namespace zincdyke::wire
