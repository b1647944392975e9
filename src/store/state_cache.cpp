#include "store/state_cache.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "base/log.h"
#include "store/frozen_pages.h"
#include "store/records.h"

namespace zincdyke {

StateCache::StateCache(const Settings& settings, StateObserver& observer)
    : settings_(settings),
      observer_(observer),
      standard_page_size_(page_size_for(settings.store_limits)),
      safe_page_size_(page_size_for(settings.strictest_limits)),
      team_quotas_(settings),
      membership_(settings.controller_count) {}

const Job* StateCache::job(const JobId& id) const {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

TaskState StateCache::task(const TaskRef& task) const {
    const Job* const cached_job = job(task.job);
    if (cached_job == nullptr) return {};
    const PageLayout job_layout = layout(*cached_job);
    const auto page = cached_job->pages.find(job_layout.page_of(task.task));
    if (page == cached_job->pages.end()) return {};
    const std::size_t position = job_layout.position_in_page(task.task);
    return position < page->second.tasks.size() ? page->second.tasks[position] : TaskState{};
}

bool StateCache::has_pending_tasks() const {
    return std::any_of(jobs_.begin(), jobs_.end(), [](const auto& entry) {
        return !entry.second.cancelled && entry.second.pending_tasks() > 0;
    });
}

std::optional<std::string> StateCache::required_zone(const Job& job) const {
    const bool may_change_zone = job.spec.one_zone && !job.spec.zone && job.placed_tasks == 0 &&
                                 zone_change_page_count(job) <= max_pages_for_zone_change;
    return may_change_zone ? std::nullopt : job.assigned_zone;
}

std::size_t StateCache::zone_change_page_count(const Job& job) const {
    const PageLayout job_layout = layout(job);
    return job_layout.page_count() + (job_layout.has_small_pages() ? job_layout.standard_page_count() : 0);
}

const wire::MachineType* StateCache::machine_type(const std::string& name) const {
    const auto found = std::find_if(machine_types_.begin(), machine_types_.end(),
                                    [&](const auto& type) { return type.name == name; });
    return found == machine_types_.end() ? nullptr : &*found;
}

std::vector<Condition> StateCache::page_conditions(const Job& job, std::uint32_t page) const {
    const std::string key = page_key(job, page);
    std::vector<Condition> conditions{{key, version(key)}};
    const PageLayout job_layout = layout(job);
    if (!job_layout.has_small_pages() || versions_.exists(key)) return conditions;
    const PageRange frozen_pages = job_layout.frozen_pages_of(page);
    for (std::uint32_t number = frozen_pages.first; number < frozen_pages.end; ++number) {
        std::string frozen_key = keys::page(job.spec.id, number);
        const Revision frozen_version = version(frozen_key);
        conditions.push_back({std::move(frozen_key), frozen_version});
    }
    return conditions;
}

std::vector<TaskState> StateCache::page_tasks(const Job& job, std::uint32_t page) const {
    const auto found = job.pages.find(page);
    return found != job.pages.end() ? found->second.tasks
                                    : std::vector<TaskState>(task_count_in_page(job, page));
}

std::vector<std::string> StateCache::written_page_keys(const Job& job) const {
    std::vector<std::string> written;
    const auto add_if_written = [&](std::string key) {
        if (versions_.exists(key)) written.push_back(std::move(key));
    };
    for (const auto& [number, page] : job.pages) add_if_written(page_key(job, number));
    for (const auto& [number, page] : job.frozen_pages) add_if_written(keys::page(job.spec.id, number));
    return written;
}

Json StateCache::encode_job(const Job& job) const {
    return records::encode_job(job, machine_types_, settings_.strictest_limits.max_value_bytes());
}

// Whether an update of an unknown key is as old as the changes that the cache contains completely. The record
// has been deleted since, or it would be known.
bool StateCache::was_deleted_since(const KeyUpdate& update) const {
    return update.version <= applied_revision && !versions_.contains(update.key);
}

void StateCache::apply(const KeyUpdate& update) {
    if (was_deleted_since(update) || !versions_.update_if_newer(update)) return;
    const keys::ParsedKey key = keys::parse(std::string_view(update.key));
    switch (key.kind) {
        case keys::RecordKind::job:
            apply_job(key.job(), update);
            break;
        case keys::RecordKind::standard_page:
        case keys::RecordKind::small_page:
            apply_page(key, update);
            break;
        case keys::RecordKind::supported_format_level:
        case keys::RecordKind::fleet_format:
            apply_format_level(key, update);
            break;
        case keys::RecordKind::node:
        case keys::RecordKind::shard:
        case keys::RecordKind::autoscaler:
            apply_membership(key, update);
            break;
        case keys::RecordKind::team_lock:
            if (update.value)
                team_quotas_.set_lock_holder(key.team(), records::decode_team_lock_holder(*update.value));
            break;
        case keys::RecordKind::machine_type_list:
            if (!update.value) break;
            if (auto types = wire::machine_types_from_json(*update.value)) machine_types_ = std::move(*types);
            break;
        case keys::RecordKind::final_state:
        case keys::RecordKind::other:
            break;
    }
    if (!update.value) versions_.drop_deleted(applied_revision);
}

void StateCache::apply_list(const std::vector<KeyUpdate>& records, Revision revision) {
    for (const auto& record : records) apply(record);
    remove_unlisted(records, revision);
    applied_revision = std::max(applied_revision, revision);
}

// Removes the records that are missing from a list, unless they were written at or after the list's
// `revision`. Job records are removed before pages: removing a job marks its pages as orphaned, and removing
// the pages afterwards clears these marks.
void StateCache::remove_unlisted(const std::vector<KeyUpdate>& records, Revision revision) {
    std::unordered_set<std::string_view> listed_keys;
    for (const auto& record : records) listed_keys.insert(record.key);
    const auto is_unlisted = [&](const std::string& key) { return !listed_keys.contains(key); };
    std::vector<std::string> removed_keys = versions_.keys_written_before(revision);
    std::erase_if(removed_keys, [&](const std::string& key) { return !is_unlisted(key); });
    std::stable_partition(removed_keys.begin(), removed_keys.end(), [](const std::string& key) {
        return keys::parse(key).kind == keys::RecordKind::job;
    });
    for (const auto& key : removed_keys) apply({key, std::nullopt, revision});
    orphaned_pages_.remove_if(is_unlisted);
}

void StateCache::apply_membership(const keys::ParsedKey& key, const KeyUpdate& update) {
    if (key.kind == keys::RecordKind::node) {
        if (update.value)
            membership_.set_live_node(key.node(), update.version);
        else
            membership_.remove_live_node(key.node());
    } else if (key.kind == keys::RecordKind::shard) {
        if (update.value && key.number)
            membership_.set_shard(*key.number, {records::decode_shard_leader(*update.value), update.version});
    } else {
        membership_.set_autoscaler_leader(update.value ? records::decode_autoscaler_leader(*update.value)
                                                       : NodeName());
    }
    observer_.on_membership_changed();
}

void StateCache::apply_format_level(const keys::ParsedKey& key, const KeyUpdate& update) {
    if (!update.value) return;
    const std::optional<std::uint32_t> level = records::decode_format_level(*update.value);
    if (!level) return;
    if (key.kind == keys::RecordKind::fleet_format)
        format_levels_.raise_fleet_level(*level);
    else
        format_levels_.set_supported_level(key.node(), *level);
    observer_.on_membership_changed();
}

void StateCache::apply_job(const JobId& id, const KeyUpdate& update) {
    if (!update.value) return remove_job(id);
    auto decoded = records::decode_job(*update.value);
    if (!decoded) {
        log::error("event=invalid_record job={}", id.value());
        return;
    }
    if (!jobs_.contains(id)) observer_.on_job_set_changed();
    Job& job = jobs_[id];
    const bool was_cancelled = job.cancelled;
    const bool is_resized = job.version != Revision{} && job.small_page_size != decoded->small_page_size;
    decoded->pages = std::move(job.pages);
    decoded->frozen_pages = std::move(job.frozen_pages);
    decoded->placed_tasks = job.placed_tasks;
    decoded->done_tasks = job.done_tasks;
    job = std::move(*decoded);
    job.version = update.version;
    if (is_resized) {
        freeze_pages(job, layout(job));
        observer_.on_pages_resized(id);
    }
    if (job.cancelled)
        cancelled_jobs_.add(id);
    else
        job.cancelled = cancelled_jobs_.contains(id);
    observer_.on_job_changed(id);
    if (job.cancelled && !was_cancelled) observer_.on_job_cancelled(id);
}

void StateCache::remove_job(const JobId& id) {
    cancelled_jobs_.remove(id);
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) return;
    Job& job = found->second;
    for (auto& [number, page] : job.pages)
        set_page(job, number, std::vector<TaskState>(page.tasks.size()), page.version);
    for (const auto& key : written_page_keys(job)) orphaned_pages_.add(key);
    jobs_.erase(found);
    observer_.on_job_set_changed();
    observer_.on_job_changed(id);
}

void StateCache::mark_cancelled(const JobId& id) {
    if (!cancelled_jobs_.add(id)) return;
    cancelled_jobs_.prune_missing([&](const JobId& cancelled) { return jobs_.contains(cancelled); });
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.cancelled) return;
    found->second.cancelled = true;
    observer_.on_job_changed(id);
    observer_.on_job_cancelled(id);
}

