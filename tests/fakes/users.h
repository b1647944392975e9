/// Simulated users of the jobs API.
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

/// Simulated users that submit, poll and cancel jobs at any controller and retry failed requests. Every
/// response is reported to the HistoryChecker.
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

    /// Selects a random controller for each attempt.
    static constexpr int any_controller = -1;

    /// Submits a job. Retries 1 s after a timeout or a retryable error, up to 60 attempts.
    void submit(const Json& body, int controller = any_controller);
    /// Requests the job's state once. Sends no request while a cancellation of the job is in progress.
    void poll(const std::string& id, int controller = any_controller);
    /// Cancels a job after 2 s. Retries 1 s after a timeout or a retryable error, up to 60 attempts.
    void cancel(const std::string& id, int controller = any_controller);

    /// Returns the job's phase in the last response that a user received; empty: no response yet.
    [[nodiscard]] std::string last_phase(const std::string& id) const;
    [[nodiscard]] bool is_accepted(const std::string& id) const;
    [[nodiscard]] bool is_cancelling(const std::string& id) const { return cancelling_.contains(id); }
    [[nodiscard]] const SubmittedJobs& jobs() const { return jobs_; }
    /// Returns the longest time that a user waited for a response, in seconds.
    [[nodiscard]] double max_response_time_s() const { return max_response_time_s_; }

  private:
    enum class RequestKind { submit, poll, cancel };
    struct Request {
        RequestKind kind = RequestKind::poll;
        std::string job;
        HttpRequest http;
        int controller = any_controller;
        int attempts_left = 1;
    };
    /// One attempt to send a request.
    struct Attempt {
        Request request;
        std::size_t host = 0;
        double sent_at = 0;
        std::shared_ptr<bool> is_completed =
            std::make_shared<bool>(false);  // true after the attempt got a response or timed out
    };
    static bool is_retried(const Request& request) { return request.kind != RequestKind::poll; }
    void send(const Request& request);
    void retry_later(const Request& request);
    void deliver(const Attempt& attempt);
    void on_response(const Attempt& attempt, const HttpResponse& response);
    /// Delivers a duplicate of a request to a random controller. Only the HistoryChecker receives the
    /// response.
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
