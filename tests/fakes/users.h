/// The simulated users of the jobs API.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/env.h"
#include "fakes/controller_hosts.h"
#include "fakes/history_checker.h"
#include "fakes/message_faults.h"
#include "fakes/submitted_jobs.h"

namespace zincdyke::testing {

/// Submit, poll and cancel jobs at any controller, and retry as users do. Every answer goes to the checker.
class FakeUsers {
  public:
    FakeUsers(SimulatedClock& clock, RandomSource& random, FakeNetwork& network, const MessageFaults& faults,
              ControllerHosts& controllers, HistoryChecker& checker)
        : clock_(clock),
          random_(random),
          network_(network),
          faults_(faults),
          controllers_(controllers),
          checker_(checker) {}

    static constexpr int any_controller = -1;

    /// Submits the job, and repeats that each second until the answer is final.
    void submit(const Json& body, int controller = any_controller);
    /// Asks once for the job's state; not while a cancellation is under way.
    void poll(const std::string& id, int controller = any_controller);
    /// Cancels the job in 2 s, and repeats that each second until the answer is final.
    void cancel(const std::string& id, int controller = any_controller);

    /// The phase that a user was answered last; empty: none yet.
    [[nodiscard]] std::string last_phase(const std::string& id) const;
    [[nodiscard]] bool is_accepted(const std::string& id) const;
    [[nodiscard]] bool is_cancelling(const std::string& id) const { return cancelling_.contains(id); }
    [[nodiscard]] const SubmittedJobs& jobs() const { return jobs_; }
    /// The longest that a user waited for an answer, in seconds.
    [[nodiscard]] double max_response_time_s() const { return max_response_time_s_; }

  private:
    enum class Kind { submit, poll, cancel };
    struct Request {
        Kind kind = Kind::poll;
        std::string job;
        HttpRequest http;
        int controller = any_controller;
        int tries_left = 1;
    };
    /// One try of a request.
    struct Try {
        Request request;
        std::size_t host = 0;
        double sent_at = 0;
        std::shared_ptr<bool> answered = std::make_shared<bool>(false);  // or timed out
    };
    static bool is_retried(const Request& request) { return request.kind != Kind::poll; }
    void send(const Request& request);
    void retry_later(const Request& request);
    void deliver(const Try& attempt);
    void on_response(const Try& attempt, const HttpResponse& response);
    /// The request arrives once more at any controller; only the checker sees the response.
    void duplicate(const Request& request);

    SimulatedClock& clock_;
    RandomSource& random_;
    FakeNetwork& network_;
    const MessageFaults& faults_;
    ControllerHosts& controllers_;
    HistoryChecker& checker_;
    SubmittedJobs jobs_;
    std::map<std::string, std::string> last_phases_;
    std::set<std::string> cancelling_;
    double max_response_time_s_ = 0;
};

}  // namespace zincdyke::testing
