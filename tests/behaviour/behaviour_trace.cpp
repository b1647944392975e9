// Runs seeded scenarios and writes a trace file with the messages of each scenario. See
// tests/compare_behaviour.sh.
#include <spdlog/spdlog.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/simulated_deployment.h"

namespace zincdyke::testing {
namespace {

constexpr double fault_start_s = 20, fault_duration_s = 25, default_duration_s = 220;

/// A named run of a simulated deployment with its options, faults and duration.
struct Scenario {
    std::string name;
    /// Changes the deployment's options; empty: the default options are used.
    std::function<void(DeploymentOptions&)> configure;
    /// Schedules the scenario's faults and additional jobs. The common jobs are already scheduled.
    std::function<void(SimulatedDeployment&)> schedule;
    double duration_s = default_duration_s;
};

std::string job_id(int number) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "job-%06d", number);
    return text.data();
}

std::string machine_id(int number) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "host-%06d", number);
    return text.data();
}

Json gang(SimulatedDeployment& deployment, int number, int tasks, double cpu, double run_s) {
    Json body = deployment.job(job_id(number), tasks, cpu, run_s);
    body["shape"] = "group";
    body["rank"] = "high";
    return body;
}

Json service(SimulatedDeployment& deployment, int number, int replicas) {
    Json body = deployment.job(job_id(number), replicas, 1, 1e6);
    body["shape"] = "service";
    body["rank"] = "critical";
    body["guess_s"] = 0;
    body["loaners"] = false;
    return body;
}

/// Submits a job after `delay` seconds and polls it every 3 s until a user receives its final state.
void submit_at(SimulatedDeployment& deployment, double delay, const Json& body) {
    deployment.after(delay, [&deployment, body] {
        deployment.submit(body);
        const auto poll_again = std::make_shared<std::function<void()>>();
        // The weak reference avoids a cycle: the pending event owns the function.
        *poll_again = [&deployment, id = body["uid"].get<std::string>(),
                       weak = std::weak_ptr<std::function<void()>>(poll_again)] {
            if (deployment.last_phase(id) == "done" || deployment.last_phase(id) == "withdrawn") return;
            if (deployment.is_accepted(id)) deployment.poll(id);
            if (const auto self = weak.lock()) deployment.after(3, [self] { (*self)(); });
        };
        deployment.after(3, [poll_again] { (*poll_again)(); });
    });
}

/// Submits the common jobs of all scenarios during the first 135 s: job arrays of several sizes, teams
/// and images, and some gangs.
void submit_common_jobs(SimulatedDeployment& deployment) {
    const std::vector<int> sizes{1, 4, 12, 2, 30, 7, 1, 18, 3, 110, 5, 9};
    for (int i = 0; i < 60; ++i) {
        const int tasks = sizes[static_cast<std::size_t>(i) % sizes.size()];
        Json body = i % 6 == 4 ? gang(deployment, i, 2 + i % 5, 1 + i % 2, 10 + i % 7)
                               : deployment.job(job_id(i), tasks, tasks > 50 ? 0.25 : 1, 4 + (i * 5) % 17,
                                                i % 5 == 3 ? "blue" : "red");
        body["cask"] = "img-" + std::to_string(i % 4);
        body["loaners"] = i % 3 != 0;
        if (i % 7 == 2) body["rank"] = "high";
        submit_at(deployment, 3 + 2.2 * i, body);
    }
}

/// The parties to which a controller's links are changed.
enum class PartyGroup { state, workers, peers, everything };

/// Sets a controller's links to all parties of a group.
void set_links(SimulatedDeployment& deployment, int controller, PartyGroup group, LinkState link) {
    const std::string name = deployment.controller_name(controller);
    const bool all_groups = group == PartyGroup::everything;
    if (all_groups || group == PartyGroup::state) deployment.set_link(name, "state", link);
    if (all_groups || group == PartyGroup::peers)
        for (int other = 0; other < deployment.controller_count(); ++other)
            if (other != controller) deployment.set_link(name, deployment.controller_name(other), link);
    if (all_groups || group == PartyGroup::workers)
        for (int number = 1; number <= 200; ++number) deployment.set_link(name, machine_id(number), link);
    if (!all_groups) return;
    deployment.set_link(name, "cloud", link);
    deployment.set_link(name, "users", link);
}

/// Starts a fault at `fault_start_s` by calling `begin`, and ends it `fault_duration_s` later by calling
/// `end`.
void inject_fault(SimulatedDeployment& deployment, const std::function<void()>& begin,
                  const std::function<void()>& end) {
    deployment.after(fault_start_s, begin);
    deployment.after(fault_start_s + fault_duration_s, end);
}