void StateCache::apply_page(const keys::ParsedKey& key, const KeyUpdate& update) {
    if (key.name.empty()) return;
    if (!update.value) {
        orphaned_pages_.remove(update.key);
        return;  // the page's tasks are removed together with their job
    }
    const JobId id = key.job();
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        // A page may be read before its job, because later parts of a list are newer than earlier ones.
        // Without `forget`, the page would be ignored as already applied when the watch returns it again
        // after its job, and its tasks would appear to be pending.
        versions_.forget(update.key);
        orphaned_pages_.add(update.key);
        return;
    }
    orphaned_pages_.remove(update.key);
    if (key.number && key.kind == keys::RecordKind::standard_page)
        apply_standard_page(found->second, *key.number, update);
    else if (key.number)
        apply_small_page(found->second, *key.number, update);
    observer_.on_job_changed(id);
}

void StateCache::apply_standard_page(Job& job, std::uint32_t page, const KeyUpdate& update) {
    const PageLayout job_layout = layout(job);
    if (page >= job_layout.standard_page_count()) return;
    auto tasks = records::decode_page(*update.value, job, job_layout.first_task_in_standard_page(page),
                                      job_layout.task_count_in_standard_page(page));
    if (!tasks) return;
    if (!job_layout.has_small_pages()) return set_page(job, page, std::move(*tasks), update.version);
    job.frozen_pages[page] = Page{update.version, std::move(*tasks)};
    // A small page that has its own record overrides the frozen pages and keeps its tasks.
    const PageRange small_pages = job_layout.small_pages_of(page);
    for (std::uint32_t number = small_pages.first; number < small_pages.end; ++number)
        if (!versions_.exists(page_key(job, number)))
            set_page(job, number, tasks_in_frozen_pages(job, job_layout, number), {});
}

