/// The users' interface: submissions, questions and cancellations of jobs.
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

/// Answers the requests below /api/jobs from the key-value store: what a user is told holds whichever
/// controller is asked next. Submissions and cancellations are answered once they are committed.
class JobsApi {
  public:
    JobsApi(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
            ClusterCoordinator& cluster, PeerChannel& peers);

    /// Handles paths below /api/jobs, and answers now or later; false when the path is none of them.
    [[nodiscard]] bool handle(const HttpRequest& request, const Reply& reply);
    /// Whether submissions can be judged: the state is loaded, and the machine types are known.
    [[nodiscard]] bool ready() const;

  private:
    // What the key-value store says of a job.
    struct LiveJob {
        Job job;  // its pages are not filled in
    };
    struct NoSuchJob {};
    struct LookupFailed {};
    using JobLookup = std::variant<LookupFailed, NoSuchJob, LiveJob, FinalState>;
    using OnLookup = std::function<void(const JobLookup&)>;
    // A submission and a cancellation under way; each is tried again until `give_up_at`.
    struct Submission {
        Job job;
        SteadyTime give_up_at;
        Reply reply;
    };
    struct Cancellation {
        JobId id;
        SteadyTime give_up_at;
        Reply reply;
    };

    void dispatch(const JobTarget& target, const HttpRequest& request, const Reply& reply);
    void get(const JobId& id, const Reply& reply);
    void submit(const HttpRequest& request, const Reply& reply);
    void cancel(const Cancellation& cancellation);

    void look_up(const JobId& id, const OnLookup& done);
    void look_up_final(const JobId& id, const OnLookup& done);
    void answer_known_or(const JobId& id, const HttpResponse& rejection, const Reply& reply);
    std::optional<std::string> reason_never_runs(const wire::JobSpec& spec) const;
    std::optional<std::string> expected_zone(const wire::JobSpec& spec) const;
    void commit_submission(const std::shared_ptr<const Submission>& submission);
    void on_submission_committed(const std::shared_ptr<const Submission>& submission, const Json& record,
                                 const CommitResult& result);
    void commit_cancellation(const Cancellation& cancellation, const Job& job);
    bool may_retry(SteadyTime give_up_at) const;

    HttpResponse answer(const JobId& id, const JobLookup& lookup) const;
    HttpResponse live_answer(const JobId& id, bool is_cancelled) const;

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