/// Crashes a controller at time `crash_at_s` and starts it again after `down_s` seconds.
void crash_for(SimulatedDeployment& deployment, int controller, double crash_at_s, double down_s) {
    deployment.after(crash_at_s, [&deployment, controller] { deployment.crash_controller(controller); });
    deployment.after(crash_at_s + down_s,
                     [&deployment, controller] { deployment.start_controller(controller); });
}

Scenario partition(const std::string& group_name, PartyGroup group, int controller, LinkState link) {
    const std::string link_name = link == LinkState::hold ? "held" : "dropped";
    return {
        "partition_" + group_name + "_n" + std::to_string(controller) + "_" + link_name,
        {},
        [group, controller, link](SimulatedDeployment& deployment) {
            inject_fault(
                deployment,
                [&deployment, group, controller, link] { set_links(deployment, controller, group, link); },
                [&deployment, group, controller] {
                    set_links(deployment, controller, group, LinkState::up);
                });
        }};
}

void add_partitions(std::vector<Scenario>& all) {
    for (int controller = 0; controller < 3; ++controller) {
        all.push_back(partition("state", PartyGroup::state, controller, LinkState::drop));
        all.push_back(partition("workers", PartyGroup::workers, controller, LinkState::drop));
        all.push_back(partition("peers", PartyGroup::peers, controller, LinkState::drop));
        all.push_back(partition("everything", PartyGroup::everything, controller, LinkState::drop));
    }
    all.push_back(partition("state", PartyGroup::state, 0, LinkState::hold));
    all.push_back(partition("peers", PartyGroup::peers, 1, LinkState::hold));
    all.push_back(partition("workers", PartyGroup::workers, 2, LinkState::hold));
    all.push_back(partition("everything", PartyGroup::everything, 1, LinkState::hold));
}

void add_controller_faults(std::vector<Scenario>& all) {
    for (int controller = 0; controller < 3; ++controller)
        all.push_back(
            {"crash_n" + std::to_string(controller), {}, [controller](SimulatedDeployment& deployment) {
                 crash_for(deployment, controller, fault_start_s, fault_duration_s);
             }});
    all.push_back({"freeze", {}, [](SimulatedDeployment& deployment) {
                       deployment.after(fault_start_s, [&deployment] { deployment.freeze_controller(0, 8); });
                       deployment.after(60, [&deployment] { deployment.freeze_controller(1, 20); });
                   }});
}

void add_store_faults(std::vector<Scenario>& all) {
    all.push_back({"state_refuses_one", {}, [](SimulatedDeployment& deployment) {
                       inject_fault(
                           deployment, [&deployment] { deployment.store.rejected_clients.insert("n1"); },
                           [&deployment] { deployment.store.rejected_clients.clear(); });
                   }});
    all.push_back({"state_outage", {}, [](SimulatedDeployment& deployment) {
                       inject_fault(
                           deployment, [&deployment] { deployment.store.outage = true; },
                           [&deployment] { deployment.store.outage = false; });
                   }});
    all.push_back({"budgets", [](DeploymentOptions& options) { options.enforce_rate_limits = true; },
                   [](SimulatedDeployment& deployment) { crash_for(deployment, 2, fault_start_s, 5); }});
}

void configure_upgrade(DeploymentOptions& options) {
    options.max_value_kb = 8;
    options.next_max_value_kb = 2;
    options.next_max_operations = 4;
    options.next_store_writes_per_s = 30;
    options.cloud_capacity = 60;
    options.production_controllers = {0, 1, 2};
}

/// Adds scenarios in which the key-value store rejects transactions over its limits or limits the request
/// rate.
void add_store_limits(std::vector<Scenario>& all) {
    all.push_back({"limits_lowered", configure_upgrade, [](SimulatedDeployment& deployment) {
                       submit_at(deployment, 6, deployment.job(job_id(100), 400, 0.25, 12));
                       submit_at(deployment, 6, deployment.job(job_id(101), 150, 0.25, 60));
                       deployment.after(9, [&deployment] { deployment.store.lower_limits(2048, 4, 30); });
                       for (int controller = 0; controller < 3; ++controller)
                           deployment.after(40 + 12 * controller, [&deployment, controller] {
                               deployment.upgrade_controller(controller);
                           });
                   }});
    all.push_back({"few_writes",
                   [](DeploymentOptions& options) {
                       options.enforce_rate_limits = true;
                       options.store_requests_per_s = 60;
                       options.store_writes_per_s = 12;
                       options.cloud_requests_per_s = 2;
                   },
                   {}});
    all.push_back({"repeated_late_writes", {}, [](SimulatedDeployment& deployment) {
                       deployment.faults.duplicate_requests = 0.3;
                       deployment.faults.duplicate_request_delay_s = 10;
                       deployment.faults.late_commits = 0.2;
                       crash_for(deployment, 1, 30, 10);
                       crash_for(deployment, 0, 90, 10);
                   }});
}

