#include "store/model.h"

#include <xxhash.h>

#include <algorithm>

#include "base/log.h"

namespace zd {

namespace keys {
std::string job(const JobId& id) { return "z/j/" + id.v; }
std::string page(const JobId& id, std::uint32_t n) { return "z/t/" + id.v + "/" + std::to_string(n); }
std::string final_state(const JobId& id) { return "f/" + id.v; }
std::string node(const NodeName& n) { return "z/n/" + n.v; }
std::string part(std::uint32_t k) { return "z/p/" + std::to_string(k); }
std::string team(const TeamName& t) { return "z/q/" + t.v; }
}  // namespace keys

namespace {
// The longest entry of a placed task: index, attempt, machine and zone with their punctuation.
constexpr std::size_t entry_bytes = 40, page_overhead = 400;
constexpr std::size_t most_called_off = 20'000;
constexpr std::size_t most_image_holders = 8192, most_images = 48;
}  // namespace

Model::Model(const Settings& settings) : settings_(settings), parts_(settings.size) {
    auto bytes = static_cast<std::size_t>(settings.value_kb * 1024);
    page_size_ =
        static_cast<std::uint32_t>(std::clamp<std::size_t>((bytes - page_overhead) / entry_bytes, 8, 400));
}

void Model::clear() {
    versions_.clear();
    present_.clear();
    jobs_.clear();
    by_machine_.clear();
    parts_.assign(settings_.size, Part{});
    nodes_.clear();
    team_lock_holders_.clear();
    placed_by_team_.clear();
    ++generation_;
    supplier_ = {};
    types_.clear();
    orphans_.clear();
    seen = {};
    if (on_jobs) on_jobs();
}

Revision Model::version(const std::string& key) const {
    auto it = present_.find(key);
    return it != present_.end() && it->second ? versions_.at(key) : Revision{};
}

const Job* Model::job(const JobId& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

TaskState Model::task(const TaskRef& t) const {
    const Job* j = job(t.job);
    if (j == nullptr) return {};
    auto p = j->pages.find(page_of(t.task));
    std::size_t at = t.task % page_size_;
    return p == j->pages.end() || at >= p->second.tasks.size() ? TaskState{} : p->second.tasks[at];
}

const std::set<TaskRef>& Model::on_machine(const MachineId& m) const {
    static const std::set<TaskRef> none;
    auto it = by_machine_.find(m);
    return it == by_machine_.end() ? none : it->second;
}

TeamUse Model::team(const TeamName& t) const {
    auto it = placed_by_team_.find(t);
    return it != placed_by_team_.end() ? it->second : TeamUse{};
}

const NodeName& Model::team_lock_holder(const TeamName& t) const {
    static const NodeName none;
    auto it = team_lock_holders_.find(t);
    return it != team_lock_holders_.end() ? it->second : none;
}

const Team* Model::team_settings(const TeamName& t) const {
    auto it = settings_.teams.find(t);
    return it == settings_.teams.end() ? nullptr : &it->second;
}

bool Model::team_has_room(const TeamName& t, const Room& need, TaskIndex tasks) const {
    const Team* s = team_settings(t);
    if (s == nullptr) return false;
    TeamUse u = team(t);
    auto n = static_cast<std::int64_t>(tasks);
    return (s->cpu_max == 0 || u.cpu + need.cpu * n <= s->cpu_max) &&
           (s->gpu_max == 0 || u.gpu + need.gpu * n <= s->gpu_max);
}

const wire::MachineType* Model::type(const std::string& name) const {
    auto it = std::find_if(types_.begin(), types_.end(), [&](const auto& t) { return t.name == name; });
    return it == types_.end() ? nullptr : &*it;
}

bool Model::work_waits() const {
    return std::any_of(jobs_.begin(), jobs_.end(),
                       [](const auto& j) { return !j.second.cancelled && j.second.pending() > 0; });
}

std::uint32_t Model::part_of(const MachineId& m) const {
    return static_cast<std::uint32_t>(XXH64(m.v.data(), m.v.size(), 0) % parts_.size());
}

TaskIndex Model::tasks_in(const wire::JobSpec& s, std::uint32_t page) const {
    return std::min(page_size_, s.tasks - page * page_size_);
}

std::vector<TaskState> Model::page_tasks(const Job& j, std::uint32_t page) const {
    auto it = j.pages.find(page);
    return it != j.pages.end() ? it->second.tasks : std::vector<TaskState>(tasks_in(j.spec, page));
}

Json Model::encode_page(const std::vector<TaskState>& tasks, std::uint32_t page) const {
    Json placed = Json::array(), tried = Json::array();
    std::string done((tasks.size() + 3) / 4, '0');
    bool any_done = false;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const TaskState& t = tasks[i];
        std::size_t index = i + std::size_t{page} * page_size_;
        if (t.at == TaskState::At::placed) {
            Json e = {index, t.attempt, t.machine.v};
            if (!t.zone.empty()) e.push_back(t.zone);
            placed.push_back(std::move(e));
        } else if (t.at == TaskState::At::done) {
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

std::optional<std::vector<TaskState>> Model::decode_page(const Json& v, const wire::JobSpec& s,
                                                         std::uint32_t page) const {
    std::vector<TaskState> tasks(tasks_in(s, page));
    try {
        auto slot = [&](const Json& e) -> TaskState& {
            return tasks.at(e.at(0).get<std::size_t>() - std::size_t{page} * page_size_);
        };
        if (v.contains("p"))
            for (const auto& e : v["p"]) {
                TaskState& t = slot(e);
                t = {TaskState::At::placed, e.at(1).get<Attempt>(), MachineId(e.at(2).get<std::string>()),
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
                if ((digit >> (i % 4) & 1) != 0) tasks[i].at = TaskState::At::done;
            }
        }
    } catch (const std::exception& e) {
        log::error("event=bad_record job={} page={} why={}", s.id.v, page, e.what());
        return std::nullopt;
    }
    return tasks;
}

Json Model::encode_job(const Job& j) {
    Json v = {{"spec", wire::spec_to_json(j.spec)}, {"at", j.submitted.v}, {"relay", j.relay.v}};
    if (j.cancelled) v["x"] = true;
    if (j.pinned_zone) v["pin"] = *j.pinned_zone;
    return v;
}

std::optional<Job> Model::decode_job(const Json& v) {
    if (!v.is_object() || !v.contains("spec")) return std::nullopt;
    auto spec = wire::spec_from_json(v["spec"]);
    if (!spec) return std::nullopt;
    Job j;
    j.spec = std::move(*spec);
    j.submitted = WallMs{v.value("at", std::int64_t{0})};
    j.relay = NodeName(v.value("relay", ""));
    j.cancelled = v.value("x", false);
    if (v.contains("pin")) j.pinned_zone = v["pin"].get<std::string>();
    return j;
}

void Model::apply(const Item& item) {
    auto known = versions_.find(item.key);
    // The watch trails behind this node's own commits, and lists may be older than either.
    if (known != versions_.end() && item.version <= known->second) return;
    versions_[item.key] = item.version;
    present_[item.key] = item.value.has_value();
    const std::string& k = item.key;
    if (k.rfind("z/j/", 0) == 0) {
        apply_job(JobId(k.substr(4)), item);
    } else if (k.rfind("z/t/", 0) == 0) {
        apply_page(k.substr(4), item);
    } else if (k.rfind("z/n/", 0) == 0) {
        NodeName n(k.substr(4));
        if (item.value)
            nodes_[n] = item.version;
        else
            nodes_.erase(n);
        if (on_cluster) on_cluster();
    } else if (k.rfind("z/p/", 0) == 0) {
        std::size_t part = 0;
        for (std::size_t i = 4; i < k.size() && k[i] >= '0' && k[i] <= '9' && part < 100000; ++i)
            part = part * 10 + static_cast<std::size_t>(k[i] - '0');
        if (part < parts_.size() && item.value)
            parts_[part] = {NodeName(item.value->value("owner", "")), item.version};
        if (on_cluster) on_cluster();
    } else if (k.rfind("z/q/", 0) == 0) {
        if (item.value) team_lock_holders_[TeamName(k.substr(4))] = NodeName(item.value->value("node", ""));
    } else if (k == keys::supplier) {
        supplier_ = item.value ? NodeName(item.value->value("node", "")) : NodeName();
        if (on_cluster) on_cluster();
    } else if (k == keys::types && item.value) {
        if (auto t = wire::types_from_json(*item.value)) types_ = std::move(*t);
    }
    if (!item.value && versions_.size() > 4096) {
        // Versions of deleted keys guard against older news only; once the watch is past them they can go.
        std::erase_if(versions_, [&](const auto& e) {
            bool drop = e.second < seen && !present_.at(e.first);
            if (drop) present_.erase(e.first);
            return drop;
        });
    }
}

void Model::apply_job(const JobId& id, const Item& item) {
    if (!item.value) {
        called_off_.erase(id);
        auto it = jobs_.find(id);
        if (it == jobs_.end()) return;
        for (auto& [n, p] : it->second.pages) {
            set_page(it->second, n, std::vector<TaskState>(p.tasks.size()), p.version);
            if (present_[keys::page(id, n)]) orphans_.insert(keys::page(id, n));
        }
        jobs_.erase(it);
        if (on_jobs) on_jobs();
        if (on_job) on_job(id);
        return;
    }
    auto decoded = decode_job(*item.value);
    if (!decoded) {
        log::error("event=bad_record job={}", id.v);
        return;
    }
    if (!jobs_.contains(id) && on_jobs) on_jobs();
    Job& j = jobs_[id];
    decoded->pages = std::move(j.pages);
    decoded->placed = j.placed;
    decoded->done = j.done;
    const bool was = j.cancelled;
    j = std::move(*decoded);
    j.version = item.version;
    if (j.cancelled)
        called_off_.insert(id);
    else
        j.cancelled = called_off_.contains(id);
    if (on_job) on_job(id);
    if (j.cancelled && !was && on_cancelled) on_cancelled(id);
}

void Model::call_off(const JobId& id) {
    if (!called_off_.insert(id).second) return;
    if (called_off_.size() > most_called_off)
        std::erase_if(called_off_, [&](const auto& c) { return !jobs_.contains(c); });
    auto j = jobs_.find(id);
    if (j == jobs_.end() || j->second.cancelled) return;
    j->second.cancelled = true;
    if (on_job) on_job(id);
    if (on_cancelled) on_cancelled(id);
}

void Model::apply_page(const std::string& rest, const Item& item) {
    auto slash = rest.find('/');
    if (slash == std::string::npos) return;
    JobId id(rest.substr(0, slash));
    std::uint32_t n = 0;
    for (std::size_t i = slash + 1; i < rest.size() && n < 1'000'000; ++i)
        n = n * 10 + static_cast<std::uint32_t>(rest[i] - '0');
    auto it = jobs_.find(id);
    if (!item.value) {
        orphans_.erase(item.key);
        return;  // pages go with their job
    }
    if (it == jobs_.end()) {
        // Perhaps only its job is still to come: a list's later answers are newer than its first ones, and
        // the watch brings both from there on. Kept as known, the page was skipped when it came again, and
        // its tasks were taken for pending.
        versions_.erase(item.key);
        present_.erase(item.key);
        orphans_.insert(item.key);
        return;
    }
    orphans_.erase(item.key);
    if (n >= pages_of(it->second.spec)) return;
    if (auto tasks = decode_page(*item.value, it->second.spec, n))
        set_page(it->second, n, std::move(*tasks), item.version);
    if (on_job) on_job(id);
}

void Model::note_image(const MachineId& m, const wire::JobSpec& s, Revision at) {
    if (s.image.empty()) return;
    if (images_.size() >= most_image_holders && !images_.contains(m)) {
        // Bounded: machines that were taken away leave theirs behind.
        const Revision old{at.v - std::min(at.v, at.v / 4)};
        std::erase_if(images_, [&](const auto& e) { return e.second.at < old; });
        if (images_.size() >= most_image_holders) images_.clear();
    }
    Images& of = images_[m];
    of.at = std::max(of.at, at);
    auto& r = of.recent;
    std::erase_if(r, [&](const Image& i) { return i.name == s.image; });
    r.push_front({s.image, s.image_gb});
    if (r.size() > most_images) r.pop_back();
}

bool Model::holds_image(const MachineId& m, const std::string& image, double cache_gb) const {
    bool found = false;
    each_image(m, cache_gb, [&](const std::string& name) { found = found || name == image; });
    return found;
}

void Model::set_page(Job& j, std::uint32_t n, std::vector<TaskState> tasks, Revision version) {
    Page& p = j.pages[n];
    j.placed -= p.placed;
    j.done -= p.done;
    for (std::size_t i = 0; i < std::max(p.tasks.size(), tasks.size()); ++i) {
        const bool was = i < p.tasks.size() && p.tasks[i].at == TaskState::At::placed;
        const bool is = i < tasks.size() && tasks[i].at == TaskState::At::placed;
        if (!was && !is) continue;
        if (was && is && p.tasks[i].machine == tasks[i].machine) continue;
        const TaskRef ref{j.spec.id, static_cast<TaskIndex>(i) + n * page_size_};
        if (was) {
            auto m = by_machine_.find(p.tasks[i].machine);
            if (m != by_machine_.end()) {
                m->second.erase(ref);
                if (m->second.empty()) by_machine_.erase(m);
            }
            if (on_placed) on_placed(p.tasks[i].machine);
        }
        if (is) {
            by_machine_[tasks[i].machine].insert(ref);
            note_image(tasks[i].machine, j.spec, version);
            if (on_placed) on_placed(tasks[i].machine);
        }
    }
    p.tasks = std::move(tasks);
    p.version = version;
    auto count = [&](TaskState::At at) {
        return static_cast<TaskIndex>(
            std::count_if(p.tasks.begin(), p.tasks.end(), [&](const auto& t) { return t.at == at; }));
    };
    const auto before = static_cast<std::int64_t>(p.placed);
    p.placed = count(TaskState::At::placed);
    if (const auto more = static_cast<std::int64_t>(p.placed) - before; more != 0) {
        TeamUse& r = placed_by_team_[j.spec.team];
        r.cpu += more * j.spec.need.cpu;
        r.gpu += more * j.spec.need.gpu;
    }
    p.done = count(TaskState::At::done);
    j.placed += p.placed;
    j.done += p.done;
}

}  // namespace zd
