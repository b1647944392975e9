/// This controller's copy of the state in the key-value store, on which its decisions are based.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/settings.h"
#include "base/types.h"
#include "store/cancelled_jobs.h"
#include "store/format_levels.h"
#include "store/job.h"
#include "store/keys.h"
#include "store/machine_images.h"
#include "store/membership_index.h"
#include "store/orphaned_pages.h"
#include "store/page_layout.h"
#include "store/record_versions.h"
#include "store/state_observer.h"
#include "store/store_requests.h"
#include "store/tasks_by_machine.h"
#include "store/team_quotas.h"
#include "wire/json_api.h"

namespace zincdyke {

/// The records of the key-value store and the indexes derived from them.
///
/// The cache may lag behind the store, so a decision takes effect only by a commit that has the record
/// versions in the cache as preconditions. Updates of a key may arrive in any order and repeatedly; the
/// newest version wins. Used on the event-loop thread only.
class StateCache {
  public:
    /// `settings` and `observer` must outlive the cache.
    StateCache(const Settings& settings, StateObserver& observer);

    // --- Updates ---

    /// Applies a record that was read or committed; ignores it if the cache has the same or a newer version,
    /// or if the record has been deleted since.
    void apply(const KeyUpdate& update);
    /// Applies a list of all watched records whose first page was read at `revision`; later pages may be
    /// newer. Removes the records that the list shows to be deleted. Changes after `revision` that the cache
    /// already contains are kept, because the list may have been read before them.
    void apply_list(const std::vector<KeyUpdate>& records, Revision revision);
    /// Marks a job as cancelled because a peer reported its cancellation, which this node may not have read
    /// from the store yet. The mark remains when older versions of the job's record are applied.
    void mark_cancelled(const JobId& id);
    /// Removes the images of a terminated machine.
    void forget_machine(const MachineId& machine) { images_.forget(machine); }
    /// The store's revision up to which all changes have been read and applied.
    Revision applied_revision;
    /// Returns the version of a record; 0 if the record does not exist.
    [[nodiscard]] Revision version(const std::string& key) const { return versions_.version(key); }

    // --- Jobs and tasks ---

    /// Returns a job; null if it has ended or is not in the cache.
    [[nodiscard]] const Job* job(const JobId& id) const;
    [[nodiscard]] const std::unordered_map<JobId, Job>& jobs() const { return jobs_; }
    /// Returns a task's state; pending with attempt 0 if the job or its page is not in the cache.
    [[nodiscard]] TaskState task(const TaskRef& task) const;
    [[nodiscard]] const std::set<TaskRef>& tasks_on(const MachineId& machine) const {
        return tasks_by_machine_.tasks_on(machine);
    }
    [[nodiscard]] const std::unordered_map<MachineId, std::set<TaskRef>>& tasks_by_machine() const {
        return tasks_by_machine_.all();
    }
    /// Returns whether any job that is not cancelled has pending tasks.
    [[nodiscard]] bool has_pending_tasks() const;
    /// Returns the zone in which a one-zone job's next task must start; `std::nullopt` if any zone is
    /// allowed. Any zone is allowed while no task of the job is placed and the job has few pages: the commit
    /// of the first start assigns the zone, with the versions of all pages as preconditions.
    [[nodiscard]] std::optional<std::string> required_zone(const Job& job) const;
    /// Maximum number of pages, including frozen ones, with which a one-zone job may change its zone. A job
    /// with more pages keeps the zone assigned when it was accepted, because a commit that changes the zone
    /// needs the versions of all pages as preconditions.
    static constexpr std::size_t max_pages_for_zone_change = 4;
    /// Returns the number of pages whose versions are preconditions of a commit that changes the job's zone.
    [[nodiscard]] std::size_t zone_change_page_count(const Job& job) const;

    // --- Pages ---

    /// Number of tasks per page of the standard size. Every version of the program derives the same number
    /// from the settings.
    [[nodiscard]] std::uint32_t standard_page_size() const { return standard_page_size_; }
    /// Number of tasks per page for which the record always fits the strictest configured limits.
    [[nodiscard]] std::uint32_t safe_page_size() const { return safe_page_size_; }
    [[nodiscard]] PageLayout layout(const Job& job) const { return {job, standard_page_size_}; }
    [[nodiscard]] std::uint32_t page_size(const Job& job) const { return layout(job).page_size(); }
    [[nodiscard]] std::uint32_t page_of(const Job& job, TaskIndex task) const {
        return layout(job).page_of(task);
    }
    [[nodiscard]] std::uint32_t page_count(const Job& job) const { return layout(job).page_count(); }
    [[nodiscard]] TaskIndex task_count_in_page(const Job& job, std::uint32_t page) const {
        return layout(job).task_count_in_page(page);
    }
    [[nodiscard]] static std::string page_key(const Job& job, std::uint32_t page) {
        return zincdyke::page_key(job, page);
    }
    /// Returns a page's tasks; all pending if the page was never written.
    [[nodiscard]] std::vector<TaskState> page_tasks(const Job& job, std::uint32_t page) const;
    /// Returns the preconditions of a commit that changes the page: the page's version and, if it is a small
    /// page that was never written, the versions of the frozen pages that contain its tasks.
    [[nodiscard]] std::vector<Condition> page_conditions(const Job& job, std::uint32_t page) const;
    /// Returns the keys of a job's pages that have a record, including frozen pages.
    [[nodiscard]] std::vector<std::string> written_page_keys(const Job& job) const;
    /// Encodes a job's record. If the record exceeds the strictest value limit, its list of allowed machine
    /// types is reduced to those that exist.
    [[nodiscard]] Json encode_job(const Job& job) const;
    /// Keys of page records without a job. They may be deleted once the whole state has been read.
    [[nodiscard]] const std::set<std::string>& orphaned_pages() const { return orphaned_pages_.keys(); }

