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
constexpr std::size_t max_record_bytes = std::size_t{48} * 1024;  // well below the store's 64 KiB
constexpr std::size_t max_frozen_pages_of_page = 2;
constexpr std::size_t writes_of_page_and_job_end = 3;
constexpr std::size_t writes_of_job_end = 2;  // its record and its final one

// Conditions that one more page takes at the most: its job's, its own, and those of the frozen pages that its
// tasks were in, or of all the job's pages where the zone is chosen.
std::size_t max_conditions_of_page(const Job* job) {
    if (job == nullptr) return 0;
    const std::size_t own = 2 + (job->small_page_size != 0 ? max_frozen_pages_of_page : 0);
    return job->spec.one_zone ? std::max(own, 1 + StateCache::most_free_pages) : own;
}
}  // namespace

TransactionBuilder::TransactionBuilder(const StateCache& state_cache, const Settings& settings,
                                       BuildContext context)
    : state_cache_(state_cache), settings_(settings), context_(std::move(context)) {
    if (!context_.lock) return;
    commitments_.usage = state_cache_.quota_usage(context_.lock->team);
    add_condition({keys::team_lock(context_.lock->team), context_.lock->token});
}

// Those of the shards' terms are added at the end.
std::size_t TransactionBuilder::condition_count() const {
    return built_.transaction.conditions.size() + commitments_.terms.size();
}

bool TransactionBuilder::can_add_page_of(const JobId& job) const {
    const StateLimits& limits = settings_.strictest_limits;
    const std::size_t writes = built_.transaction.writes.size();
    constexpr std::size_t another_shard = 1;
    return writes + writes_of_page_and_job_end <= limits.txn_ops && writes < context_.max_writes &&
           record_bytes_ <= max_record_bytes &&
           condition_count() + max_conditions_of_page(state_cache_.job(job)) + another_shard <=
               limits.conditions();
}

// The term that the commit of this operation must name; nothing when it was judged under one that is over. A
// peer's may be newer than what the watch has brought: the commit's condition decides.
std::optional<Term> TransactionBuilder::valid_term(const PendingOperation& operation,
                                                   std::uint32_t shard) const {
    const bool is_over = operation.forwarded ? state_cache_.shards()[shard].term > operation.term
                                             : context_.own_leader_term(shard) != operation.term;
    if (is_over) return std::nullopt;
    return operation.term;
}

bool TransactionBuilder::is_zone_allowed(const Job& job, const std::string& zone) const {
    if (!job.spec.one_zone) return true;
    const auto chosen = commitments_.zones.find(job.spec.id);
    if (chosen != commitments_.zones.end()) return chosen->second == zone;
    const auto required = state_cache_.required_zone(job);
    return !required || *required == zone;
}

bool TransactionBuilder::may_apply(const Job& job, const PendingOperation& operation, std::uint32_t shard,
                                   Term term) const {
    const auto named = commitments_.terms.find(shard);
    if (named != commitments_.terms.end() && named->second != term) return false;
    return !operation.is_start() || is_zone_allowed(job, operation.zone);
}

// A commit whose answer was lost may have placed the task after all.
void TransactionBuilder::settle(const PageKey& page, PendingOperation operation) {
    const TaskState task = state_cache_.task({page.job, operation.task});
    const bool is_committed = task.status == TaskState::Status::placed && task.machine == operation.machine;
    built_.notices.emplace_back(SettledOperation{page.job, std::move(operation), is_committed});
}

TransactionBuilder::AppliedPage TransactionBuilder::apply_all(const PageKey& page, const Job* job,
                                                              std::vector<PendingOperation> operations) {
    const std::size_t max_conditions = settings_.strictest_limits.conditions();
    AppliedPage result;
    if (job != nullptr) result.tasks = state_cache_.page_tasks(*job, page.page);
    for (auto& operation : operations) {
        const std::uint32_t shard = state_cache_.shard_of(operation.machine);
        const auto term = valid_term(operation, shard);
        // Many leaders at once: those whose terms don't fit among the conditions come with the next commit.
        if (term && !commitments_.terms.contains(shard) &&
            condition_count() + max_conditions_of_page(job) + 1 > max_conditions) {
            result.postponed.push_back(std::move(operation));
            continue;
        }
        if (job == nullptr || !term || !may_apply(*job, operation, shard, *term) ||
            apply_operation(state_cache_, context_.now, *job, operation, page.page, result.tasks,
                            commitments_.usage) != ApplyResult::applied) {
            settle(page, std::move(operation));
            continue;
        }
        commitments_.terms.emplace(shard, *term);
        if (operation.is_start() && job->spec.one_zone) commitments_.zones[page.job] = operation.zone;
        if (!operation.is_start()) built_.has_ends = true;
        result.applied.push_back(std::move(operation));
    }
    return result;
}

