/// An environment for unit tests in which the test controls the clock and the HTTP responses.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/env.h"

namespace zincdyke::testing {

/// An Env whose timers run when the test advances the clock, and whose HTTP requests are kept until the test
/// answers them. Requests never time out.
class ManualEnv : public Env {
  public:
    /// An HTTP request and the callback for its response.
    struct Request {
        HttpRequest http;
        Reply reply;
    };

    SteadyTime now() override { return now_; }
    WallTime wall() override { return {}; }
    TimerId after(Duration delay, std::function<void()> callback) override {
        timers_.emplace(std::pair{now_ + std::max(delay, Duration(0)), ++last_timer_}, std::move(callback));
        return last_timer_;
    }
    void cancel(TimerId id) override {
        std::erase_if(timers_, [&](const auto& timer) { return timer.first.second == id; });
    }
    void http(const std::string&, HttpRequest request, Duration, Reply reply) override {
        requests.push_back({std::move(request), std::move(reply)});
    }
    void send_peer(const NodeName&, std::string) override {}
    std::mt19937_64& rng() override { return rng_; }

    /// Advances the clock by `duration` and runs the timers that expire, in order of expiry.
    void run_for(Duration duration) {
        const SteadyTime end = now_ + duration;
        while (!timers_.empty() && timers_.begin()->first.first <= end) {
            now_ = std::max(now_, timers_.begin()->first.first);
            const auto callback = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            callback();
        }
        now_ = end;
    }
    /// Advances the clock without running timers, to simulate a stalled process.
    void stall(Duration duration) { now_ += duration; }

    /// Returns the number of unanswered requests whose path starts with `path_prefix`.
    [[nodiscard]] std::size_t pending_requests(const std::string& path_prefix) const {
        return static_cast<std::size_t>(std::count_if(
            requests.begin(), requests.end(),
            [&](const Request& request) { return request.http.path.rfind(path_prefix, 0) == 0; }));
    }
    /// Answers the oldest request whose path starts with `path_prefix`, and returns that request. Fails the
    /// test if there is none.
    HttpRequest answer(const std::string& path_prefix, int status, std::string body = "{}") {
        const auto found = std::find_if(requests.begin(), requests.end(), [&](const Request& request) {
            return request.http.path.rfind(path_prefix, 0) == 0;
        });
        if (found == requests.end()) {
            ADD_FAILURE() << "no pending request whose path starts with " << path_prefix;
            return {};
        }
        const Request request = std::move(*found);
        requests.erase(found);
        request.reply({status, std::move(body), -1});
        return request.http;
    }

    std::vector<Request> requests;  // unanswered requests, oldest first

  private:
    SteadyTime now_{std::chrono::seconds(1000)};
    std::map<std::pair<SteadyTime, TimerId>, std::function<void()>> timers_;
    TimerId last_timer_ = 0;
    std::mt19937_64 rng_{1};
};

}  // namespace zincdyke::testing
