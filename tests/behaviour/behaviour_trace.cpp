// Plays seeded scenarios and writes what was said in each into a file. See tests/compare_behaviour.sh.
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

constexpr double troubles_from = 20, troubles_for = 25, end_of_story = 220;

struct Scenario {
    std::string name;
    std::function<void(DeploymentOptions&)> set;
    std::function<void(SimulatedDeployment&)>
        play;  // plans what will happen; jobs and users are there already
    double length = end_of_story;
};

std::string job_id(int number) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "job-%06d", number);
    return text.data();
}

std::string machine(int number) {
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

/// Users submit the job then, and ask for its state every few seconds until they are told its end.
void submit_at(SimulatedDeployment& deployment, double delay, const Json& body) {
    deployment.after(delay, [&deployment, body] {
        deployment.submit(body);
        const auto ask_again = std::make_shared<std::function<void()>>();
        // The event holds the function; the function itself holds only a weak reference.
        *ask_again = [&deployment, id = body["uid"].get<std::string>(),
                      weak = std::weak_ptr<std::function<void()>>(ask_again)] {
            if (deployment.last_phase(id) == "done" || deployment.last_phase(id) == "withdrawn") return;
            if (deployment.is_accepted(id)) deployment.poll(id);
            if (const auto self = weak.lock()) deployment.after(3, [self] { (*self)(); });
        };
        deployment.after(3, [ask_again] { (*ask_again)(); });
    });
}

/// Arrays of several sizes, of two teams, with several images, and a few gangs, over the first 135 seconds.
void submit_usual(SimulatedDeployment& deployment) {
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

enum class Side { state, workers, peers, everything };

/// One controller's links to that side.
void set_links(SimulatedDeployment& deployment, int node, Side side, LinkState link) {
    const std::string name = deployment.controller_name(node);
    const bool all = side == Side::everything;
    if (all || side == Side::state) deployment.set_link(name, "state", link);
    if (all || side == Side::peers)
        for (int other = 0; other < deployment.controller_count(); ++other)
            if (other != node) deployment.set_link(name, deployment.controller_name(other), link);
    if (all || side == Side::workers)
        for (int number = 1; number <= 200; ++number) deployment.set_link(name, machine(number), link);
    if (!all) return;
    deployment.set_link(name, "cloud", link);
    deployment.set_link(name, "users", link);
}

void during(SimulatedDeployment& deployment, const std::function<void()>& begin,
            const std::function<void()>& end) {
    deployment.after(troubles_from, begin);
    deployment.after(troubles_from + troubles_for, end);
}

void crash_for(SimulatedDeployment& deployment, int node, double from, double down_s) {
    deployment.after(from, [&deployment, node] { deployment.crash_controller(node); });
    deployment.after(from + down_s, [&deployment, node] { deployment.start_controller(node); });
}

Scenario partition(const std::string& side_name, Side side, int node, LinkState link) {
    const std::string manner = link == LinkState::hold ? "held" : "dropped";
    return {"partition_" + side_name + "_n" + std::to_string(node) + "_" + manner,
            {},
            [side, node, link](SimulatedDeployment& deployment) {
                during(
                    deployment, [&deployment, side, node, link] { set_links(deployment, node, side, link); },
                    [&deployment, side, node] { set_links(deployment, node, side, LinkState::up); });
            }};
}

void add_partitions(std::vector<Scenario>& all) {
    for (int node = 0; node < 3; ++node) {
        all.push_back(partition("state", Side::state, node, LinkState::drop));
        all.push_back(partition("workers", Side::workers, node, LinkState::drop));
        all.push_back(partition("peers", Side::peers, node, LinkState::drop));
        all.push_back(partition("everything", Side::everything, node, LinkState::drop));
    }
    all.push_back(partition("state", Side::state, 0, LinkState::hold));
    all.push_back(partition("peers", Side::peers, 1, LinkState::hold));
    all.push_back(partition("workers", Side::workers, 2, LinkState::hold));
    all.push_back(partition("everything", Side::everything, 1, LinkState::hold));
}

void add_controller_troubles(std::vector<Scenario>& all) {
    for (int node = 0; node < 3; ++node)
        all.push_back({"crash_n" + std::to_string(node), {}, [node](SimulatedDeployment& deployment) {
                           crash_for(deployment, node, troubles_from, troubles_for);
                       }});
    all.push_back({"freeze", {}, [](SimulatedDeployment& deployment) {
                       deployment.after(troubles_from, [&deployment] { deployment.freeze_controller(0, 8); });
                       deployment.after(60, [&deployment] { deployment.freeze_controller(1, 20); });
                   }});
}

void add_state_troubles(std::vector<Scenario>& all) {
    all.push_back({"state_refuses_one", {}, [](SimulatedDeployment& deployment) {
                       during(
                           deployment, [&deployment] { deployment.store.rejected_clients.insert("n1"); },
                           [&deployment] { deployment.store.rejected_clients.clear(); });
                   }});
    all.push_back({"state_outage", {}, [](SimulatedDeployment& deployment) {
                       during(
                           deployment, [&deployment] { deployment.store.outage = true; },
                           [&deployment] { deployment.store.outage = false; });
                   }});
    all.push_back({"budgets", [](DeploymentOptions& o) { o.enforce_rate_limits = true; },
                   [](SimulatedDeployment& deployment) { crash_for(deployment, 2, troubles_from, 5); }});
}

void set_upgrade(DeploymentOptions& o) {
    o.max_value_kb = 8;
    o.next_max_value_kb = 2;
    o.next_max_operations = 4;
    o.next_store_writes_per_s = 30;
    o.cloud_capacity = 60;
    o.production_controllers = {0, 1, 2};
}

/// Writes over the limits are refused as invalid, and the limits on requests and writes are met.
void add_state_limits(std::vector<Scenario>& all) {
    all.push_back({"limits_lowered", set_upgrade, [](SimulatedDeployment& deployment) {
                       submit_at(deployment, 6, deployment.job(job_id(100), 400, 0.25, 12));
                       submit_at(deployment, 6, deployment.job(job_id(101), 150, 0.25, 60));
                       deployment.after(9, [&deployment] { deployment.store.lower_limits(2048, 4, 30); });
                       for (int node = 0; node < 3; ++node)
                           deployment.after(40 + 12 * node,
                                            [&deployment, node] { deployment.upgrade_controller(node); });
                   }});
    all.push_back({"few_writes",
                   [](DeploymentOptions& o) {
                       o.enforce_rate_limits = true;
                       o.store_requests_per_s = 60;
                       o.store_writes_per_s = 12;
                       o.cloud_requests_per_s = 2;
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

void add_late_messages(std::vector<Scenario>& all) {
    all.push_back(
        {"repeats", {}, [](SimulatedDeployment& deployment) { deployment.faults.duplicate_requests = 0.2; }});
    all.push_back({"late_reports", {}, [](SimulatedDeployment& deployment) {
                       deployment.faults.duplicate_heartbeats = 0.2;
                       deployment.faults.heartbeats_replayed_to_next_leader = 0.3;
                       crash_for(deployment, 0, troubles_from, 10);
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
                       during(
                           deployment, [&deployment] { deployment.network.loss_probability = 0.05; },
                           [&deployment] { deployment.network.loss_probability = 0; });
                   }});
}

void play_services(SimulatedDeployment& deployment) {
    for (int i = 0; i < 6; ++i) submit_at(deployment, 4 + 3 * i, service(deployment, 100 + i, 1 + 2 * i));
    deployment.after(40, [&deployment] { deployment.workers.crash(machine(1)); });
    deployment.after(45, [&deployment] { deployment.workers.crash(machine(3)); });
    crash_for(deployment, 1, 70, 10);
    for (int i = 0; i < 4; ++i)
        deployment.after(100 + 3 * i, [&deployment, i] { deployment.cancel(job_id(100 + i)); });
}

void play_gangs(SimulatedDeployment& deployment) {
    for (int i = 0; i < 15; ++i)
        submit_at(deployment, 5 + 4 * i, gang(deployment, 100 + i, 2 + (i * 3) % 14, 2, 12 + i));
    deployment.after(30, [&deployment] { deployment.workers.crash(machine(2)); });
    deployment.after(50, [&deployment] { deployment.workers.hang(machine(4), 15); });
    crash_for(deployment, 0, 55, 10);
}

void play_two_zones(SimulatedDeployment& deployment) {
    for (int i = 0; i < 16; ++i) {
        Json body = i % 4 == 3 ? gang(deployment, 100 + i, 3, 1, 15)
                               : deployment.job(job_id(100 + i), 4 + i, 1, 8 + i);
        body["one_zone"] = i % 2 == 0 || i % 4 == 3;
        body["apart"] = i % 2 == 1;
        if (i % 5 == 0) body["field"] = "b";
        submit_at(deployment, 4 + 4 * i, body);
    }
    crash_for(deployment, 2, troubles_from, 10);
}

void play_spot_notices(SimulatedDeployment& deployment) {
    for (int round = 0; round < 5; ++round)
        deployment.after(25 + 12 * round, [&deployment, round] {
            int noticed = 0;
            for (const auto& [id, worker] : deployment.workers.all())
                if (worker.spot && worker.alive && !worker.preemption_at && noticed++ < 3)
                    deployment.workers.announce_preemption(id, 6.0 + 3 * round);
        });
}

void play_cancellations(SimulatedDeployment& deployment) {
    for (int i = 0; i < 60; i += 3)
        deployment.after(8 + 2.2 * i, [&deployment, i] {
            if (deployment.is_accepted(job_id(i))) deployment.cancel(job_id(i));
        });
    crash_for(deployment, 0, troubles_from, 10);
    deployment.after(50, [&deployment] { deployment.store.outage = true; });
    deployment.after(58, [&deployment] { deployment.store.outage = false; });
    deployment.after(65, [&deployment] { set_links(deployment, 1, Side::workers, LinkState::drop); });
    deployment.after(80, [&deployment] { set_links(deployment, 1, Side::workers, LinkState::up); });
}

void play_upgrade(SimulatedDeployment& deployment) {
    submit_at(deployment, 6, deployment.job(job_id(100), 300, 0.25, 15));
    submit_at(deployment, 12, deployment.job(job_id(101), 150, 0.25, 60));
    for (int node = 0; node < 3; ++node)
        deployment.after(25 + 12 * node, [&deployment, node] { deployment.upgrade_controller(node); });
    deployment.after(75, [&deployment] { deployment.store.lower_limits(2048, 4, 30); });
    submit_at(deployment, 80, deployment.job(job_id(102), 200, 0.25, 10));
}

void add_job_kinds(std::vector<Scenario>& all) {
    all.push_back({"quiet", {}, {}});
    all.push_back({"gangs", {}, play_gangs});
    all.push_back({"services", {}, play_services});
    all.push_back({"two_zones", [](DeploymentOptions& o) { o.zones = {"a", "b"}; }, play_two_zones});
    all.push_back({"spot_notices", {}, play_spot_notices});
    all.push_back({"limited_team", {}, [](SimulatedDeployment& deployment) {
                       for (int i = 0; i < 10; ++i)
                           submit_at(deployment, 4 + 3 * i,
                                     deployment.job(job_id(100 + i), 6 + i, 1, 9, "blue"));
                       crash_for(deployment, 1, 40, 10);
                   }});
    all.push_back({"cancellations", {}, play_cancellations});
    all.push_back({"upgrade", set_upgrade, play_upgrade});
}

void set_fleet(DeploymentOptions& o) {
    o.controllers = 5;
    o.cloud_capacity = 1100;
    o.max_value_kb = 8;
    o.heartbeat_interval_s = 5;
    o.lease_s = 26.5;
    o.cancel_s = 46.5;
    o.store_requests_per_s = 600;
    o.store_writes_per_s = 70;
    o.cloud_requests_per_s = 7;
    o.memory_mb = 188;
    o.max_sockets = 3000;
    o.worker_tick_s = 0.5;
    o.enforce_rate_limits = true;
    o.boot_s = 20;
}

void play_fleet(SimulatedDeployment& deployment) {
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
    all.push_back({"thousand_machines", set_fleet, play_fleet, 50});
    add_controller_troubles(all);
    add_partitions(all);
    add_state_troubles(all);
    add_state_limits(all);
    add_late_messages(all);
    return all;
}

bool trace(const Scenario& scenario, std::uint64_t seed, const std::filesystem::path& directory) {
    MessageRecorder recorder((directory / (scenario.name + ".trace")).string());
    {
        DeploymentOptions options;
        options.seed = seed;
        options.recorder = &recorder;
        if (scenario.set) scenario.set(options);
        SimulatedDeployment deployment(options);
        submit_usual(deployment);
        if (scenario.play) scenario.play(deployment);
        deployment.run(scenario.length);
    }
    std::printf("%s %llu messages\n", scenario.name.c_str(),
                static_cast<unsigned long long>(recorder.messages()));
    return recorder.finish() && recorder.messages() > 0;
}

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
    bool known = false, good = true;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (arguments.size() == 2 && arguments[1] != all[i].name) continue;
        known = true;
        good = trace(all[i], i + 1, arguments[0]) && good;
    }
    if (!known) std::fprintf(stderr, "no such scenario\n");
    return known && good ? 0 : 1;
}

}  // namespace
}  // namespace zincdyke::testing

int main(int argc, char** argv) {
    spdlog::set_level(spdlog::level::off);
    return zincdyke::testing::run({argv + 1, argv + argc});
}
