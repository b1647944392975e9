// What the state service holds, as last read: the shared view that every decision starts from. Decisions
// become facts only by a commit whose conditions name the versions seen here.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/settings.h"
#include "base/types.h"
#include "store/job.h"
#include "store/keys.h"
#include "store/state_observer.h"
#include "store/store_client.h"
#include "wire/json_api.h"

namespace zincdyke {

/// A share of the machines and the controller that leads it.
struct Shard {
    NodeName leader;
    Term term;
};
struct QuotaUsage {
    std::int64_t cpu = 0, gpu = 0;
};

class StateCache {
  public:
    /// Both must outlive the cache.
    StateCache(const Settings& settings, StateObserver& observer);
    // Takes over what was read under `key`; older than what is known: ignored.
    void apply(const KeyUpdate& item);
    void clear();
    // A job is known to be cancelled, though this node has not read it: a controller that told its user says
    // so. What is marked stays so, whatever older versions of the record come.
    void mark_cancelled(const JobId& id);

    const Job* job(const JobId& id) const;
    const std::unordered_map<JobId, Job>& jobs() const { return jobs_; }
    TaskState task(const TaskRef& t) const;
    const std::set<TaskRef>& tasks_on(const MachineId& m) const;
    const std::unordered_map<MachineId, std::set<TaskRef>>& tasks_by_machine() const { return by_machine_; }
    const std::vector<Shard>& shards() const { return shards_; }
    const std::map<NodeName, Revision>& live_nodes() const { return live_nodes_; }
    // What a team's placed tasks take, by the pages read so far. Whether that is all: TeamLocks.
    QuotaUsage quota_usage(const TeamName& t) const;
    // The controller that holds the lock on a limited team's starts; empty: none yet.
    const NodeName& team_lock_holder(const TeamName& t) const;
    // How often the model was emptied to be read anew.
    std::uint64_t generation() const { return generation_; }
    const Team* team_limits(const TeamName& t) const;
    const NodeName& autoscaler_leader() const { return autoscaler_leader_; }
    Revision autoscaler_leader_version() const { return version("z/s"); }
    const std::vector<wire::MachineType>& machine_types() const { return machine_types_; }
    const wire::MachineType* machine_type(const std::string& name) const;
    Revision version(const std::string& key) const;

    // The zone that a one-zone job's next start must be in. While none of its tasks is on a machine, by
    // proof, any will do: the commit of its first start names the zone, on condition that no page shows a
    // task placed.
    std::optional<std::string> required_zone(const Job& j) const {
        const bool free =
            j.spec.one_zone && !j.spec.zone && j.placed == 0 && pages_named_for_zone(j) <= most_free_pages;
        return free ? std::nullopt : j.assigned_zone;
    }
    static constexpr std::size_t most_free_pages = 4;  // all are named in the commit's conditions
    std::size_t pages_named_for_zone(const Job& j) const {
        const std::size_t frozen = (j.spec.tasks + standard_page_size_ - 1) / standard_page_size_;
        return pages_of(j) + (j.small_page_size != 0 ? frozen : 0);
    }
    // Tasks in a page of the standard size. Every version of the program derives the same from the settings.
    std::uint32_t standard_page_size() const { return standard_page_size_; }
    // Tasks in a page whose record surely fits the strictest limits.
    std::uint32_t safe_page_size() const { return safe_page_size_; }
    std::uint32_t page_size(const Job& j) const {
        return j.small_page_size != 0 ? j.small_page_size : standard_page_size_;
    }
    std::uint32_t page_of(const Job& j, TaskIndex t) const { return t / page_size(j); }
    std::uint32_t pages_of(const Job& j) const { return (j.spec.tasks + page_size(j) - 1) / page_size(j); }
    TaskIndex tasks_in(const Job& j, std::uint32_t page) const;
    static std::string page_key(const Job& j, std::uint32_t page);
    std::vector<TaskState> page_tasks(const Job& j, std::uint32_t page) const;
    // What a commit that changes the page has to name: its version, and while it was never written those of
    // the frozen pages that still hold its tasks.
    std::vector<Condition> page_conditions(const Job& j, std::uint32_t page) const;
    // Keys of all pages that were written, the frozen ones too.
    std::vector<std::string> written_pages(const Job& j) const;
    // A job's record. One that would be too large for the strictest limits names only the types that exist.
    Json encode_job(const Job& j) const;

