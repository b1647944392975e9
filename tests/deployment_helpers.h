/// Helpers for tests that use a simulated deployment.
#pragma once
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "fakes/simulated_deployment.h"

namespace zincdyke::testing {

/// Returns the id of the job with the given number.
inline std::string job_id(int n) {
    char text[32];
    std::snprintf(text, sizeof text, "job-%06d", n);
    return text;
}

/// Polls the jobs every 2 s until users have received the final state of each job. After `timeout_s` seconds
/// it fails the test with a description of each unfinished job and returns false.
inline bool all_reach_final_state(SimulatedDeployment& deployment, const std::vector<std::string>& ids,
                                  double timeout_s) {
    double end = deployment.now() + timeout_s;
    for (;;) {
        bool all = true;
        for (const auto& id : ids) {
            if (deployment.last_phase(id) == "done" || deployment.last_phase(id) == "withdrawn") continue;
            all = false;
            if (deployment.is_accepted(id)) deployment.poll(id);
        }
        if (all) return true;
        if (deployment.now() > end) {
            for (const auto& id : ids)
                if (deployment.last_phase(id) != "done" && deployment.last_phase(id) != "withdrawn")
                    ADD_FAILURE() << id << " accepted " << deployment.is_accepted(id) << " last phase '"
                                  << deployment.last_phase(id) << "' store: "
                                  << (deployment.store.data.contains("z/j/" + id)
                                          ? deployment.store.data["z/j/" + id].value.dump()
                                          : "-")
                                  << (deployment.store.data.contains("z/t/" + id + "/0")
                                          ? deployment.store.data["z/t/" + id + "/0"].value.dump()
                                          : "-")
                                  << deployment.store.data.contains("f/" + id)
                                  << " status at each controller: " <<
                        [&] {
                            std::string answers;
                            for (int n = 0; n < deployment.controller_count(); ++n)
                                answers += deployment.is_running(n)
                                               ? std::to_string(
                                                     deployment.request(n, "GET", "/api/jobs/" + id).status) +
                                                     " "
                                               : "down ";
                            return answers;
                        }() << (deployment.users.is_cancelling(id) ? "cancellation without a response" : "");
            return false;
        }
        deployment.run(2);
    }
}

/// Checks that the HistoryChecker found no violation and that no write was over the store's size limits.
inline void expect_no_violations(SimulatedDeployment& deployment) {
    deployment.checker.finish();
    for (const auto& violation : deployment.checker.violations) ADD_FAILURE() << violation;
    EXPECT_EQ(deployment.store.oversized_write, "");
}

/// Submits `jobs` jobs with consecutive numbers from `first` on, each with `tasks` tasks. Returns their ids.
inline std::vector<std::string> submit_jobs(SimulatedDeployment& deployment, int first, int jobs, int tasks,
                                            double run_s = 6) {
    std::vector<std::string> ids;
    for (int i = 0; i < jobs; ++i) {
        ids.push_back(job_id(first + i));
        deployment.submit(deployment.job(ids.back(), tasks, 1, run_s));
    }
    return ids;
}

/// Checks that the deployment recovers after the last fault: users receive the final state of all jobs within
/// `timeout_s` seconds, the quality of service is sufficient, and no guarantee was violated.
inline void expect_recovery(SimulatedDeployment& deployment, const std::vector<std::string>& ids,
                            double timeout_s = 200) {
    deployment.checker.faults_ended_at = deployment.now();
    EXPECT_TRUE(all_reach_final_state(deployment, ids, timeout_s));
    deployment.checker.check_service_quality();
    expect_no_violations(deployment);
}

inline DeploymentOptions options_with_seed(std::uint64_t seed, std::vector<std::string> zones = {"a"}) {
    DeploymentOptions options;
    options.seed = seed;
    options.zones = std::move(zones);
    return options;
}

/// Returns the first running controller, in cyclic order starting with `from`.
inline int first_running_controller(SimulatedDeployment& deployment, int from = 0) {
    while (!deployment.is_running(from % deployment.controller_count())) ++from;
    return from % deployment.controller_count();
}

/// Returns the number of the autoscaler leader; -1: unknown.
inline int autoscaler_leader(SimulatedDeployment& deployment) {
    const std::string name =
        deployment.controller(first_running_controller(deployment)).state_cache().autoscaler_leader().value();
    for (int n = 0; n < deployment.controller_count(); ++n)
        if (deployment.controller_name(n) == name) return n;
    return -1;
}

/// Returns the number of the controller that leads a machine; -1: none.
inline int leader_of(SimulatedDeployment& deployment, const std::string& machine) {
    for (int n = 0; n < deployment.controller_count(); ++n)
        if (deployment.is_running(n) &&
            deployment.controller(n).cluster().leader_term(zincdyke::MachineId(machine)))
            return n;
    return -1;
}

/// Returns the number of the jobs' tasks that are on the machines and have not ended.
inline int tasks_on_machines(SimulatedDeployment& deployment, const std::vector<std::string>& machines,
                             const std::set<std::string>& jobs) {
    int n = 0;
    for (const auto& id : machines) {
        const auto found = deployment.workers.all().find(id);
        if (found == deployment.workers.all().end()) continue;
        for (const auto& [key, t] : found->second.tasks)
            n += jobs.contains(t.job) && t.phase != "ended" ? 1 : 0;
    }
    return n;
}

inline void poll_accepted(SimulatedDeployment& deployment, const std::vector<std::string>& ids) {
    for (const auto& id : ids)
        if (deployment.is_accepted(id)) deployment.poll(id);
}

/// Checks that every controller counts no quota usage for the teams, after the end of all their tasks.
inline void expect_no_quota_in_use(SimulatedDeployment& deployment, const std::vector<std::string>& teams) {
    deployment.run(3);
    for (int n = 0; n < deployment.controller_count(); ++n)
        for (const auto& team : teams)
            EXPECT_EQ(deployment.controller(n).state_cache().quota_usage(zincdyke::TeamName(team)).cpu, 0)
                << team << " at " << n;
}

inline void set_links(SimulatedDeployment& deployment, const std::string& node,
                      const std::vector<std::string>& machines, LinkState state) {
    for (const auto& id : machines) deployment.set_link(node, id, state);
}

inline std::vector<std::string> machine_ids(SimulatedDeployment& deployment) {
    std::vector<std::string> out;
    for (const auto& [id, m] : deployment.workers.all()) out.push_back(id);
    return out;
}

}  // namespace zincdyke::testing
