/// Sends requests to the key-value store in the order of their priorities, as the request budget allows.
#pragma once
#include <array>
#include <cstdint>
#include <deque>

#include "base/env.h"
#include "base/settings.h"
#include "base/types.h"
#include "store/request_budget.h"
#include "store/store_requests.h"

namespace zincdyke {

/// Tracks whether the key-value store responds to this node. Other nodes may have a different result.
class StoreReachability {
  public:
    /// Records that the store responded to a request.
    void record_success();
    /// Records that the store did not respond (`status` 0) or responded that it is unavailable.
    void record_failure(SteadyTime now, int status);
    [[nodiscard]] bool is_reachable() const { return consecutive_failures_ < max_consecutive_failures; }
    /// How long the store has been unreachable; 0 if it is reachable.
    [[nodiscard]] Duration unreachable_for(SteadyTime now) const;

  private:
    static constexpr int max_consecutive_failures = 2;
    int consecutive_failures_ = 0;
    SteadyTime unreachable_since_{};
};

/// Requests waiting for the request budget, in one queue per priority.
///
/// A request that has waited for 2.5 s, or finds its queue full or the store unreachable, is not sent and
/// completes with status 429 or 503. The `done` callback of every request is called once, on the event-loop
/// thread and never from within a member function. The queue must outlive the requests that it has sent.
class RequestQueue {
  public:
    struct Request {
        HttpRequest http;
        /// Number of records that the request writes, which is taken from the write budget.
        double write_count = 0;
        /// Maximum time from sending the request to its response.
        Duration timeout;
        Reply done;
    };
    /// Totals of this node's requests to the key-value store since the process started.
    struct Counts {
        /// Requests sent, and the writes in them, indexed by priority.
        std::array<std::uint64_t, request_priority_count> sent_requests{}, sent_writes{};
        std::uint64_t watch_requests = 0, watch_response_bytes = 0;
        std::uint64_t rate_limited_requests = 0;  ///< requests that the store rejected with status 429
        std::uint64_t unsent_requests = 0;        ///< requests that this node completed without sending them
    };

    /// `env` and `settings` must outlive the queue.
    RequestQueue(Env& env, const Settings& settings);

    /// Queues a request and sends it when the request budget allows.
    void submit(RequestPriority priority, Request request);
    /// Sends a watch request immediately, without queueing. Its result does not affect `reachability()`,
    /// because the store delays the response on purpose.
    void send_watch(HttpRequest http, Duration timeout, Reply done);

    [[nodiscard]] RequestBudget& budget() { return budget_; }
    [[nodiscard]] const StoreReachability& reachability() const { return reachability_; }
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    struct QueuedRequest {
        Request request;
        SteadyTime deadline;
    };
    void dispatch();
    void dispatch(RequestPriority priority, SteadyTime now);
    void schedule_dispatch(Duration delay);
    void complete_unsent(Reply done, HttpResponse response);
    void send(Request request);
    void on_response(double write_count, const HttpResponse& response);

    Env& env_;
    const Settings& settings_;
    RequestBudget budget_;
    StoreReachability reachability_;
    std::array<std::deque<QueuedRequest>, request_priority_count> queues_;
    Env::TimerId dispatch_timer_ = 0;  // timer of the next dispatch; 0 if none is scheduled
    Counts counts_;
};

}  // namespace zincdyke