void StateCache::apply_small_page(Job& job, std::uint32_t page, const KeyUpdate& update) {
    const PageLayout job_layout = layout(job);
    // The job's record with the page size has not been read yet. The watch returns this page again after that
    // record; `forget` ensures that the page is applied when it is returned again.
    if (!job_layout.has_small_pages()) return versions_.forget(update.key);
    if (page >= job_layout.page_count()) return;
    auto tasks = records::decode_page(*update.value, job, job_layout.first_task_in_page(page),
                                      job_layout.task_count_in_page(page));
    if (tasks) set_page(job, page, std::move(*tasks), update.version);
}

// Replaces a page's tasks and updates the counts of the job and the indexes by machine and by team.
void StateCache::set_page(Job& job, std::uint32_t number, std::vector<TaskState> tasks, Revision version) {
    static const TaskState unplaced;
    Page& page = job.pages[number];
    const TaskIndex first = layout(job).first_task_in_page(number);
    for (std::size_t i = 0; i < std::max(page.tasks.size(), tasks.size()); ++i)
        update_placement(job, first + static_cast<TaskIndex>(i),
                         i < page.tasks.size() ? page.tasks[i] : unplaced,
                         i < tasks.size() ? tasks[i] : unplaced, version);
    const TaskIndex placed_before = page.placed_tasks;
    const TaskIndex done_before = page.done_tasks;
    page.tasks = std::move(tasks);
    page.version = version;
    page.update_counts();
    job.placed_tasks += page.placed_tasks - placed_before;
    job.done_tasks += page.done_tasks - done_before;
    team_quotas_.add_placed(job.spec.team, job.spec.need,
                            std::int64_t{page.placed_tasks} - std::int64_t{placed_before});
}

// Updates the index by machine after a task's state has changed. If the task moved, the observer is notified
// of the previous machine before the task is added to the new one.
void StateCache::update_placement(const Job& job, TaskIndex task, const TaskState& before,
                                  const TaskState& after, Revision version) {
    const bool was_placed = before.status == TaskState::Status::placed;
    const bool is_placed = after.status == TaskState::Status::placed;
    if (!was_placed && !is_placed) return;
    if (was_placed && is_placed && before.machine == after.machine) return;
    const TaskRef ref{job.spec.id, task};
    if (was_placed) {
        tasks_by_machine_.remove(before.machine, ref);
        observer_.on_placement_changed(before.machine);
    }
    if (is_placed) {
        tasks_by_machine_.add(after.machine, ref);
        images_.add(after.machine, job.spec.image, job.spec.image_gb, version);
        observer_.on_placement_changed(after.machine);
    }
}

}  // namespace zincdyke