void add_message_faults(std::vector<Scenario>& all) {
    all.push_back(
        {"repeats", {}, [](SimulatedDeployment& deployment) { deployment.faults.duplicate_requests = 0.2; }});
    all.push_back({"late_reports", {}, [](SimulatedDeployment& deployment) {
                       deployment.faults.duplicate_heartbeats = 0.2;
                       deployment.faults.heartbeats_replayed_to_next_leader = 0.3;
                       crash_for(deployment, 0, fault_start_s, 10);
                       crash_for(deployment, 1, 60, 10);
                   }});
    all.push_back({"late_commands", {}, [](SimulatedDeployment& deployment) {
                       deployment.faults.late_commands = 0.1;
                       deployment.faults.late_command_responses = 0.1;
                       crash_for(deployment, 2, 40, 10);
                   }});
    all.push_back(
        {"late_writes", {}, [](SimulatedDeployment& deployment) { deployment.faults.late_commits = 0.1; }});
    all.push_back({"lost_answers", {}, [](SimulatedDeployment& deployment) {
                       deployment.faults.lost_commit_responses = 0.1;
                       deployment.faults.store_response_delay_s = 0.5;
                   }});
    all.push_back({"loss", {}, [](SimulatedDeployment& deployment) {
                       inject_fault(
                           deployment, [&deployment] { deployment.network.loss_probability = 0.05; },
                           [&deployment] { deployment.network.loss_probability = 0; });
                   }});
}

void schedule_services(SimulatedDeployment& deployment) {
    for (int i = 0; i < 6; ++i) submit_at(deployment, 4 + 3 * i, service(deployment, 100 + i, 1 + 2 * i));
    deployment.after(40, [&deployment] { deployment.workers.crash(machine_id(1)); });
    deployment.after(45, [&deployment] { deployment.workers.crash(machine_id(3)); });
    crash_for(deployment, 1, 70, 10);
    for (int i = 0; i < 4; ++i)
        deployment.after(100 + 3 * i, [&deployment, i] { deployment.cancel(job_id(100 + i)); });
}

void schedule_gangs(SimulatedDeployment& deployment) {
    for (int i = 0; i < 15; ++i)
        submit_at(deployment, 5 + 4 * i, gang(deployment, 100 + i, 2 + (i * 3) % 14, 2, 12 + i));
    deployment.after(30, [&deployment] { deployment.workers.crash(machine_id(2)); });
    deployment.after(50, [&deployment] { deployment.workers.hang(machine_id(4), 15); });
    crash_for(deployment, 0, 55, 10);
}

void schedule_two_zones(SimulatedDeployment& deployment) {
    for (int i = 0; i < 16; ++i) {
        Json body = i % 4 == 3 ? gang(deployment, 100 + i, 3, 1, 15)
                               : deployment.job(job_id(100 + i), 4 + i, 1, 8 + i);
        body["one_zone"] = i % 2 == 0 || i % 4 == 3;
        body["apart"] = i % 2 == 1;
        if (i % 5 == 0) body["field"] = "b";
        submit_at(deployment, 4 + 4 * i, body);
    }
    crash_for(deployment, 2, fault_start_s, 10);
}

void schedule_spot_notices(SimulatedDeployment& deployment) {
    for (int round = 0; round < 5; ++round)
        deployment.after(25 + 12 * round, [&deployment, round] {
            int noticed = 0;
            for (const auto& [id, worker] : deployment.workers.all())
                if (worker.spot && worker.alive && !worker.preemption_at && noticed++ < 3)
                    deployment.workers.announce_preemption(id, 6.0 + 3 * round);
        });
}

void schedule_cancellations(SimulatedDeployment& deployment) {
    for (int i = 0; i < 60; i += 3)
        deployment.after(8 + 2.2 * i, [&deployment, i] {
            if (deployment.is_accepted(job_id(i))) deployment.cancel(job_id(i));
        });
    crash_for(deployment, 0, fault_start_s, 10);
    deployment.after(50, [&deployment] { deployment.store.outage = true; });
    deployment.after(58, [&deployment] { deployment.store.outage = false; });
    deployment.after(65, [&deployment] { set_links(deployment, 1, PartyGroup::workers, LinkState::drop); });
    deployment.after(80, [&deployment] { set_links(deployment, 1, PartyGroup::workers, LinkState::up); });
}

