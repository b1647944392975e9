#include "jobs/commit_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "jobs/commit_timing.h"

namespace zincdyke {
namespace {
constexpr Duration release_delay = std::chrono::milliseconds(40);
constexpr Duration min_completion_delay = std::chrono::milliseconds(250);
// While the team may want the capacity of what ended.
constexpr Duration max_completion_delay_near_quota = std::chrono::seconds(2);
constexpr double near_quota_share = 0.9;
// Between these shares of the write budget, completions are gathered for longer and longer: fewer writes for
// as many ends.
constexpr double low_write_load = 0.5, high_write_load = 0.9;
constexpr Duration unreachable_store_interval = std::chrono::milliseconds(300);
constexpr Duration min_budget_wait = std::chrono::milliseconds(5);
constexpr Duration max_budget_wait = std::chrono::milliseconds(200);
constexpr std::size_t writes_worth_a_wait = 2;

bool is_near(std::int64_t used, std::int64_t limit) {
    return limit > 0 && static_cast<double>(used) > near_quota_share * static_cast<double>(limit);
}

bool is_near_quota(const StateCache& state_cache, const TeamName& name) {
    const Team* team = state_cache.team_limits(name);
    if (team == nullptr) return false;
    const QuotaUsage usage = state_cache.quota_usage(name);
    return is_near(usage.cpu, team->cpu_max) || is_near(usage.gpu, team->gpu_max);
}

void append(std::vector<PendingOperation>& to, std::vector<PendingOperation>&& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}
}  // namespace

CommitQueue::CommitQueue(Env& env, StoreClient& store, const StateCache& state_cache, TurnCallback on_turn)
    : env_(env), store_(store), state_cache_(state_cache), on_turn_(std::move(on_turn)) {}

CommitQueueKey CommitQueue::queue_of(const PageKey& page, OperationKind kind) const {
    const Job* job = state_cache_.job(page.job);
    if (job == nullptr || kind != OperationKind::start) return {{}, page};
    const Team* team = state_cache_.team_limits(job->spec.team);
    if (team == nullptr || !team->limited()) return {{}, page};
    return {team->name, {}};
}

// A job that is not known has no pages: its operations wait together until they are found to be over.
PageKey CommitQueue::page_of(const JobId& job, TaskIndex task) const {
    const Job* known = state_cache_.job(job);
    return {job, known != nullptr ? state_cache_.page_of(*known, task) : 0};
}

Duration CommitQueue::completion_delay(const Job& job) const {
    const double scarcity =
        std::clamp((store_.write_load() - low_write_load) / (high_write_load - low_write_load), 0.0, 1.0);
    const Duration longest =
        is_near_quota(state_cache_, job.spec.team) ? max_completion_delay_near_quota : max_completion_delay;
    return min_completion_delay + seconds(to_seconds(longest - min_completion_delay) * scarcity);
}

// How long an operation may wait for others of its page. The last end of a page is told at once.
Duration CommitQueue::delay_of(const PendingOperation& operation, const PageKey& page,
                               std::size_t waiting) const {
    if (operation.is_start()) return start_delay;
    const Job* job = state_cache_.job(page.job);
    if (operation.kind == OperationKind::release || job == nullptr) return release_delay;
    const auto known = job->pages.find(page.page);
    const std::size_t done = known != job->pages.end() ? known->second.done : 0;
    if (done + waiting + 1 >= state_cache_.tasks_in(*job, page.page)) return release_delay;
    return completion_delay(*job);
}

void CommitQueue::add(const JobId& job, PendingOperation operation) {
    const PageKey page = page_of(job, operation.task);
    const CommitQueueKey key = queue_of(page, operation.kind);
    auto& operations = queues_[key].pages[page];
    const Duration delay = delay_of(operation, page, operations.size());
    operations.push_back(std::move(operation));
    schedule(key, delay);
}

void CommitQueue::put_back(const JobId& job, PendingOperation operation, Duration delay) {
    const PageKey page = page_of(job, operation.task);
    const CommitQueueKey key = queue_of(page, operation.kind);
    queues_[key].pages[page].push_back(std::move(operation));
    schedule(key, delay);
}

void CommitQueue::on_pages_resized(const JobId& id) {
    std::vector<PendingOperation> waiting;
    for (auto& [key, queue] : queues_) {
        for (auto& [page, operations] : queue.pages)
            if (page.job == id) append(waiting, std::move(operations));
        std::erase_if(queue.pages, [&](const auto& entry) { return entry.first.job == id; });
    }
    std::erase_if(queues_,
                  [](const auto& entry) { return entry.second.pages.empty() && !entry.second.is_in_flight; });
    for (auto& operation : waiting) put_back(id, std::move(operation), start_delay);
}

void CommitQueue::schedule(const CommitQueueKey& key, Duration delay) {
    Queue& queue = queues_[key];
    const SteadyTime at = env_.now() + delay;
    if (!queue.due || at < *queue.due) queue.due = at;
    if (!queue.is_in_flight) set_timer(*queue.due);
}

void CommitQueue::wake(const TeamName& team) {
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

void CommitQueue::set_timer(SteadyTime at) {
    if (timer_ != 0 && timer_at_ <= at) return;
    if (timer_ != 0) env_.cancel(timer_);
    timer_at_ = at;
    timer_ = env_.after(std::max(Duration(0), at - env_.now()), [this] {
        timer_ = 0;
        take_turns();
    });
}

void CommitQueue::take_turns() {
    for (;;) {
        const SteadyTime now = env_.now();
        auto next = queues_.end();
        for (auto it = queues_.begin(); it != queues_.end(); ++it) {
            const Queue& queue = it->second;
            if (queue.is_in_flight || !queue.due) continue;
            if (next == queues_.end() || *queue.due < *next->second.due) next = it;
        }
        if (next == queues_.end()) return;
        const SteadyTime due = *next->second.due;
        if (due > now) return set_timer(due);
        if (!store_.reachable()) return set_timer(now + unreachable_store_interval);
        const std::size_t writes = store_.available_writes();
        if (writes == 0)
            return set_timer(now + std::clamp(store_.time_until_writes(writes_worth_a_wait), min_budget_wait,
                                              max_budget_wait));
        next->second.due.reset();
        on_turn_(CommitQueueKey(next->first), writes);
    }
}

// By rank, then the longest waiting: in the order of the jobs' names a backlog would pass over the same jobs
// each time.
CommitQueue::OperationsByPage::iterator CommitQueue::next_page(Queue& queue) const {
    const auto order = [&](const auto& entry) {
        const Job* job = state_cache_.job(entry.first.job);
        return std::make_pair(job != nullptr ? job->spec.rank : wire::Rank::critical,
                              entry.second.front().accepted_at);
    };
    return std::min_element(queue.pages.begin(), queue.pages.end(),
                            [&](const auto& a, const auto& b) { return order(a) < order(b); });
}

// A page that is written for its starts takes along the ends that wait for it.
std::vector<PendingOperation> CommitQueue::with_waiting_ends(const PageKey& page,
                                                             std::vector<PendingOperation> starts) {
    const auto queue = queues_.find(CommitQueueKey{{}, page});
    if (queue == queues_.end() || queue->second.is_in_flight) return starts;
    const auto waiting = queue->second.pages.find(page);
    if (waiting == queue->second.pages.end()) return starts;
    std::vector<PendingOperation> all = std::move(waiting->second);
    append(all, std::move(starts));
    queues_.erase(queue);
    return all;
}

BuiltTransaction CommitQueue::build(const CommitQueueKey& key, TransactionBuilder builder) {
    Queue& queue = queues_[key];
    OperationsByPage left;
    while (!queue.pages.empty()) {
        const auto next = next_page(queue);
        const PageKey page = next->first;
        const bool is_busy = pages_in_flight_.contains(page);
        if (!is_busy && !builder.is_empty() && !builder.can_add_page_of(page.job)) break;
        std::vector<PendingOperation> operations = std::move(next->second);
        queue.pages.erase(next);
        if (is_busy) {
            left[page] = std::move(operations);
            continue;
        }
        if (key.is_of_team()) operations = with_waiting_ends(page, std::move(operations));
        builder.add_page(page, std::move(operations));
    }
    BuiltTransaction built = std::move(builder).finish();
    for (auto& [page, operations] : built.deferred_operations)
        append(queue.pages[page], std::move(operations));
    for (auto& [page, operations] : left) append(queue.pages[page], std::move(operations));
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

void CommitQueue::resume(const CommitQueueKey& key) {
    const Queue& queue = queues_[key];
    if (queue.pages.empty()) {
        queues_.erase(key);
        return;
    }
    schedule(key, queue.due ? std::max(Duration(0), *queue.due - env_.now()) : start_delay);
}

std::size_t CommitQueue::waiting_page_count() const {
    std::size_t count = 0;
    for (const auto& [key, queue] : queues_) count += queue.pages.size();
    return count;
}

}  // namespace zincdyke
