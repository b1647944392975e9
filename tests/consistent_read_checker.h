/// Checks that reads of job states are consistent across controllers.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fakes/simulated_deployment.h"

namespace zincdyke::testing {

/// Polls jobs at all controllers every few milliseconds and fails the test if a response is stale: a response
/// must be at least as recent as every response that any controller had given when the request was sent.
class ConsistentReadChecker {
  public:
    explicit ConsistentReadChecker(SimulatedDeployment& deployment) : deployment_(deployment) {}
    /// Requests the job's state from all controllers.
    void poll_all(const std::string& id) {
        for (int controller = 0; controller < deployment_.controller_count(); ++controller)
            send(controller, id, {"GET", "/api/jobs/" + id, ""});
    }
    /// Submits the job again to a controller.
    void resubmit(int controller, const Json& body) {
        send(controller, body["uid"].get<std::string>(), {"POST", "/api/jobs", body.dump()});
    }
    /// Runs the simulation for `duration_s` and polls each job every 20 ms for a second after its state
    /// changed, and from the end of its last task until a controller reports its final state.
    void watch(const std::vector<Json>& jobs, double duration_s) {
        const double end = deployment_.now() + duration_s;
        for (int step = 0; deployment_.now() < end; ++step) {
            for (const auto& body : jobs) {
                const std::string id = body["uid"].get<std::string>();
                if (!needs_polling(id)) continue;
                poll_all(id);
                if (step % 10 == 0) resubmit(step / 10 % deployment_.controller_count(), body);
            }
            deployment_.run(0.02);
        }
    }
    /// Returns the latest state of the job that a user has received: a final phase, "accepted", or empty.
    std::string latest_known_state(const std::string& id) {
        std::string last_phase = deployment_.last_phase(id);
        if (last_phase == "done" || last_phase == "withdrawn") return last_phase;
        if (const auto known_state = latest_states_.find(id); known_state != latest_states_.end())
            return known_state->second;
        return deployment_.is_accepted(id) ? "accepted" : "";
    }
    /// Number of responses with status 200 or 201.
    int successful_responses = 0;
    /// Number of responses with a status of 429 or above, after which a client retries.
    int retry_responses = 0;
    /// Maximum time from the end of a job's last task until a controller reported its final state.
    double max_completion_lag_s = 0;

  private:
    /// Sends a request to a controller, and checks the response when it arrives.
    void send(int controller, const std::string& id, const HttpRequest& request) {
        const std::string name = deployment_.controller_name(controller),
                          known_state = latest_known_state(id);
        deployment_.network.send("users", name, [this, controller, name, id, request, known_state] {
            if (!deployment_.is_running(controller)) return;
            deployment_.controller(controller)
                .on_request(request, [this, name, id, known_state](const HttpResponse& response) {
                    deployment_.network.send(name, "users", [this, name, id, known_state, response] {
                        check_response(name, id, known_state, response);
                    });
                });
        });
    }
    void check_response(const std::string& name, const std::string& id, const std::string& known_state,
                        const HttpResponse& response) {
        const std::string description = id + " at " + name + ", latest known state '" + known_state +
                                        "': " + std::to_string(response.status) + " " + response.body;
        if (response.status >= 429) {
            ++retry_responses;
            return;
        }
        if (response.status != 200 && response.status != 201) {
            EXPECT_TRUE(known_state.empty()) << description;
            return;
        }
        ++successful_responses;
        const std::string phase = Json::parse(response.body).value("phase", "");
        const bool is_final = phase == "done" || phase == "withdrawn";
        EXPECT_TRUE((known_state != "done" && known_state != "withdrawn") || phase == known_state)
            << description;
        EXPECT_TRUE(phase != "done" || deployment_.checker.all_done(id)) << description;
        auto& latest_state = latest_states_[id];
        if (latest_state != "done" && latest_state != "withdrawn")
            latest_state = is_final ? phase : "accepted";
    }
    /// Returns whether the job's state changed within the last second, or its final state is still unreported
    /// after the end of its last task.
    bool needs_polling(const std::string& id) {
        Observation& observation = observations_[id];
        const std::string now = latest_known_state(id) + std::to_string(deployment_.checker.done_tasks(id));
        if (observation.state != now) observation = {now, deployment_.now()};
        const bool awaits_final_state = deployment_.is_accepted(id) && deployment_.checker.all_done(id) &&
                                        latest_known_state(id) == "accepted";
        if (awaits_final_state)
            max_completion_lag_s = std::max(max_completion_lag_s, deployment_.now() - observation.since);
        return deployment_.is_accepted(id) &&
               (awaits_final_state || deployment_.now() - observation.since < 1);
    }
    /// The last state change that was observed of a job.
    struct Observation {
        std::string state;
        double since = 0;
    };
    SimulatedDeployment& deployment_;
    std::map<std::string, std::string> latest_states_;  // "accepted" or a final phase, by job
    std::map<std::string, Observation> observations_;
};

}  // namespace zincdyke::testing
