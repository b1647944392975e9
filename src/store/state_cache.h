/// What the key-value store holds, as last read: the shared view that every decision starts from.
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
/// It may trail behind the store: decisions become facts only by a commit whose preconditions name the
/// versions seen here. Updates of one key may come in any order and more than once; what comes out is the
/// same. What a record says goes to one small class each (`MembershipIndex`, `TeamQuotas`, ...); jobs and
/// their pages are kept here. Lives on the event loop, as do its observer and its callers.
class StateCache {
  public:
    /// Both must outlive the cache.
    StateCache(const Settings& settings, StateObserver& observer);

    // --- Updates ---

    /// Takes over what was read under a key; ignored if it is older than what is known.
    void apply(const KeyUpdate& item);
    /// Forgets the records, to read them anew. Known cancellations, images and the fleet's format level stay.
    void clear();
    /// A job is known to be cancelled, though this node has not read it: a controller that told its user says
    /// so. It stays so, whatever older versions of the record come.
    void mark_cancelled(const JobId& id);
    /// The machine was terminated: its images are gone.
    void forget_machine(const MachineId& machine) { images_.forget(machine); }
    /// Everything up to this revision has been read.
    Revision applied_revision;
    /// How often the cache was cleared.
    [[nodiscard]] std::uint64_t generation() const { return generation_; }
    /// The version of a record; 0 if there is none.
    [[nodiscard]] Revision version(const std::string& key) const { return versions_.version(key); }

    // --- Jobs and tasks ---

    /// Null for a job that is not known, or has ended.
    [[nodiscard]] const Job* job(const JobId& id) const;
    [[nodiscard]] const std::unordered_map<JobId, Job>& jobs() const { return jobs_; }
    /// Pending, attempt 0, for a task that is not known.
    [[nodiscard]] TaskState task(const TaskRef& task) const;
    [[nodiscard]] const std::set<TaskRef>& tasks_on(const MachineId& machine) const {
        return tasks_by_machine_.tasks_on(machine);
    }
    [[nodiscard]] const std::unordered_map<MachineId, std::set<TaskRef>>& tasks_by_machine() const {
        return tasks_by_machine_.all();
    }
    /// Whether any job that is not cancelled has pending tasks.
    [[nodiscard]] bool has_pending_tasks() const;
    /// The zone that a one-zone job's next start must be in. While none of its tasks is on a machine, by
    /// proof, any will do: the commit of its first start names the zone, on condition that no page shows a
    /// task placed.
    [[nodiscard]] std::optional<std::string> required_zone(const Job& job) const;
    /// A job with more pages than this (frozen ones included) keeps to the zone assigned at its acceptance:
    /// all pages are named in the preconditions of the commit that chooses another.
    static constexpr std::size_t max_pages_for_zone_change = 4;
    /// How many pages the preconditions of a commit that chooses a job's zone name.
    [[nodiscard]] std::size_t zone_change_page_count(const Job& job) const;

    // --- Pages ---

    /// Tasks in a page of the standard size. Every version of the program derives the same from the settings.
    [[nodiscard]] std::uint32_t standard_page_size() const { return standard_page_size_; }
    /// Tasks in a page whose record surely fits the strictest limits.
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
    /// A page's tasks; all pending if it was never written.
    [[nodiscard]] std::vector<TaskState> page_tasks(const Job& job, std::uint32_t page) const;
    /// What a commit that changes the page has to name: its version, and while it was never written those of
    /// the frozen pages that still hold its tasks.
    [[nodiscard]] std::vector<Condition> page_conditions(const Job& job, std::uint32_t page) const;
    /// Keys of all of a job's pages that were written, the frozen ones too.
    [[nodiscard]] std::vector<std::string> written_page_keys(const Job& job) const;
    /// A job's record. One that would be too large for the strictest limits names only the machine types that
    /// exist.
    [[nodiscard]] Json encode_job(const Job& job) const;
    /// Pages whose job is over; their keys may be deleted.
    [[nodiscard]] const std::set<std::string>& orphaned_pages() const { return orphaned_pages_.keys(); }