// Whether a page's record may have so many bytes now. From the first format level on, or once the store has
// rejected a value for its size, none is larger than the strictest limit that the settings announce.
bool TransactionBuilder::fits_record(std::size_t tasks, std::size_t bytes) const {
    if (tasks <= state_cache_.safe_page_size()) return true;
    const bool keep_to_strictest =
        state_cache_.format_level() >= FormatLevel::small_pages || context_.store_rejected_value;
    const StateLimits& limits = keep_to_strictest ? settings_.strictest_limits : settings_.state_limits;
    return bytes <= limits.value_bytes();
}

void TransactionBuilder::add_page(const PageKey& page, std::vector<PendingOperation> operations) {
    const Job* job = state_cache_.job(page.job);
    const Commitments before = commitments_;
    AppliedPage result = apply_all(page, job, std::move(operations));
    if (!result.applied.empty()) {
        Json record =
            records::encode_page(result.tasks, std::size_t{page.page} * state_cache_.page_size(*job));
        const std::size_t bytes = record.dump().size();
        if (fits_record(result.tasks.size(), bytes)) {
            add_writes(page, *job, result.tasks, std::move(record));
            record_bytes_ += bytes;
            built_.operations.push_back({page, std::move(result.applied)});
        } else {
            commitments_ = before;
            return postpone_or_give_up(page, *job, std::move(result));
        }
    }
    if (!result.postponed.empty()) built_.deferred_operations.push_back({page, std::move(result.postponed)});
}

// The page's record would be too large. Ends make it shorter, and starts wait for smaller pages; where there
// are none, the starts go elsewhere.
void TransactionBuilder::postpone_or_give_up(const PageKey& page, const Job& job, AppliedPage overflowing) {
    const bool may_resize = state_cache_.format_level() >= FormatLevel::small_pages &&
                            state_cache_.safe_page_size() < state_cache_.page_size(job);
    if (may_resize) built_.notices.emplace_back(PageResizeNeeded{page.job});
    for (auto& operation : overflowing.applied) {
        if (may_resize || !operation.is_start()) {
            overflowing.postponed.push_back(std::move(operation));
            continue;
        }
        built_.notices.emplace_back(PageFull{page});
        built_.notices.emplace_back(SettledOperation{page.job, std::move(operation), false});
    }
    if (!overflowing.postponed.empty())
        built_.deferred_operations.push_back({page, std::move(overflowing.postponed)});
}

void TransactionBuilder::add_condition(const Condition& condition) {
    auto& conditions = built_.transaction.conditions;
    const auto is_same = [&](const Condition& known) { return known.key == condition.key; };
    if (std::none_of(conditions.begin(), conditions.end(), is_same)) conditions.push_back(condition);
}

// The first start of a one-zone job binds it to the zone. No task of it is on a machine, as the versions of
// all its pages prove.
void TransactionBuilder::add_zone_choice(const Job& job) {
    const auto chosen = commitments_.zones.find(job.spec.id);
    if (chosen == commitments_.zones.end() || chosen->second == job.assigned_zone ||
        !jobs_given_zones_.insert(job.spec.id).second)
        return;
    for (std::uint32_t page = 0; page < state_cache_.pages_of(job); ++page)
        for (const auto& condition : state_cache_.page_conditions(job, page)) add_condition(condition);
    Job bound = job;
    bound.assigned_zone = chosen->second;
    built_.transaction.writes.push_back(
        {keys::job(job.spec.id), state_cache_.encode_job(bound), std::nullopt});
}

void TransactionBuilder::add_writes(const PageKey& page, const Job& job, const std::vector<TaskState>& tasks,
                                    Json record) {
    const std::string job_key = keys::job(page.job), page_key = StateCache::page_key(job, page.page);
    add_condition({job_key, job.version});
    for (const auto& condition : state_cache_.page_conditions(job, page.page)) add_condition(condition);
    add_zone_choice(job);
    auto& writes = built_.transaction.writes;
    const std::size_t max_writes = settings_.strictest_limits.txn_ops;
    const bool is_over =
        state_cache_.pages_of(job) == 1 && std::all_of(tasks.begin(), tasks.end(), [](const TaskState& task) {
            return task.status == TaskState::Status::done;
        });
    if (!is_over || job.cancelled || writes.size() + writes_of_job_end > max_writes) {
        writes.push_back({page_key, std::move(record), std::nullopt});
        return;
    }
    // The last task's end and the job's in one commit; a page that finds no place in it is deleted later.
    if (state_cache_.version(page_key) != Revision{} && writes.size() + writes_of_job_end < max_writes)
        writes.push_back({page_key, std::nullopt, std::nullopt});
    writes.push_back({job_key, std::nullopt, std::nullopt});
    writes.push_back({keys::final_state(page.job), final_record(job), std::nullopt});
}

BuiltTransaction TransactionBuilder::finish() && {
    for (const auto& [shard, term] : commitments_.terms)
        built_.transaction.conditions.push_back({keys::shard(shard), term});
    return std::move(built_);
}

}  // namespace zincdyke
