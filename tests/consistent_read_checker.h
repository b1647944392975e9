/// Checks that no controller answers anything older than what any controller has answered before.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fakes/simulated_deployment.h"

namespace zincdyke::testing {

/// Users who ask all controllers, again and again within milliseconds. What any controller had told them when
/// a question was sent is the least that its answer may say.
class ConsistentReadChecker {
  public:
    explicit ConsistentReadChecker(SimulatedDeployment& deployment) : deployment_(deployment) {}
    void poll_all(const std::string& id) {
        for (int n = 0; n < deployment_.controller_count(); ++n) send(n, id, {"GET", "/api/jobs/" + id, ""});
    }
    void resubmit(int n, const Json& body) {
        send(n, body["uid"].get<std::string>(), {"POST", "/api/jobs", body.dump()});
    }
    // Looks closely at these jobs for `for_s`: at each for a second after anything about it changed, and from
    // the end of its last task until it is told.
    void watch(const std::vector<Json>& jobs, double for_s) {
        const double end = deployment_.now() + for_s;
        for (int step = 0; deployment_.now() < end; ++step) {
            for (const auto& body : jobs) {
                const std::string id = body["uid"].get<std::string>();
                if (!changed_lately(id)) continue;
                poll_all(id);
                if (step % 10 == 0) resubmit(step / 10 % deployment_.controller_count(), body);
            }
            deployment_.run(0.02);
        }
    }
    std::string latest_known_state(const std::string& id) {
        std::string last_phase = deployment_.last_phase(id);
        if (last_phase == "done" || last_phase == "withdrawn") return last_phase;
        if (const auto known = told_.find(id); known != told_.end()) return known->second;
        return deployment_.is_accepted(id) ? "accepted" : "";
    }
    int successful_responses = 0,
        retry_responses = 0;          // by 200 and 201; and by any status that asks to come back
    double max_completion_lag_s = 0;  // from the end of a job's last task until any node told it

  private:
    void send(int n, const std::string& id, const HttpRequest& request) {
        const std::string name = deployment_.controller_name(n), known = latest_known_state(id);
        deployment_.network.send("users", name, [this, n, name, id, request, known] {
            if (!deployment_.is_running(n)) return;
            deployment_.controller(n).on_request(request, [this, name, id, known](const HttpResponse& r) {
                deployment_.network.send(name, "users",
                                         [this, name, id, known, r] { judge(name, id, known, r); });
            });
        });
    }
    void judge(const std::string& name, const std::string& id, const std::string& known,
               const HttpResponse& r) {
        const std::string what =
            id + " at " + name + ", known as '" + known + "': " + std::to_string(r.status) + " " + r.body;
        if (r.status >= 429) {
            ++retry_responses;
            return;
        }
        if (r.status != 200 && r.status != 201) {
            EXPECT_TRUE(known.empty()) << what;
            return;
        }
        ++successful_responses;
        const std::string phase = Json::parse(r.body).value("phase", "");
        const bool over = phase == "done" || phase == "withdrawn";
        EXPECT_TRUE((known != "done" && known != "withdrawn") || phase == known) << what;
        EXPECT_TRUE(phase != "done" || deployment_.checker.all_done(id)) << what;
        auto& told = told_[id];
        if (told != "done" && told != "withdrawn") told = over ? phase : "accepted";
    }
    bool changed_lately(const std::string& id) {
        Sight& sight = sights_[id];
        const std::string now = latest_known_state(id) + std::to_string(deployment_.checker.done_tasks(id));
        if (sight.what != now) sight = {now, deployment_.now()};
        const bool ended = deployment_.is_accepted(id) && deployment_.checker.all_done(id) &&
                           latest_known_state(id) == "accepted";
        if (ended) max_completion_lag_s = std::max(max_completion_lag_s, deployment_.now() - sight.since);
        return deployment_.is_accepted(id) && (ended || deployment_.now() - sight.since < 1);
    }
    struct Sight {
        std::string what;
        double since = 0;
    };
    SimulatedDeployment& deployment_;
    std::map<std::string, std::string> told_;  // "accepted" or a final state
    std::map<std::string, Sight> sights_;
};

}  // namespace zincdyke::testing
