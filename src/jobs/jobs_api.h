/// The HTTP API through which users submit, query and cancel jobs.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/env.h"
#include "cluster/cluster_coordinator.h"
#include "cluster/peer_channel.h"
#include "jobs/final_state_cache.h"
#include "jobs/job_routes.h"
#include "store/state_cache.h"
#include "store/store_client.h"

namespace zincdyke {

/// Handles the HTTP requests below /api/jobs. Responses reflect every change that any controller has reported
/// to a user before. Submissions and cancellations are confirmed only after they are committed to the
/// key-value store.
class JobsApi {
  public:
    /// Keeps all reference arguments; they must outlive this object.
    JobsApi(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
            ClusterCoordinator& cluster, PeerChannel& peers);

    /// Handles a request below /api/jobs; `reply` is called during this call or later from the event loop.
    /// Returns false, without calling `reply`, for any other path.
    [[nodiscard]] bool handle(const HttpRequest& request, const Reply& reply);
    /// Returns whether submissions can be validated, which requires that the state cache is loaded and
    /// contains the cloud's machine types.
    [[nodiscard]] bool ready() const;

  private:
    struct UnfinishedJob {
        Job job;  // the job without its pages
    };
    struct NoSuchJob {};
    struct LookupFailed {};
    // The result of looking up a job in the key-value store.
    using JobLookup = std::variant<LookupFailed, NoSuchJob, UnfinishedJob, FinalState>;
    using LookupCallback = std::function<void(const JobLookup&)>;
    // A submission in progress; its commit is retried until `deadline`.
    struct Submission {
        Job job;
        SteadyTime deadline;
        Reply reply;
    };
    // A cancellation in progress; its commit is retried until `deadline`.
    struct Cancellation {
        JobId id;
        SteadyTime deadline;
        Reply reply;
    };

    void dispatch(const JobTarget& target, const HttpRequest& request, const Reply& reply);
    void get(const JobId& id, const Reply& reply);
    void submit(const HttpRequest& request, const Reply& reply);
    void cancel(const Cancellation& cancellation);

    void look_up(const JobId& id, const LookupCallback& callback);
    void look_up_final_state(const JobId& id, const LookupCallback& callback);
    void reject_unless_exists(const JobId& id, const HttpResponse& rejection, const Reply& reply);
    std::optional<std::string> rejection_reason(const wire::JobSpec& spec) const;
    std::optional<std::string> expected_zone(const wire::JobSpec& spec) const;
    void commit_submission(const std::shared_ptr<const Submission>& submission);
    void on_submission_committed(const std::shared_ptr<const Submission>& submission, const Json& record,
                                 const CommitResult& result);
    void commit_cancellation(const Cancellation& cancellation, const Job& job);
    bool may_retry(SteadyTime deadline) const;

    HttpResponse job_response(const JobId& id, const JobLookup& lookup) const;
    HttpResponse unfinished_job_response(const JobId& id, bool is_cancelled) const;

    Env& env_;
    const Settings& settings_;
    StoreClient& store_;
    StateCache& state_cache_;
    ClusterCoordinator& cluster_;
    PeerChannel& peers_;
    FinalStateCache final_states_;
    std::size_t open_requests_ = 0;
};

}  // namespace zincdyke
