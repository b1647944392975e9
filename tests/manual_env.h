/// A world for tests of single classes: the test moves the clock and answers the requests.
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

/// Runs timers when the test moves the clock, and keeps HTTP requests until the test answers them. Requests
/// never time out by themselves.
class ManualEnv : public Env {
  public:
    struct Request {
        HttpRequest http;
        Reply reply;
    };

    SteadyTime now() override { return now_; }
    WallTime wall() override { return {}; }
    TimerId after(Duration delay, std::function<void()> fn) override {
        timers_.emplace(std::pair{now_ + std::max(delay, Duration(0)), ++last_timer_}, std::move(fn));
        return last_timer_;
    }
    void cancel(TimerId id) override {
        std::erase_if(timers_, [&](const auto& timer) { return timer.first.second == id; });
    }
    void http(const std::string&, HttpRequest request, Duration, Reply done) override {
        requests.push_back({std::move(request), std::move(done)});
    }
    void send_peer(const NodeName&, std::string) override {}
    std::mt19937_64& rng() override { return rng_; }

    /// Runs what is due until then, in order.
    void run_for(Duration duration) {
        const SteadyTime end = now_ + duration;
        while (!timers_.empty() && timers_.begin()->first.first <= end) {
            now_ = std::max(now_, timers_.begin()->first.first);
            const auto fn = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            fn();
        }
        now_ = end;
    }
    /// Moves the clock and runs nothing: the process gets no processor time.
    void stall(Duration duration) { now_ += duration; }

    /// How many unanswered requests there are whose path begins so.
    [[nodiscard]] std::size_t pending_requests(const std::string& path) const {
        return static_cast<std::size_t>(
            std::count_if(requests.begin(), requests.end(),
                          [&](const Request& request) { return request.http.path.rfind(path, 0) == 0; }));
    }
    /// Answers the oldest request whose path begins so, and returns it.
    HttpRequest answer(const std::string& path, int status, std::string body = "{}") {
        const auto found = std::find_if(requests.begin(), requests.end(), [&](const Request& request) {
            return request.http.path.rfind(path, 0) == 0;
        });
        if (found == requests.end()) {
            ADD_FAILURE() << "no request for " << path;
            return {};
        }
        const Request request = std::move(*found);
        requests.erase(found);
        request.reply({status, std::move(body), -1});
        return request.http;
    }

    std::vector<Request> requests;  // not answered yet, oldest first

  private:
    SteadyTime now_{std::chrono::seconds(1000)};
    std::map<std::pair<SteadyTime, TimerId>, std::function<void()>> timers_;
    TimerId last_timer_ = 0;
    std::mt19937_64 rng_{1};
};

}  // namespace zincdyke::testing
