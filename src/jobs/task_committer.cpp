#include "jobs/task_committer.h"

#include <utility>

#include "jobs/committed_records.h"

namespace zincdyke {
namespace {
// Operations that other controllers forward are rejected while the number of pending operations is at or
// above this limit.
constexpr std::size_t max_pending_operations = 20'000;
constexpr double demand_smoothing_factor = 0.6;
constexpr Duration fresh_state_retry_delay = std::chrono::milliseconds(100);
}  // namespace

TaskCommitter::TaskCommitter(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                             ClusterCoordinator& cluster, PeerChannel& peers)
    : env_(env),
      settings_(settings),
      state_cache_(state_cache),
      cluster_(cluster),
      peers_(peers),
      forwarder_(
          env, state_cache, peers,
          [this](const JobId& job, PendingOperation operation) { enqueue(job, std::move(operation)); }),
      responder_(env, peers),
      record_writer_(env, settings, store, state_cache),
      queue_(env, store, state_cache,
             [this](const CommitQueueKey& key, std::size_t max_writes) {
                 executor_.commit_next(key, max_writes);
             }),
      executor_(env, settings, store, state_cache, cluster, queue_, record_writer_, *this) {}

void TaskCommitter::start() { forwarder_.start(); }

void TaskCommitter::commit_start(const TaskRef& task, const MachineId& machine, const std::string& zone,
                                 StartCallback on_result) {
    PendingOperation operation;
    operation.kind = OperationKind::start;
    operation.task = task.task;
    operation.machine = machine;
    operation.zone = zone;
    operation.on_result = std::move(on_result);
    accept(task.job, std::move(operation));
}

void TaskCommitter::commit_completion(const TaskRef& task, Attempt attempt, const MachineId& machine) {
    PendingOperation operation;
    operation.kind = OperationKind::completion;
    operation.task = task.task;
    operation.attempt = attempt;
    operation.machine = machine;
    accept(task.job, std::move(operation));
}

void TaskCommitter::commit_release(const TaskRef& task, Attempt attempt, const MachineId& machine,
                                   ReleaseReason reason) {
    PendingOperation operation;
    operation.kind = OperationKind::release;
    operation.task = task.task;
    operation.attempt = attempt;
    operation.machine = machine;
    operation.release_reason = reason;
    accept(task.job, std::move(operation));
}

bool TaskCommitter::has_pending_end(const TaskRef& task, Attempt attempt) const {
    return unfinished_operations_.contains({task, OperationKind::completion, attempt}) ||
           unfinished_operations_.contains({task, OperationKind::release, attempt});
}

// Forwards an operation of this node to the job's committer, or queues it here if this node is the committer
// or can't reach it.
void TaskCommitter::accept(const JobId& job, PendingOperation operation) {
    const auto term = cluster_.leader_term(operation.machine);
    // Workers repeat a task's status in each heartbeat until they are commanded to clear it, so duplicates of
    // an unfinished operation are dropped.
    if (!term ||
        !unfinished_operations_.insert({{job, operation.task}, operation.kind, operation.attempt}).second) {
        if (operation.on_result)
            env_.after(Duration(0), [on_result = std::move(operation.on_result)] { on_result(false); });
        return;
    }
    operation.term = *term;
    operation.accepted_at = env_.now();
    const Job* job_record = state_cache_.job(job);
    const NodeName committer = job_record != nullptr ? cluster_.committer_of(*job_record) : settings_.node;
    if (committer == settings_.node || !peers_.is_reachable(committer))
        return enqueue(job, std::move(operation));
    forwarder_.forward(committer, job, std::move(operation));
}

void TaskCommitter::enqueue(const JobId& job, PendingOperation operation) {
    ++pending_count_;
    queue_.add(job, std::move(operation));
}

void TaskCommitter::on_commit_request(const NodeName& from, const wire::CommitRequest& request) {
    const bool job_exists = state_cache_.job(request.job) != nullptr;
    for (const auto& requested : request.operations) {
        const ForwardedRequest forwarded_request{from, requested.request_id};
        const auto kind = operation_kind(requested.event);
        if (!job_exists || !kind || pending_count_ >= max_pending_operations) {
            responder_.add_result(forwarded_request, false);
            continue;
        }
        PendingOperation operation;
        operation.kind = *kind;
        operation.task = requested.task;
        operation.attempt = requested.attempt;
        operation.machine = requested.machine;
        operation.zone = requested.zone;
        operation.term = Term{requested.term};
        operation.accepted_at = env_.now();
        operation.forwarded_request = forwarded_request;
        enqueue(request.job, std::move(operation));
    }
}

void TaskCommitter::on_commit_response(const wire::CommitResponse& response) {
    apply_stored_records(state_cache_, response.records);
    for (auto& answered : forwarder_.take_answered_operations(response))
        deliver_result(answered.job, answered.operation, answered.is_committed);
}

void TaskCommitter::on_operation_finished(const JobId& job, PendingOperation& operation, bool is_committed) {
    --pending_count_;
    deliver_result(job, operation, is_committed);
}

void TaskCommitter::on_transaction_committed(const Transaction& transaction, Revision revision) {
    responder_.send_with_records(transaction, revision);
}

// Delivers an operation's result to its requester: through the responder for a forwarded operation, or
// through the operation's callback.
void TaskCommitter::deliver_result(const JobId& job, PendingOperation& operation, bool is_committed) {
    if (operation.forwarded_request) return responder_.add_result(*operation.forwarded_request, is_committed);
    finish_operation({{job, operation.task}, operation.kind, operation.attempt});
    if (operation.on_result)
        env_.after(Duration(0),
                   [on_result = std::move(operation.on_result), is_committed] { on_result(is_committed); });
}

// Forgets an operation that has a result. The result of a forwarded end may arrive before the record that
// shows the end, for example if an earlier commit of the end had succeeded without a response. Until the
// state cache contains all that was committed before the result, the end counts as pending: otherwise the
// attempt could be started again while its successor runs.
void TaskCommitter::finish_operation(const UnfinishedKey& key) {
    if (!is_end_of_placed_attempt(key)) {
        unfinished_operations_.erase(key);
        return;
    }
    cluster_.await_fresh_state([this, key](bool is_fresh) {
        if (is_fresh)
            unfinished_operations_.erase(key);
        else
            env_.after(fresh_state_retry_delay, [this, key] { finish_operation(key); });
    });
}

bool TaskCommitter::is_end_of_placed_attempt(const UnfinishedKey& key) const {
    const TaskState task = state_cache_.task(key.task);
    return key.kind != OperationKind::start && task.status == TaskState::Status::placed &&
           task.attempt == key.attempt;
}

void TaskCommitter::on_pages_resized(const JobId& id) { queue_.on_pages_resized(id); }

void TaskCommitter::close_job(const JobId& id) { record_writer_.close_job(id); }

double TaskCommitter::sample_write_demand() {
    const std::uint64_t total_written_pages = executor_.counts().written_pages;
    const std::uint64_t new_written_pages =
        total_written_pages - std::exchange(sampled_written_pages_, total_written_pages);
    const auto sample = static_cast<double>(queue_.queued_page_count() + new_written_pages);
    write_demand_ = demand_smoothing_factor * write_demand_ + (1 - demand_smoothing_factor) * sample;
    return write_demand_;
}

TaskCommitter::Counts TaskCommitter::counts() const {
    const CommitExecutor::Counts& executed = executor_.counts();
    const CommitForwarder::Counts& forwarding = forwarder_.counts();
    return {executed.sent_transactions,     executed.written_pages,         executed.committed_task_starts,
            executed.committed_task_ends,   executed.transaction_conflicts, forwarding.forwarded_operations,
            forwarding.reclaimed_operations};
}

}  // namespace zincdyke
