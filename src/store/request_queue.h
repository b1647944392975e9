/// Sends requests to the key-value store within the budget, the most urgent first.
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

/// Whether the store answers this node. Whether it answers others can't be told from here.
class StoreReachability {
  public:
    /// What came of a request.
    void record_success();
    void record_failure(SteadyTime now, int status);
    [[nodiscard]] bool is_reachable() const { return failures_ < max_failures; }
    /// For how long it has been out of reach.
    [[nodiscard]] Duration unreachable_for(SteadyTime now) const;

  private:
    static constexpr int max_failures = 2;  // in a row
    int failures_ = 0;
    SteadyTime unreachable_since_{};
};

/// Requests that wait for the budget, one queue for each priority.
///
/// A request that has waited for 2.5 s, or finds its queue full or the store out of reach, is answered as if
/// the store had carried nothing out; so every request is answered, once, from the event loop and never from
/// within a call. Must outlive the requests that it has sent.
class RequestQueue {
  public:
    struct Request {
        HttpRequest http;
        /// How many records it writes: a count, in the unit of the budget.
        double writes = 0;
        /// From when it is sent.
        Duration timeout;
        Reply done;
    };
    /// Since the start.
    struct Counts {
        std::array<std::uint64_t, priority_count> requests{}, writes{};
        std::uint64_t watches = 0, watch_bytes = 0;
        std::uint64_t rate_limited = 0;  ///< by the store, for their rate (429)
        std::uint64_t load_shed = 0;     ///< by this node, and not sent
    };

    /// Both must outlive the queue.
    RequestQueue(Env& env, const Settings& settings);

    void submit(RequestPriority priority, Request request);
    /// Sends a watch past the queues: it waits on purpose, and its silence says nothing about the store.
    void send_watch(HttpRequest http, Duration timeout, Reply done);

    [[nodiscard]] RequestBudget& budget() { return budget_; }
    [[nodiscard]] const StoreReachability& reachability() const { return reachability_; }
    [[nodiscard]] const Counts& counts() const { return counts_; }

  private:
    struct Waiting {
        Request request;
        SteadyTime deadline;
    };
    void pump();
    void pump(RequestPriority priority, SteadyTime now);
    void pump_after(Duration wait);
    void shed(Reply done, HttpResponse response);
    void send(Request request);
    void on_response(double writes, const HttpResponse& response);

    Env& env_;
    const Settings& settings_;
    RequestBudget budget_;
    StoreReachability reachability_;
    std::array<std::deque<Waiting>, priority_count> queues_;
    Env::TimerId timer_ = 0;  // of the next pump; 0: none
    Counts counts_;
};

}  // namespace zincdyke
