#include "store/state_cache.h"

#include <xxhash.h>

#include <algorithm>

#include "base/log.h"
#include "store/records.h"

namespace zincdyke {

namespace {
// The longest entry of a placed task: index, attempt, machine and zone with their punctuation.
constexpr std::size_t entry_bytes = 40, page_overhead = 400;
constexpr std::size_t most_called_off = 20'000;
constexpr std::size_t most_image_holders = 8192, most_images = 48;

// Tasks whose entries surely fit a value of that size.
std::uint32_t page_size_for(const StateLimits& limits) {
    return static_cast<std::uint32_t>(
        std::clamp<std::size_t>((limits.value_bytes() - page_overhead) / entry_bytes, 8, 400));
}
}  // namespace

StateCache::StateCache(const Settings& settings, StateObserver& observer)
    : settings_(settings),
      observer_(observer),
      standard_page_size_(page_size_for(settings.state_limits)),
      safe_page_size_(page_size_for(settings.strictest_limits)),
      shards_(settings.size) {}

void StateCache::clear() {
    versions_.clear();
    present_.clear();
    jobs_.clear();
    by_machine_.clear();
    shards_.assign(settings_.size, Shard{});
    live_nodes_.clear();
    team_lock_holders_.clear();
    placed_by_team_.clear();
    ++generation_;
    autoscaler_leader_ = {};
    machine_types_.clear();
    orphaned_pages_.clear();
    known_formats_.clear();
    applied_revision = {};
    observer_.on_jobs_changed();
}

Revision StateCache::version(const std::string& key) const {
    auto it = present_.find(key);
    return it != present_.end() && it->second ? versions_.at(key) : Revision{};
}

const Job* StateCache::job(const JobId& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

TaskState StateCache::task(const TaskRef& t) const {
    const Job* j = job(t.job);
    if (j == nullptr) return {};
    auto p = j->pages.find(page_of(*j, t.task));
    std::size_t at = t.task % page_size(*j);
    return p == j->pages.end() || at >= p->second.tasks.size() ? TaskState{} : p->second.tasks[at];
}

const std::set<TaskRef>& StateCache::tasks_on(const MachineId& m) const {
    static const std::set<TaskRef> none;
    auto it = by_machine_.find(m);
    return it == by_machine_.end() ? none : it->second;
}

QuotaUsage StateCache::quota_usage(const TeamName& t) const {
    auto it = placed_by_team_.find(t);
    return it != placed_by_team_.end() ? it->second : QuotaUsage{};
}

const NodeName& StateCache::team_lock_holder(const TeamName& t) const {
    static const NodeName none;
    auto it = team_lock_holders_.find(t);
    return it != team_lock_holders_.end() ? it->second : none;
}

const Team* StateCache::team_limits(const TeamName& t) const {
    auto it = settings_.teams.find(t);
    return it == settings_.teams.end() ? nullptr : &it->second;
}

bool StateCache::fits_team_quota(const TeamName& t, const Resources& need, TaskIndex tasks) const {
    const Team* s = team_limits(t);
    if (s == nullptr) return false;
    QuotaUsage u = quota_usage(t);
    auto n = static_cast<std::int64_t>(tasks);
    return (s->cpu_max == 0 || u.cpu + need.cpu * n <= s->cpu_max) &&
           (s->gpu_max == 0 || u.gpu + need.gpu * n <= s->gpu_max);
}

const wire::MachineType* StateCache::machine_type(const std::string& name) const {
    auto it = std::find_if(machine_types_.begin(), machine_types_.end(),
                           [&](const auto& t) { return t.name == name; });
    return it == machine_types_.end() ? nullptr : &*it;
}

bool StateCache::has_pending_tasks() const {
    return std::any_of(jobs_.begin(), jobs_.end(),
                       [](const auto& j) { return !j.second.cancelled && j.second.pending() > 0; });
}

std::uint32_t StateCache::shard_of(const MachineId& m) const {
    return static_cast<std::uint32_t>(XXH64(m.value().data(), m.value().size(), 0) % shards_.size());
}

TaskIndex StateCache::tasks_in(const Job& j, std::uint32_t page) const {
    return std::min(page_size(j), j.spec.tasks - page * page_size(j));
}

std::string StateCache::page_key(const Job& j, std::uint32_t page) {
    return j.small_page_size != 0 ? keys::small_page(j.spec.id, page) : keys::page(j.spec.id, page);
}

bool StateCache::is_written(const std::string& key) const { return version(key) != Revision{}; }

std::vector<Condition> StateCache::page_conditions(const Job& j, std::uint32_t page) const {
    const std::string key = page_key(j, page);
    std::vector<Condition> conditions{{key, version(key)}};
    if (j.small_page_size == 0 || is_written(key)) return conditions;
    const std::uint32_t first = page * j.small_page_size;
    const std::uint32_t last = first + tasks_in(j, page) - 1;
    for (std::uint32_t n = first / standard_page_size_; n <= last / standard_page_size_; ++n)
        conditions.push_back({keys::page(j.spec.id, n), version(keys::page(j.spec.id, n))});
    return conditions;
}

std::vector<TaskState> StateCache::page_tasks(const Job& j, std::uint32_t page) const {
    auto it = j.pages.find(page);
    return it != j.pages.end() ? it->second.tasks : std::vector<TaskState>(tasks_in(j, page));
}

Json StateCache::encode_job(const Job& j) const {
    return records::encode_job(j, machine_types_, settings_.strictest_limits.value_bytes());
}

void StateCache::apply(const KeyUpdate& item) {
    auto known = versions_.find(item.key);
    // The watch trails behind this node's own commits, and lists may be older than either.
    if (known != versions_.end() && item.version <= known->second) return;
    versions_[item.key] = item.version;
    present_[item.key] = item.value.has_value();
    const std::string& k = item.key;
    if (k.rfind("z/j/", 0) == 0) {
        apply_job(JobId(k.substr(4)), item);
    } else if (k.rfind("z/t/", 0) == 0 || k.rfind("z/r/", 0) == 0) {
        apply_page(item);
    } else if (k.rfind("z/v/", 0) == 0 || k == keys::format_level) {
        apply_format(item);
    } else if (k.rfind("z/n/", 0) == 0) {
        NodeName n(k.substr(4));
        if (item.value)
            live_nodes_[n] = item.version;
        else
            live_nodes_.erase(n);
        observer_.on_membership_changed();
    } else if (k.rfind("z/p/", 0) == 0) {
        std::size_t part = 0;
        for (std::size_t i = 4; i < k.size() && k[i] >= '0' && k[i] <= '9' && part < 100000; ++i)
            part = part * 10 + static_cast<std::size_t>(k[i] - '0');
        if (part < shards_.size() && item.value)
            shards_[part] = {NodeName(item.value->value("owner", "")), item.version};
        observer_.on_membership_changed();
    } else if (k.rfind("z/q/", 0) == 0) {
        if (item.value) team_lock_holders_[TeamName(k.substr(4))] = NodeName(item.value->value("node", ""));
    } else if (k == keys::autoscaler_leader) {
        autoscaler_leader_ = item.value ? NodeName(item.value->value("node", "")) : NodeName();
        observer_.on_membership_changed();
    } else if (k == keys::machine_types && item.value) {
        if (auto t = wire::types_from_json(*item.value)) machine_types_ = std::move(*t);
    }
    if (!item.value && versions_.size() > 4096) {
        // Versions of deleted keys guard against older news only; once the watch is past them they can go.
        std::erase_if(versions_, [&](const auto& e) {
            bool drop = e.second < applied_revision && !present_.at(e.first);
            if (drop) present_.erase(e.first);
            return drop;
        });
    }
}

void StateCache::apply_job(const JobId& id, const KeyUpdate& item) {
    if (!item.value) {
        known_cancelled_.erase(id);
        auto it = jobs_.find(id);
        if (it == jobs_.end()) return;
        for (auto& [n, p] : it->second.pages) {
            set_page(it->second, n, std::vector<TaskState>(p.tasks.size()), p.version);
        }
        for (const auto& key : written_pages(it->second)) orphaned_pages_.insert(key);
        jobs_.erase(it);
        observer_.on_jobs_changed();
        observer_.on_job_changed(id);
        return;
    }
    auto decoded = records::decode_job(*item.value);
    if (!decoded) {
        log::error("event=bad_record job={}", id.value());
        return;
    }
    if (!jobs_.contains(id)) observer_.on_jobs_changed();
    Job& j = jobs_[id];
    decoded->pages = std::move(j.pages);
    decoded->frozen_pages = std::move(j.frozen_pages);
    decoded->placed = j.placed;
    decoded->done = j.done;
    const bool was = j.cancelled;
    const bool resized = j.version != Revision{} && j.small_page_size != decoded->small_page_size;
    j = std::move(*decoded);
    j.version = item.version;
    if (resized) {
        freeze_pages(j);
        observer_.on_pages_resized(id);
    }
    if (j.cancelled)
        known_cancelled_.insert(id);
    else
        j.cancelled = known_cancelled_.contains(id);
    observer_.on_job_changed(id);
    if (j.cancelled && !was) observer_.on_job_cancelled(id);
}

void StateCache::mark_cancelled(const JobId& id) {
    if (!known_cancelled_.insert(id).second) return;
    if (known_cancelled_.size() > most_called_off)
        std::erase_if(known_cancelled_, [&](const auto& c) { return !jobs_.contains(c); });
    auto j = jobs_.find(id);
    if (j == jobs_.end() || j->second.cancelled) return;
    j->second.cancelled = true;
    observer_.on_job_changed(id);
    observer_.on_job_cancelled(id);
}

std::vector<std::string> StateCache::written_pages(const Job& j) const {
    std::vector<std::string> written;
    const auto add = [&](const std::string& key) {
        if (is_written(key)) written.push_back(key);
    };
    for (const auto& [n, page] : j.pages) add(page_key(j, n));
    for (const auto& [n, page] : j.frozen_pages) add(keys::page(j.spec.id, n));
    return written;
}

// Lets a key be taken over again when it comes again, though no newer.
void StateCache::forget_version(const std::string& key) {
    versions_.erase(key);
    present_.erase(key);
}

void StateCache::apply_page(const KeyUpdate& item) {
    const JobId id = keys::job_of_page(item.key);
    if (id.empty()) return;
    std::uint32_t n = 0;
    for (std::size_t i = item.key.rfind('/') + 1; i < item.key.size() && n < 1'000'000; ++i)
        n = n * 10 + static_cast<std::uint32_t>(item.key[i] - '0');
    auto it = jobs_.find(id);
    if (!item.value) {
        orphaned_pages_.erase(item.key);
        return;  // pages go with their job
    }
    if (it == jobs_.end()) {
        // Perhaps only its job is still to come: a list's later answers are newer than its first ones, and
        // the watch brings both from there on. Kept as known, the page was skipped when it came again, and
        // its tasks were taken for pending.
        forget_version(item.key);
        orphaned_pages_.insert(item.key);
        return;
    }
    orphaned_pages_.erase(item.key);
    if (item.key.rfind("z/t/", 0) == 0)
        apply_standard_page(it->second, n, item);
    else
        apply_small_page(it->second, n, item);
    observer_.on_job_changed(id);
}

void StateCache::apply_standard_page(Job& j, std::uint32_t n, const KeyUpdate& item) {
    const std::uint32_t first = n * standard_page_size_;
    if (first >= j.spec.tasks) return;
    auto tasks =
        records::decode_page(*item.value, j, first, std::min(standard_page_size_, j.spec.tasks - first));
    if (!tasks) return;
    if (j.small_page_size == 0) return set_page(j, n, std::move(*tasks), item.version);
    const std::uint32_t end = first + static_cast<std::uint32_t>(tasks->size());
    j.frozen_pages[n] = Page{item.version, std::move(*tasks)};
    // A smaller page that was written takes precedence.
    for (std::uint32_t small = page_of(j, first); small * j.small_page_size < end; ++small)
        if (!is_written(page_key(j, small))) set_page(j, small, tasks_in_frozen(j, small), {});
}

void StateCache::apply_small_page(Job& j, std::uint32_t n, const KeyUpdate& item) {
    // The record that tells the pages' size is still to come, and the watch brings this one again after it.
    if (j.small_page_size == 0) return forget_version(item.key);
    if (n >= pages_of(j)) return;
    if (auto tasks = records::decode_page(*item.value, j, std::size_t{n} * j.small_page_size, tasks_in(j, n)))
        set_page(j, n, std::move(*tasks), item.version);
}

// What the frozen pages say of the tasks of a smaller page.
std::vector<TaskState> StateCache::tasks_in_frozen(const Job& j, std::uint32_t page) const {
    std::vector<TaskState> tasks(tasks_in(j, page));
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const std::size_t index = i + std::size_t{page} * j.small_page_size;
        const auto frozen = j.frozen_pages.find(static_cast<std::uint32_t>(index / standard_page_size_));
        if (frozen != j.frozen_pages.end()) tasks[i] = frozen->second.tasks.at(index % standard_page_size_);
    }
    return tasks;
}

// No task changes by it: only the pages in which they stand do.
void StateCache::freeze_pages(Job& j) const {
    j.frozen_pages = std::move(j.pages);
    j.pages.clear();
    if (j.frozen_pages.empty()) return;
    for (std::uint32_t n = 0; n < pages_of(j); ++n) {
        Page page;
        page.tasks = tasks_in_frozen(j, n);
        page.count();
        j.pages[n] = std::move(page);
    }
}

void StateCache::apply_format(const KeyUpdate& item) {
    if (!item.value || !item.value->is_object()) return;
    const auto format = item.value->find("format");
    if (format == item.value->end() || !format->is_number_unsigned()) return;
    const auto level = format->get<std::uint32_t>();
    if (item.key == keys::format_level)
        format_level_ = std::max(format_level_, level);
    else
        known_formats_[NodeName(item.key.substr(4))] = level;
    observer_.on_membership_changed();
}

void StateCache::note_image(const MachineId& m, const wire::JobSpec& s, Revision at) {
    if (s.image.empty()) return;
    if (images_.size() >= most_image_holders && !images_.contains(m)) {
        // Bounded: machines that were taken away leave theirs behind.
        const Revision old{at.value() - std::min(at.value(), at.value() / 4)};
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

bool StateCache::holds_image(const MachineId& m, const std::string& image, double cache_gb) const {
    bool found = false;
    each_image(m, cache_gb, [&](const std::string& name) { found = found || name == image; });
    return found;
}

void StateCache::set_page(Job& j, std::uint32_t n, std::vector<TaskState> tasks, Revision version) {
    Page& p = j.pages[n];
    j.placed -= p.placed;
    j.done -= p.done;
    for (std::size_t i = 0; i < std::max(p.tasks.size(), tasks.size()); ++i) {
        const bool was = i < p.tasks.size() && p.tasks[i].status == TaskState::Status::placed;
        const bool is = i < tasks.size() && tasks[i].status == TaskState::Status::placed;
        if (!was && !is) continue;
        if (was && is && p.tasks[i].machine == tasks[i].machine) continue;
        const TaskRef ref{j.spec.id, static_cast<TaskIndex>(i) + n * page_size(j)};
        if (was) {
            auto m = by_machine_.find(p.tasks[i].machine);
            if (m != by_machine_.end()) {
                m->second.erase(ref);
                if (m->second.empty()) by_machine_.erase(m);
            }
            observer_.on_placement_changed(p.tasks[i].machine);
        }
        if (is) {
            by_machine_[tasks[i].machine].insert(ref);
            note_image(tasks[i].machine, j.spec, version);
            observer_.on_placement_changed(tasks[i].machine);
        }
    }
    p.tasks = std::move(tasks);
    p.version = version;
    const auto before = static_cast<std::int64_t>(p.placed);
    p.count();
    if (const auto more = static_cast<std::int64_t>(p.placed) - before; more != 0) {
        QuotaUsage& r = placed_by_team_[j.spec.team];
        r.cpu += more * j.spec.need.cpu;
        r.gpu += more * j.spec.need.gpu;
    }
    j.placed += p.placed;
    j.done += p.done;
}

}  // namespace zincdyke