void schedule_upgrade(SimulatedDeployment& deployment) {
    submit_at(deployment, 6, deployment.job(job_id(100), 300, 0.25, 15));
    submit_at(deployment, 12, deployment.job(job_id(101), 150, 0.25, 60));
    for (int controller = 0; controller < 3; ++controller)
        deployment.after(25 + 12 * controller,
                         [&deployment, controller] { deployment.upgrade_controller(controller); });
    deployment.after(75, [&deployment] { deployment.store.lower_limits(2048, 4, 30); });
    submit_at(deployment, 80, deployment.job(job_id(102), 200, 0.25, 10));
}

void add_job_kinds(std::vector<Scenario>& all) {
    all.push_back({"quiet", {}, {}});
    all.push_back({"gangs", {}, schedule_gangs});
    all.push_back({"services", {}, schedule_services});
    all.push_back({"two_zones",
                   [](DeploymentOptions& options) {
                       options.zones = {"a", "b"};
                   },
                   schedule_two_zones});
    all.push_back({"spot_notices", {}, schedule_spot_notices});
    all.push_back({"limited_team", {}, [](SimulatedDeployment& deployment) {
                       for (int i = 0; i < 10; ++i)
                           submit_at(deployment, 4 + 3 * i,
                                     deployment.job(job_id(100 + i), 6 + i, 1, 9, "blue"));
                       crash_for(deployment, 1, 40, 10);
                   }});
    all.push_back({"cancellations", {}, schedule_cancellations});
    all.push_back({"upgrade", configure_upgrade, schedule_upgrade});
}

void configure_large_fleet(DeploymentOptions& options) {
    options.controllers = 5;
    options.cloud_capacity = 1100;
    options.max_value_kb = 8;
    options.heartbeat_interval_s = 5;
    options.lease_s = 26.5;
    options.cancel_s = 46.5;
    options.store_requests_per_s = 600;
    options.store_writes_per_s = 70;
    options.cloud_requests_per_s = 7;
    options.memory_mb = 188;
    options.max_sockets = 3000;
    options.worker_tick_s = 0.5;
    options.enforce_rate_limits = true;
    options.boot_s = 20;
}

void schedule_large_fleet(SimulatedDeployment& deployment) {
    for (int i = 0; i < 1000; ++i) deployment.workers.add("small", "a", false, 1 + 4 * deployment.chance());
    for (int i = 0; i < 25; ++i) {
        Json body = deployment.job(job_id(100 + i), 40, 4, 10 + i);
        body["loaners"] = false;
        submit_at(deployment, 12, body);
    }
    crash_for(deployment, 3, 25, 10);
}

std::vector<Scenario> scenarios() {
    std::vector<Scenario> all;
    add_job_kinds(all);
    all.push_back({"thousand_machines", configure_large_fleet, schedule_large_fleet, 50});
    add_controller_faults(all);
    add_partitions(all);
    add_store_faults(all);
    add_store_limits(all);
    add_message_faults(all);
    return all;
}

/// Runs a scenario and writes its trace file. Returns false if the trace is empty or could not be written.
bool trace(const Scenario& scenario, std::uint64_t seed, const std::filesystem::path& directory) {
    MessageRecorder recorder((directory / (scenario.name + ".trace")).string());
    {
        DeploymentOptions options;
        options.seed = seed;
        options.recorder = &recorder;
        if (scenario.configure) scenario.configure(options);
        SimulatedDeployment deployment(options);
        submit_common_jobs(deployment);
        if (scenario.schedule) scenario.schedule(deployment);
        deployment.run(scenario.duration_s);
    }
    std::printf("%s %llu messages\n", scenario.name.c_str(),
                static_cast<unsigned long long>(recorder.messages()));
    return recorder.finish() && recorder.messages() > 0;
}

/// Runs the program: lists the scenarios, or traces all of them or one. Returns the exit code.
int run(const std::vector<std::string>& arguments) {
    const std::vector<Scenario> all = scenarios();
    if (arguments.size() == 1 && arguments[0] == "--list") {
        for (const Scenario& scenario : all) std::printf("%s\n", scenario.name.c_str());
        return 0;
    }
    if (arguments.empty() || arguments.size() > 2) {
        std::fprintf(stderr, "usage: behaviour_trace --list | DIRECTORY [SCENARIO]\n");
        return 2;
    }
    std::filesystem::create_directories(arguments[0]);
    bool is_known = false, succeeded = true;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (arguments.size() == 2 && arguments[1] != all[i].name) continue;
        is_known = true;
        succeeded = trace(all[i], i + 1, arguments[0]) && succeeded;
    }
    if (!is_known) std::fprintf(stderr, "no such scenario: %s\n", arguments.back().c_str());
    return is_known && succeeded ? 0 : 1;
}

}  // namespace
}  // namespace zincdyke::testing

int main(int argc, char** argv) {
    spdlog::set_level(spdlog::level::off);
    return zincdyke::testing::run({argv + 1, argv + argc});
}