    // --- Controllers ---

    [[nodiscard]] const std::vector<Shard>& shards() const { return membership_.shards(); }
    /// Returns the number of the shard that contains the machine, derived from a hash of the machine's name.
    [[nodiscard]] std::uint32_t shard_of(const MachineId& machine) const {
        return membership_.shard_of(machine);
    }
    [[nodiscard]] const std::map<NodeName, Revision>& live_nodes() const { return membership_.live_nodes(); }
    /// The controller that leads the autoscaler; empty if there is none.
    [[nodiscard]] const NodeName& autoscaler_leader() const { return membership_.autoscaler_leader(); }
    [[nodiscard]] Revision autoscaler_leader_version() const { return version(keys::autoscaler_leader); }
    /// The format level of the records that all controllers write, as last read. Never decreases.
    [[nodiscard]] std::uint32_t fleet_format_level() const { return format_levels_.fleet_level(); }
    /// The highest format level that each controller has registered as supported.
    [[nodiscard]] const std::map<NodeName, std::uint32_t>& supported_format_levels() const {
        return format_levels_.supported_levels();
    }

    // --- Teams ---

    /// Resources used by a team's placed tasks, according to the pages read so far. `TeamLocks` determines
    /// whether that includes all of the team's tasks.
    [[nodiscard]] QuotaUsage quota_usage(const TeamName& team) const { return team_quotas_.usage(team); }
    /// Returns whether `task_count` more tasks fit the team's limits; false for an unknown team.
    [[nodiscard]] bool fits_team_quota(const TeamName& team, const Resources& need,
                                       TaskIndex task_count) const {
        return team_quotas_.fits(team, need, task_count);
    }
    /// Returns the team's limits; null if the settings do not define the team.
    [[nodiscard]] const Team* team_limits(const TeamName& team) const { return team_quotas_.limits(team); }
    /// Returns the controller that holds a team lock; empty if the lock was never acquired.
    [[nodiscard]] const NodeName& team_lock_holder(const TeamName& team) const {
        return team_quotas_.lock_holder(team);
    }

    // --- Machines ---

    /// The cloud's machine types, as last listed by the autoscaler's leader.
    [[nodiscard]] const std::vector<wire::MachineType>& machine_types() const { return machine_types_; }
    /// Returns a machine type; null if the cloud does not have it.
    [[nodiscard]] const wire::MachineType* machine_type(const std::string& name) const;
    /// Returns whether `machine` is expected to have the image in its image cache of `cache_gb`, which holds
    /// the images of the tasks most recently placed on the machine.
    [[nodiscard]] bool holds_image(const MachineId& machine, const std::string& image,
                                   double cache_gb) const {
        return images_.holds(machine, image, cache_gb);
    }
    /// Calls `fn` with the name of each image that `machine` is expected to have in its image cache of
    /// `cache_gb`: the images of the tasks most recently placed on it, as far as they fit.
    template <class Fn>
    void for_each_image(const MachineId& machine, double cache_gb, Fn fn) const {
        images_.for_each(machine, cache_gb, fn);
    }

  private:
    [[nodiscard]] bool was_deleted_since(const KeyUpdate& update) const;
    void remove_unlisted(const std::vector<KeyUpdate>& records, Revision revision);
    void apply_membership(const keys::ParsedKey& key, const KeyUpdate& update);
    void apply_format_level(const keys::ParsedKey& key, const KeyUpdate& update);
    void apply_job(const JobId& id, const KeyUpdate& update);
    void remove_job(const JobId& id);
    void apply_page(const keys::ParsedKey& key, const KeyUpdate& update);
    void apply_standard_page(Job& job, std::uint32_t page, const KeyUpdate& update);
    void apply_small_page(Job& job, std::uint32_t page, const KeyUpdate& update);
    void set_page(Job& job, std::uint32_t number, std::vector<TaskState> tasks, Revision version);
    void update_placement(const Job& job, TaskIndex task, const TaskState& before, const TaskState& after,
                          Revision version);

    const Settings& settings_;
    StateObserver& observer_;
    const std::uint32_t standard_page_size_;
    const std::uint32_t safe_page_size_;
    RecordVersions versions_;
    std::unordered_map<JobId, Job> jobs_;
    CancelledJobs cancelled_jobs_;
    OrphanedPages orphaned_pages_;
    TasksByMachine tasks_by_machine_;
    MachineImages images_;
    TeamQuotas team_quotas_;
    MembershipIndex membership_;
    FormatLevels format_levels_;
    std::vector<wire::MachineType> machine_types_;
};

}  // namespace zincdyke