    // The format level that the fleet writes, as far as read; it never falls.
    std::uint32_t format_level() const { return format_level_; }
    // The format level that each controller has registered to understand.
    const std::map<NodeName, std::uint32_t>& known_formats() const { return known_formats_; }

    // Images of the tasks placed on a machine, as far back as its cache reaches. Every controller knows them
    // of every machine: what only the owner had seen was lost with it, and gangs waited for fetches of what
    // lay there already.
    bool holds_image(const MachineId& m, const std::string& image, double cache_gb) const;
    // Calls `fn` with each.
    template <class Fn>
    void each_image(const MachineId& m, double cache_gb, Fn fn) const {
        auto it = images_.find(m);
        if (it == images_.end()) return;
        for (const auto& i : it->second.recent) {
            if ((cache_gb -= i.gb) < 0) return;
            fn(i.name);
        }
    }
    void forget_machine(const MachineId& m) { images_.erase(m); }

    // Machines are parted among the controllers by the hash of their names.
    std::uint32_t shard_of(const MachineId& m) const;
    bool fits_team_quota(const TeamName& t, const Resources& need, TaskIndex tasks) const;
    // Pages whose job is over; their keys may be deleted.
    const std::set<std::string>& orphaned_pages() const { return orphaned_pages_; }

    bool has_pending_tasks() const;
    Revision applied_revision;  // everything up to this revision has been read

  private:
    void apply_job(const JobId& id, const KeyUpdate& item);
    void apply_page(const KeyUpdate& item);
    void apply_standard_page(Job& j, std::uint32_t n, const KeyUpdate& item);
    void apply_small_page(Job& j, std::uint32_t n, const KeyUpdate& item);
    void apply_format(const KeyUpdate& item);
    void forget_version(const std::string& key);
    void freeze_pages(Job& j) const;
    std::vector<TaskState> tasks_in_frozen(const Job& j, std::uint32_t page) const;
    bool is_written(const std::string& key) const;
    void set_page(Job& j, std::uint32_t n, std::vector<TaskState> tasks, Revision version);
    void note_image(const MachineId& m, const wire::JobSpec& s, Revision at);
    struct Image {
        std::string name;
        double gb = 0;
    };
    struct Images {
        std::deque<Image> recent;  // newest first
        Revision at;
    };
    const Settings& settings_;
    StateObserver& observer_;
    std::uint32_t standard_page_size_, safe_page_size_;
    std::uint32_t format_level_ = 0;
    std::map<NodeName, std::uint32_t> known_formats_;
    std::unordered_map<std::string, Revision> versions_;  // of deleted keys too, until `seen` passes them
    std::unordered_map<std::string, bool> present_;
    std::unordered_map<JobId, Job> jobs_;
    std::set<JobId> known_cancelled_;  // not cleared: a list read just now may be older than a peer's word
    std::unordered_map<MachineId, std::set<TaskRef>> by_machine_;
    std::unordered_map<MachineId, Images> images_;
    std::vector<Shard> shards_;
    std::map<NodeName, Revision> live_nodes_;
    std::map<TeamName, NodeName> team_lock_holders_;
    std::map<TeamName, QuotaUsage> placed_by_team_;
    std::uint64_t generation_ = 0;
    NodeName autoscaler_leader_;
    std::vector<wire::MachineType> machine_types_;
    std::set<std::string> orphaned_pages_;
};

}  // namespace zincdyke
