#include "jobs/commit_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "jobs/commit_timing.h"

namespace zincdyke {
namespace {
constexpr Duration release_batching_delay = std::chrono::milliseconds(40);
constexpr Duration min_completion_batching_delay = std::chrono::milliseconds(250);
// Task completions of a team near its quota limit have a shorter maximum batching delay, since the team can
// start its next tasks only after the completions are committed.
constexpr Duration max_completion_batching_delay_near_quota = std::chrono::seconds(2);
constexpr double near_quota_share = 0.9;
// The batching delay of task completions grows linearly from its minimum to its maximum while the used share
// of the write budget is between these two values. A longer delay reduces the number of writes per
// completion.
constexpr double low_write_load = 0.5, high_write_load = 0.9;
constexpr Duration unreachable_store_retry_interval = std::chrono::milliseconds(300);
constexpr Duration min_write_budget_wait = std::chrono::milliseconds(5);
constexpr Duration max_write_budget_wait = std::chrono::milliseconds(200);
// After the write budget is used up, the next transaction waits until this many writes are available.
constexpr std::size_t min_available_writes = 2;

bool is_near_limit(std::int64_t used, std::int64_t limit) {
    return limit > 0 && static_cast<double>(used) > near_quota_share * static_cast<double>(limit);
}

bool is_near_quota(const StateCache& state_cache, const TeamName& team_name) {
    const Team* team = state_cache.team_limits(team_name);
    if (team == nullptr) return false;
    const QuotaUsage usage = state_cache.quota_usage(team_name);
    return is_near_limit(usage.cpu, team->cpu_max) || is_near_limit(usage.gpu, team->gpu_max);
}

void append(std::vector<PendingOperation>& target, std::vector<PendingOperation>&& source) {
    target.insert(target.end(), std::make_move_iterator(source.begin()),
                  std::make_move_iterator(source.end()));
}
}  // namespace

CommitQueue::CommitQueue(Env& env, StoreClient& store, const StateCache& state_cache,
                         QueueDueCallback on_queue_due)
    : env_(env), store_(store), state_cache_(state_cache), on_queue_due_(std::move(on_queue_due)) {}

CommitQueueKey CommitQueue::queue_key_for(const PageKey& page, OperationKind kind) const {
    const Job* job = state_cache_.job(page.job);
    if (job == nullptr || kind != OperationKind::start) return {{}, page};
    const Team* team = state_cache_.team_limits(job->spec.team);
    if (team == nullptr || !team->has_limit()) return {{}, page};
    return {team->name, {}};
}

// Operations of a job that is not in the state cache are queued under page 0, since the page size is unknown.
// The next transaction build rejects them.
PageKey CommitQueue::page_key_for(const JobId& id, TaskIndex task) const {
    const Job* job = state_cache_.job(id);
    return {id, job != nullptr ? state_cache_.page_of(*job, task) : 0};
}

Duration CommitQueue::completion_batching_delay(const Job& job) const {
    const double load_factor =
        std::clamp((store_.write_load() - low_write_load) / (high_write_load - low_write_load), 0.0, 1.0);
    const Duration max_delay = is_near_quota(state_cache_, job.spec.team)
                                   ? max_completion_batching_delay_near_quota
                                   : max_completion_batching_delay;
    return min_completion_batching_delay +
           seconds(to_seconds(max_delay - min_completion_batching_delay) * load_factor);
}

// Returns how long an operation may wait for other operations of its page. The completion of a page's last
// unfinished task has a short delay, since no other completion can follow.
Duration CommitQueue::batching_delay(const PendingOperation& operation, const PageKey& page,
                                     std::size_t queued_count) const {
    if (operation.is_start()) return start_batching_delay;
    const Job* job = state_cache_.job(page.job);
    if (operation.kind == OperationKind::release || job == nullptr) return release_batching_delay;
    const auto stored_page = job->pages.find(page.page);
    const std::size_t done_count = stored_page != job->pages.end() ? stored_page->second.done_tasks : 0;
    if (done_count + queued_count + 1 >= state_cache_.task_count_in_page(*job, page.page))
        return release_batching_delay;
    return completion_batching_delay(*job);
}

void CommitQueue::add(const JobId& job, PendingOperation operation) {
    const PageKey page = page_key_for(job, operation.task);
    const CommitQueueKey key = queue_key_for(page, operation.kind);
    auto& operations = queues_[key].pages[page];
    const Duration delay = batching_delay(operation, page, operations.size());
    operations.push_back(std::move(operation));
    schedule(key, delay);
}

void CommitQueue::requeue(const JobId& job, PendingOperation operation, Duration delay) {
    const PageKey page = page_key_for(job, operation.task);
    const CommitQueueKey key = queue_key_for(page, operation.kind);
    queues_[key].pages[page].push_back(std::move(operation));
    schedule(key, delay);
}

void CommitQueue::on_pages_resized(const JobId& id) {
    std::vector<PendingOperation> moved_operations;
    for (auto& [key, queue] : queues_) {
        for (auto& [page, operations] : queue.pages)
            if (page.job == id) append(moved_operations, std::move(operations));
        std::erase_if(queue.pages, [&](const auto& entry) { return entry.first.job == id; });
    }
    std::erase_if(queues_,
                  [](const auto& entry) { return entry.second.pages.empty() && !entry.second.is_in_flight; });
    for (auto& operation : moved_operations) requeue(id, std::move(operation), start_batching_delay);
}

void CommitQueue::schedule(const CommitQueueKey& key, Duration delay) {
    Queue& queue = queues_[key];
    const SteadyTime requested_at = env_.now() + delay;
    if (!queue.scheduled_at || requested_at < *queue.scheduled_at) queue.scheduled_at = requested_at;
    if (!queue.is_in_flight) set_timer(*queue.scheduled_at);
}

void CommitQueue::schedule_team_starts(const TeamName& team) {
    if (const CommitQueueKey key{team, {}}; queues_.contains(key)) schedule(key, Duration(0));
}

std::vector<CommitQueue::RemovedOperation> CommitQueue::remove_expired_starts(const CommitQueueKey& key) {
    std::vector<RemovedOperation> removed;
    const SteadyTime now = env_.now();
    auto& pages = queues_[key].pages;
    for (auto& [page, operations] : pages)
        std::erase_if(operations, [&, job = page.job](PendingOperation& operation) {
            if (!operation.is_start() || now - operation.accepted_at <= start_commit_timeout) return false;
            removed.push_back({job, std::move(operation)});
            return true;
        });
    std::erase_if(pages, [](const auto& entry) { return entry.second.empty(); });
    if (pages.empty()) queues_.erase(key);
    return removed;
}

void CommitQueue::set_timer(SteadyTime expiry) {
    if (timer_ != 0 && timer_expiry_ <= expiry) return;
    if (timer_ != 0) env_.cancel(timer_);
    timer_expiry_ = expiry;
    timer_ = env_.after(std::max(Duration(0), expiry - env_.now()), [this] {
        timer_ = 0;
        process_due_queues();
    });
}

void CommitQueue::process_due_queues() {
    for (;;) {
        const SteadyTime now = env_.now();
        auto next = queues_.end();
        for (auto it = queues_.begin(); it != queues_.end(); ++it) {
            const Queue& queue = it->second;
            if (queue.is_in_flight || !queue.scheduled_at) continue;
            if (next == queues_.end() || *queue.scheduled_at < *next->second.scheduled_at) next = it;
        }
        if (next == queues_.end()) return;
        const SteadyTime scheduled_at = *next->second.scheduled_at;
        if (scheduled_at > now) return set_timer(scheduled_at);
        if (!store_.reachable()) return set_timer(now + unreachable_store_retry_interval);
        const std::size_t writes = store_.available_writes();
        if (writes == 0)
            return set_timer(now + std::clamp(store_.time_until_writes(min_available_writes),
                                              min_write_budget_wait, max_write_budget_wait));
        next->second.scheduled_at.reset();
        on_queue_due_(CommitQueueKey(next->first), writes);
    }
}

// Returns the queue's page whose job has the most urgent rank. Among equal ranks, returns the page whose
// first operation has waited longest, so that no job starves while there is a backlog.
CommitQueue::OperationsByPage::iterator CommitQueue::most_urgent_page(Queue& queue) const {
    const auto urgency = [&](const auto& entry) {
        const Job* job = state_cache_.job(entry.first.job);
        return std::make_pair(job != nullptr ? job->spec.rank : wire::Rank::critical,
                              entry.second.front().accepted_at);
    };
    return std::min_element(queue.pages.begin(), queue.pages.end(),
                            [&](const auto& a, const auto& b) { return urgency(a) < urgency(b); });
}

// Adds the queued ends of a page to its starts, so that one write of the page commits both.
std::vector<PendingOperation> CommitQueue::with_queued_ends(const PageKey& page,
                                                            std::vector<PendingOperation> starts) {
    const auto queue = queues_.find(CommitQueueKey{{}, page});
    if (queue == queues_.end() || queue->second.is_in_flight) return starts;
    const auto queued_ends = queue->second.pages.find(page);
    if (queued_ends == queue->second.pages.end()) return starts;
    std::vector<PendingOperation> operations = std::move(queued_ends->second);
    append(operations, std::move(starts));
    queues_.erase(queue);
    return operations;
}

BuiltTransaction CommitQueue::build_transaction(const CommitQueueKey& key, TransactionBuilder builder) {
    Queue& queue = queues_[key];
    OperationsByPage busy_pages;
    while (!queue.pages.empty()) {
        const auto next = most_urgent_page(queue);
        const PageKey page = next->first;
        const bool is_busy = pages_in_flight_.contains(page);
        if (!is_busy && !builder.is_empty() && !builder.can_add_page_of(page.job)) break;
        std::vector<PendingOperation> operations = std::move(next->second);
        queue.pages.erase(next);
        if (is_busy) {
            busy_pages[page] = std::move(operations);
            continue;
        }
        if (key.is_team_queue()) operations = with_queued_ends(page, std::move(operations));
        builder.add_page(page, std::move(operations));
    }
    BuiltTransaction built = std::move(builder).finish();
    for (auto& [page, operations] : built.deferred_operations)
        append(queue.pages[page], std::move(operations));
    for (auto& [page, operations] : busy_pages) append(queue.pages[page], std::move(operations));
    built.deferred_operations.clear();
    return built;
}

void CommitQueue::begin_transaction(const CommitQueueKey& key, const std::vector<PageOperations>& pages) {
    queues_[key].is_in_flight = true;
    for (const auto& entry : pages) pages_in_flight_.insert(entry.page);
}

void CommitQueue::end_transaction(const CommitQueueKey& key, const std::vector<PageOperations>& pages) {
    queues_[key].is_in_flight = false;
    for (const auto& entry : pages) pages_in_flight_.erase(entry.page);
}

void CommitQueue::reschedule_or_remove(const CommitQueueKey& key) {
    const Queue& queue = queues_[key];
    if (queue.pages.empty()) {
        queues_.erase(key);
        return;
    }
    schedule(key, queue.scheduled_at ? std::max(Duration(0), *queue.scheduled_at - env_.now())
                                     : start_batching_delay);
}

std::size_t CommitQueue::queued_page_count() const {
    std::size_t count = 0;
    for (const auto& [key, queue] : queues_) count += queue.pages.size();
    return count;
}

}  // namespace zincdyke
