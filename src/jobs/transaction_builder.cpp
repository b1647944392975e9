#include "jobs/transaction_builder.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/format_level.h"
#include "jobs/job_record_writer.h"
#include "jobs/operation_rules.h"
#include "store/records.h"

namespace zincdyke {
namespace {
// No more pages are added to a transaction once the total size of its page records exceeds this limit. The
// limit is well below the store's limit of 64 KiB for a transaction.
constexpr std::size_t max_total_record_bytes = std::size_t{48} * 1024;
constexpr std::size_t max_frozen_pages_per_page = 2;  // frozen pages that contain tasks of one small page
constexpr std::size_t max_writes_per_page = 3;        // a page record, and two records of a finished job
constexpr std::size_t max_writes_per_job_end = 2;     // deletes the job record and writes the final record

// Returns the maximum number of conditions that a page adds to a transaction: the versions of the job and the
// page, and either those of the frozen pages that contain its tasks or, if the commit assigns the job's zone,
// those of all pages of the job.
std::size_t max_conditions_per_page(const Job* job) {
    if (job == nullptr) return 0;
    const std::size_t page_conditions = 2 + (job->small_page_size != 0 ? max_frozen_pages_per_page : 0);
    return job->spec.one_zone ? std::max(page_conditions, 1 + StateCache::max_pages_for_zone_change)
                              : page_conditions;
}
}  // namespace

TransactionBuilder::TransactionBuilder(const StateCache& state_cache, const Settings& settings,
                                       BuildContext context)
    : state_cache_(state_cache), settings_(settings), context_(std::move(context)) {
    if (!context_.team_lock) return;
    effects_.quota_usage = state_cache_.quota_usage(context_.team_lock->team);
    add_condition({keys::team_lock(context_.team_lock->team), context_.team_lock->fencing_token});
}

// Returns the transaction's number of conditions, including those for the shard terms, which are added only
// by finish().
std::size_t TransactionBuilder::condition_count() const {
    return built_.transaction.conditions.size() + effects_.terms_by_shard.size();
}

bool TransactionBuilder::can_add_page_of(const JobId& job) const {
    const StoreLimits& limits = settings_.strictest_limits;
    const std::size_t writes = built_.transaction.writes.size();
    constexpr std::size_t shard_term_conditions = 1;
    return writes + max_writes_per_page <= limits.txn_ops && writes < context_.max_writes &&
           total_record_bytes_ <= max_total_record_bytes &&
           condition_count() + max_conditions_per_page(state_cache_.job(job)) + shard_term_conditions <=
               limits.max_conditions();
}

// Returns the leader's term that the commit of an operation needs as a condition, or nothing if the operation
// was decided in a term that has ended. The term of a forwarded operation may be newer than the cached one;
// the commit fails if that term is not the current one.
std::optional<Term> TransactionBuilder::valid_term(const PendingOperation& operation,
                                                   std::uint32_t shard) const {
    const bool has_term_ended = operation.forwarded_request
                                    ? state_cache_.shards()[shard].term > operation.term
                                    : context_.own_leader_term(shard) != operation.term;
    if (has_term_ended) return std::nullopt;
    return operation.term;
}

// Returns whether the transaction may contain starts of the job's team. Without the team's lock the builder
// knows neither the team's usage nor whether another controller is committing starts of the team.
bool TransactionBuilder::has_required_team_lock(const Job& job) const {
    const Team* team = state_cache_.team_limits(job.spec.team);
    if (team == nullptr || !team->has_limit()) return true;
    return context_.team_lock && context_.team_lock->team == team->name;
}

bool TransactionBuilder::is_zone_allowed(const Job& job, const std::string& zone) const {
    if (!job.spec.one_zone) return true;
    const auto chosen_zone = effects_.zones_by_job.find(job.spec.id);
    if (chosen_zone != effects_.zones_by_job.end()) return chosen_zone->second == zone;
    const auto required_zone = state_cache_.required_zone(job);
    return !required_zone || *required_zone == zone;
}

bool TransactionBuilder::is_compatible(const Job& job, const PendingOperation& operation, std::uint32_t shard,
                                       Term term) const {
    const auto shard_term = effects_.terms_by_shard.find(shard);
    if (shard_term != effects_.terms_by_shard.end() && shard_term->second != term) return false;
    return !operation.is_start() || (has_required_team_lock(job) && is_zone_allowed(job, operation.zone));
}

// Reports an operation that needs no write. A start counts as committed if its task is placed on the
// requested machine already, since an earlier commit may have succeeded although its response was lost.
void TransactionBuilder::settle_without_write(const PageKey& page, PendingOperation operation) {
    const TaskState task = state_cache_.task({page.job, operation.task});
    const bool is_committed = task.status == TaskState::Status::placed && task.machine == operation.machine;
    built_.notices.emplace_back(SettledOperation{page.job, std::move(operation), is_committed});
}

TransactionBuilder::AppliedPage TransactionBuilder::apply_operations(
    const PageKey& page, const Job* job, std::vector<PendingOperation> operations) {
    const std::size_t max_conditions = settings_.strictest_limits.max_conditions();
    AppliedPage result;
    if (job != nullptr) result.tasks = state_cache_.page_tasks(*job, page.page);
    for (auto& operation : operations) {
        const std::uint32_t shard = state_cache_.shard_of(operation.machine);
        const auto term = valid_term(operation, shard);
        // The term of each shard adds a condition to the transaction. An operation whose shard is not yet
        // among these conditions is deferred to the next transaction if the number of conditions would exceed
        // the store's limit.
        if (term && !effects_.terms_by_shard.contains(shard) &&
            condition_count() + max_conditions_per_page(job) + 1 > max_conditions) {
            result.deferred_operations.push_back(std::move(operation));
            continue;
        }
        if (job == nullptr || !term || !is_compatible(*job, operation, shard, *term) ||
            apply_operation(state_cache_, context_.now, *job, operation, page.page, result.tasks,
                            effects_.quota_usage) != ApplyResult::applied) {
            settle_without_write(page, std::move(operation));
            continue;
        }
        effects_.terms_by_shard.emplace(shard, *term);
        if (operation.is_start() && job->spec.one_zone) effects_.zones_by_job[page.job] = operation.zone;
        if (!operation.is_start()) built_.has_ends = true;
        result.applied_operations.push_back(std::move(operation));
    }
    return result;
}

// Returns whether a page's record fits the store's limit for the size of a value. The limit is the strictest
// one in the settings once all controllers can read small pages or the store has rejected a value for its
// size; before that, it is the store's current limit.
bool TransactionBuilder::fits_value_limit(std::size_t task_count, std::size_t record_bytes) const {
    if (task_count <= state_cache_.safe_page_size()) return true;
    const bool use_strictest_limits =
        state_cache_.fleet_format_level() >= FormatLevel::small_pages || context_.store_rejected_value;
    const StoreLimits& limits = use_strictest_limits ? settings_.strictest_limits : settings_.store_limits;
    return record_bytes <= limits.max_value_bytes();
}

void TransactionBuilder::add_page(const PageKey& page, std::vector<PendingOperation> operations) {
    const Job* job = state_cache_.job(page.job);
    const Effects previous_effects = effects_;
    AppliedPage result = apply_operations(page, job, std::move(operations));
    if (!result.applied_operations.empty()) {
        Json record =
            records::encode_page(result.tasks, std::size_t{page.page} * state_cache_.page_size(*job));
        const std::size_t record_bytes = record.dump().size();
        if (fits_value_limit(result.tasks.size(), record_bytes)) {
            add_writes(page, *job, result.tasks, std::move(record));
            total_record_bytes_ += record_bytes;
            built_.operations.push_back({page, std::move(result.applied_operations)});
        } else {
            effects_ = previous_effects;
            return defer_or_reject(page, *job, std::move(result));
        }
    }
    if (!result.deferred_operations.empty())
        built_.deferred_operations.push_back({page, std::move(result.deferred_operations)});
}

// Handles a page whose record would exceed the store's value limit. Task ends are deferred to a later
// transaction without the starts, since they make the record smaller. Task starts are deferred if the job can
// get smaller pages, and rejected otherwise.
void TransactionBuilder::defer_or_reject(const PageKey& page, const Job& job, AppliedPage oversized) {
    const bool may_resize = state_cache_.fleet_format_level() >= FormatLevel::small_pages &&
                            state_cache_.safe_page_size() < state_cache_.page_size(job);
    if (may_resize) built_.notices.emplace_back(PageResizeNeeded{page.job});
    for (auto& operation : oversized.applied_operations) {
        if (may_resize || !operation.is_start()) {
            oversized.deferred_operations.push_back(std::move(operation));
            continue;
        }
        built_.notices.emplace_back(PageFull{page});
        built_.notices.emplace_back(SettledOperation{page.job, std::move(operation), false});
    }
    if (!oversized.deferred_operations.empty())
        built_.deferred_operations.push_back({page, std::move(oversized.deferred_operations)});
}

void TransactionBuilder::add_condition(const Condition& condition) {
    auto& conditions = built_.transaction.conditions;
    const auto is_same = [&](const Condition& existing) { return existing.key == condition.key; };
    if (std::none_of(conditions.begin(), conditions.end(), is_same)) conditions.push_back(condition);
}

// Assigns the zone of the first task start of a one-zone job to the job. The versions of all pages of the job
// are conditions, which ensures that none of its tasks is placed yet.
void TransactionBuilder::add_zone_assignment(const Job& job) {
    const auto chosen_zone = effects_.zones_by_job.find(job.spec.id);
    if (chosen_zone == effects_.zones_by_job.end() || chosen_zone->second == job.assigned_zone ||
        !zone_assigned_jobs_.insert(job.spec.id).second)
        return;
    for (std::uint32_t page = 0; page < state_cache_.page_count(job); ++page)
        for (const auto& condition : state_cache_.page_conditions(job, page)) add_condition(condition);
    Job assigned_job = job;
    assigned_job.assigned_zone = chosen_zone->second;
    built_.transaction.writes.push_back(
        {keys::job(job.spec.id), state_cache_.encode_job(assigned_job), std::nullopt});
}

void TransactionBuilder::add_writes(const PageKey& page, const Job& job, const std::vector<TaskState>& tasks,
                                    Json record) {
    const std::string job_key = keys::job(page.job), page_key = StateCache::page_key(job, page.page);
    add_condition({job_key, job.version});
    for (const auto& condition : state_cache_.page_conditions(job, page.page)) add_condition(condition);
    add_zone_assignment(job);
    auto& writes = built_.transaction.writes;
    const std::size_t max_writes = settings_.strictest_limits.txn_ops;
    const bool is_job_done = state_cache_.page_count(job) == 1 &&
                             std::all_of(tasks.begin(), tasks.end(), [](const TaskState& task) {
                                 return task.status == TaskState::Status::done;
                             });
    if (!is_job_done || job.cancelled || writes.size() + max_writes_per_job_end > max_writes) {
        writes.push_back({page_key, std::move(record), std::nullopt});
        return;
    }
    // One transaction completes the last task and closes the job. If deleting the page doesn't fit into the
    // transaction, the page is deleted later.
    if (state_cache_.version(page_key) != Revision{} && writes.size() + max_writes_per_job_end < max_writes)
        writes.push_back({page_key, std::nullopt, std::nullopt});
    writes.push_back({job_key, std::nullopt, std::nullopt});
    writes.push_back({keys::final_state(page.job), final_record(job), std::nullopt});
}

BuiltTransaction TransactionBuilder::finish() && {
    for (const auto& [shard, term] : effects_.terms_by_shard)
        built_.transaction.conditions.push_back({keys::shard(shard), term});
    return std::move(built_);
}

}  // namespace zincdyke