    // --- Controllers ---

    [[nodiscard]] const std::vector<Shard>& shards() const { return membership_.shards(); }
    /// The shard of a machine, by the hash of its name.
    [[nodiscard]] std::uint32_t shard_of(const MachineId& machine) const {
        return membership_.shard_of(machine);
    }
    [[nodiscard]] const std::map<NodeName, Revision>& live_nodes() const { return membership_.live_nodes(); }
    /// Empty: there is none.
    [[nodiscard]] const NodeName& autoscaler_leader() const { return membership_.autoscaler_leader(); }
    [[nodiscard]] Revision autoscaler_leader_version() const { return version(keys::autoscaler_leader); }
    /// The format level that the fleet writes, as far as read; it never falls.
    [[nodiscard]] std::uint32_t fleet_format_level() const { return format_levels_.fleet_level(); }
    /// The format level that each controller has registered to understand.
    [[nodiscard]] const std::map<NodeName, std::uint32_t>& supported_format_levels() const {
        return format_levels_.supported_levels();
    }

    // --- Teams ---

    /// What a team's placed tasks take, by the pages read so far. Whether that is all: `TeamLocks`.
    [[nodiscard]] QuotaUsage quota_usage(const TeamName& team) const { return team_quotas_.usage(team); }
    /// Whether so many more tasks keep to the team's limits; false for an unknown team.
    [[nodiscard]] bool fits_team_quota(const TeamName& team, const Resources& need, TaskIndex tasks) const {
        return team_quotas_.fits(team, need, tasks);
    }
    /// Null for a team that the settings don't name.
    [[nodiscard]] const Team* team_limits(const TeamName& team) const { return team_quotas_.limits(team); }
    /// The controller that holds the lock on a limited team's starts; empty: none yet.
    [[nodiscard]] const NodeName& team_lock_holder(const TeamName& team) const {
        return team_quotas_.lock_holder(team);
    }

    // --- Machines ---

    /// The cloud's machine types, as last listed.
    [[nodiscard]] const std::vector<wire::MachineType>& machine_types() const { return machine_types_; }
    /// Null for a type that is not known.
    [[nodiscard]] const wire::MachineType* machine_type(const std::string& name) const;
    /// Whether a machine with a cache of `cache_gb` holds the image, by the tasks placed on it.
    [[nodiscard]] bool holds_image(const MachineId& machine, const std::string& image,
                                   double cache_gb) const {
        return images_.holds(machine, image, cache_gb);
    }
    /// Calls `fn` with the name of each image that a machine's cache of `cache_gb` holds.
    template <class Fn>
    void for_each_image(const MachineId& machine, double cache_gb, Fn fn) const {
        images_.for_each(machine, cache_gb, fn);
    }

  private:
    void apply_membership(const keys::ParsedKey& key, const KeyUpdate& item);
    void apply_format(const keys::ParsedKey& key, const KeyUpdate& item);
    void apply_job(const JobId& id, const KeyUpdate& item);
    void remove_job(const JobId& id);
    void apply_page(const keys::ParsedKey& key, const KeyUpdate& item);
    void apply_standard_page(Job& job, std::uint32_t page, const KeyUpdate& item);
    void apply_small_page(Job& job, std::uint32_t page, const KeyUpdate& item);
    void set_page(Job& job, std::uint32_t number, std::vector<TaskState> tasks, Revision version);
    void move_task(const Job& job, TaskIndex task, const TaskState& before, const TaskState& after,
                   Revision version);

    const Settings& settings_;
    StateObserver& observer_;
    const std::uint32_t standard_page_size_;
    const std::uint32_t safe_page_size_;
    std::uint64_t generation_ = 0;
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
