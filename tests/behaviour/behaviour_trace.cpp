// Plays seeded scenarios and writes what was said in each into a file. See tests/compare_behaviour.sh.
#include <spdlog/spdlog.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "world.h"

namespace zincdyke::testing {
namespace {

constexpr double troubles_from = 20, troubles_for = 25, end_of_story = 220;

struct Scenario {
    std::string name;
    std::function<void(World::Options&)> set;
    std::function<void(World&)> play;  // plans what will happen; jobs and users are there already
    double length = end_of_story;
};

std::string id_of(int number) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "job-%06d", number);
    return text.data();
}

std::string machine(int number) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "host-%06d", number);
    return text.data();
}

Json gang(World& w, int number, int tasks, double cpu, double run_s) {
    Json body = w.job(id_of(number), tasks, cpu, run_s);
    body["shape"] = "group";
    body["rank"] = "high";
    return body;
}

Json service(World& w, int number, int replicas) {
    Json body = w.job(id_of(number), replicas, 1, 1e6);
    body["shape"] = "service";
    body["rank"] = "critical";
    body["guess_s"] = 0;
    body["loaners"] = false;
    return body;
}

/// Users submit the job then, and ask for its state every few seconds until they are told its end.
void submit_at(World& w, double delay, const Json& body) {
    w.at(delay, [&w, body] {
        w.submit(body);
        const auto ask_again = std::make_shared<std::function<void()>>();
        // The event holds the function; the function itself holds only a weak reference.
        *ask_again = [&w, id = body["uid"].get<std::string>(),
                      weak = std::weak_ptr<std::function<void()>>(ask_again)] {
            if (w.told(id) == "done" || w.told(id) == "withdrawn") return;
            if (w.accepted(id)) w.poll(id);
            if (const auto self = weak.lock()) w.at(3, [self] { (*self)(); });
        };
        w.at(3, [ask_again] { (*ask_again)(); });
    });
}

/// Arrays of several sizes, of two teams, with several images, and a few gangs, over the first 135 seconds.
void submit_usual(World& w) {
    const std::vector<int> sizes{1, 4, 12, 2, 30, 7, 1, 18, 3, 110, 5, 9};
    for (int i = 0; i < 60; ++i) {
        const int tasks = sizes[static_cast<std::size_t>(i) % sizes.size()];
        Json body = i % 6 == 4 ? gang(w, i, 2 + i % 5, 1 + i % 2, 10 + i % 7)
                               : w.job(id_of(i), tasks, tasks > 50 ? 0.25 : 1, 4 + (i * 5) % 17,
                                       i % 5 == 3 ? "blue" : "red");
        body["cask"] = "img-" + std::to_string(i % 4);
        body["loaners"] = i % 3 != 0;
        if (i % 7 == 2) body["rank"] = "high";
        submit_at(w, 3 + 2.2 * i, body);
    }
}

enum class Side { state, workers, peers, everything };

/// One controller's links to that side.
void set_links(World& w, int node, Side side, Link link) {
    const std::string name = w.name(node);
    const bool all = side == Side::everything;
    if (all || side == Side::state) w.link(name, "state", link);
    if (all || side == Side::peers)
        for (int other = 0; other < w.nodes(); ++other)
            if (other != node) w.link(name, w.name(other), link);
    if (all || side == Side::workers)
        for (int number = 1; number <= 200; ++number) w.link(name, machine(number), link);
    if (!all) return;
    w.link(name, "cloud", link);
    w.link(name, "users", link);
}

void during(World& w, const std::function<void()>& begin, const std::function<void()>& end) {
    w.at(troubles_from, begin);
    w.at(troubles_from + troubles_for, end);
}

void crash_for(World& w, int node, double from, double down_s) {
    w.at(from, [&w, node] { w.crash(node); });
    w.at(from + down_s, [&w, node] { w.start_node(node); });
}

Scenario partition(const std::string& side_name, Side side, int node, Link link) {
    const std::string manner = link == Link::hold ? "held" : "dropped";
    return {"partition_" + side_name + "_n" + std::to_string(node) + "_" + manner,
            {},
            [side, node, link](World& w) {
                during(
                    w, [&w, side, node, link] { set_links(w, node, side, link); },
                    [&w, side, node] { set_links(w, node, side, Link::up); });
            }};
}

void add_partitions(std::vector<Scenario>& all) {
    for (int node = 0; node < 3; ++node) {
        all.push_back(partition("state", Side::state, node, Link::drop));
        all.push_back(partition("workers", Side::workers, node, Link::drop));
        all.push_back(partition("peers", Side::peers, node, Link::drop));
        all.push_back(partition("everything", Side::everything, node, Link::drop));
    }
    all.push_back(partition("state", Side::state, 0, Link::hold));
    all.push_back(partition("peers", Side::peers, 1, Link::hold));
    all.push_back(partition("workers", Side::workers, 2, Link::hold));
    all.push_back(partition("everything", Side::everything, 1, Link::hold));
}

void add_controller_troubles(std::vector<Scenario>& all) {
    for (int node = 0; node < 3; ++node)
        all.push_back({"crash_n" + std::to_string(node), {}, [node](World& w) {
                           crash_for(w, node, troubles_from, troubles_for);
                       }});
    all.push_back({"freeze", {}, [](World& w) {
                       w.at(troubles_from, [&w] { w.freeze(0, 8); });
                       w.at(60, [&w] { w.freeze(1, 20); });
                   }});
}

void add_state_troubles(std::vector<Scenario>& all) {
    all.push_back({"state_refuses_one", {}, [](World& w) {
                       during(
                           w, [&w] { w.store.refused.insert("n1"); }, [&w] { w.store.refused.clear(); });
                   }});
    all.push_back({"state_outage", {}, [](World& w) {
                       during(
                           w, [&w] { w.store.outage = true; }, [&w] { w.store.outage = false; });
                   }});
    all.push_back({"budgets", [](World::Options& o) { o.budgets = true; },
                   [](World& w) { crash_for(w, 2, troubles_from, 5); }});
}

void set_upgrade(World::Options& o) {
    o.value_kb = 8;
    o.next_value_kb = 2;
    o.next_txn_ops = 4;
    o.next_write_rps = 30;
    o.capacity = 60;
    o.production_nodes = {0, 1, 2};
}

/// Writes over the limits are refused as invalid, and the limits on requests and writes are met.
void add_state_limits(std::vector<Scenario>& all) {
    all.push_back({"limits_lowered", set_upgrade, [](World& w) {
                       submit_at(w, 6, w.job(id_of(100), 400, 0.25, 12));
                       submit_at(w, 6, w.job(id_of(101), 150, 0.25, 60));
                       w.at(9, [&w] { w.store.lower_limits(2048, 4, 30); });
                       for (int node = 0; node < 3; ++node)
                           w.at(40 + 12 * node, [&w, node] { w.upgrade(node); });
                   }});
    all.push_back({"few_writes",
                   [](World::Options& o) {
                       o.budgets = true;
                       o.state_rps = 60;
                       o.write_rps = 12;
                       o.cloud_rps = 2;
                   },
                   {}});
    all.push_back({"repeated_late_writes", {}, [](World& w) {
                       w.repeats = 0.3;
                       w.repeat_s = 10;
                       w.late_writes = 0.2;
                       crash_for(w, 1, 30, 10);
                       crash_for(w, 0, 90, 10);
                   }});
}

void add_late_messages(std::vector<Scenario>& all) {
    all.push_back({"repeats", {}, [](World& w) { w.repeats = 0.2; }});
    all.push_back({"late_reports", {}, [](World& w) {
                       w.copies = 0.2;
                       w.copies_for_next = 0.3;
                       crash_for(w, 0, troubles_from, 10);
                       crash_for(w, 1, 60, 10);
                   }});
    all.push_back({"late_commands", {}, [](World& w) {
                       w.late_commands = 0.1;
                       w.late_command_answers = 0.1;
                       crash_for(w, 2, 40, 10);
                   }});
    all.push_back({"late_writes", {}, [](World& w) { w.late_writes = 0.1; }});
    all.push_back({"lost_answers", {}, [](World& w) {
                       w.lost_answers = 0.1;
                       w.store_delay = 0.5;
                   }});
    all.push_back({"loss", {}, [](World& w) {
                       during(
                           w, [&w] { w.loss = 0.05; }, [&w] { w.loss = 0; });
                   }});
}

void play_services(World& w) {
    for (int i = 0; i < 6; ++i) submit_at(w, 4 + 3 * i, service(w, 100 + i, 1 + 2 * i));
    w.at(40, [&w] { w.kill_machine(machine(1)); });
    w.at(45, [&w] { w.kill_machine(machine(3)); });
    crash_for(w, 1, 70, 10);
    for (int i = 0; i < 4; ++i) w.at(100 + 3 * i, [&w, i] { w.cancel(id_of(100 + i)); });
}

void play_gangs(World& w) {
    for (int i = 0; i < 15; ++i) submit_at(w, 5 + 4 * i, gang(w, 100 + i, 2 + (i * 3) % 14, 2, 12 + i));
    w.at(30, [&w] { w.kill_machine(machine(2)); });
    w.at(50, [&w] { w.hang(machine(4), 15); });
    crash_for(w, 0, 55, 10);
}

void play_two_zones(World& w) {
    for (int i = 0; i < 16; ++i) {
        Json body = i % 4 == 3 ? gang(w, 100 + i, 3, 1, 15) : w.job(id_of(100 + i), 4 + i, 1, 8 + i);
        body["one_zone"] = i % 2 == 0 || i % 4 == 3;
        body["apart"] = i % 2 == 1;
        if (i % 5 == 0) body["field"] = "b";
        submit_at(w, 4 + 4 * i, body);
    }
    crash_for(w, 2, troubles_from, 10);
}

void play_spot_notices(World& w) {
    for (int round = 0; round < 5; ++round)
        w.at(25 + 12 * round, [&w, round] {
            int noticed = 0;
            for (const auto& [id, worker] : w.workers())
                if (worker.spot && worker.alive && !worker.notice_at && noticed++ < 3)
                    w.notice(id, 6.0 + 3 * round);
        });
}

void play_cancellations(World& w) {
    for (int i = 0; i < 60; i += 3)
        w.at(8 + 2.2 * i, [&w, i] {
            if (w.accepted(id_of(i))) w.cancel(id_of(i));
        });
    crash_for(w, 0, troubles_from, 10);
    w.at(50, [&w] { w.store.outage = true; });
    w.at(58, [&w] { w.store.outage = false; });
    w.at(65, [&w] { set_links(w, 1, Side::workers, Link::drop); });
    w.at(80, [&w] { set_links(w, 1, Side::workers, Link::up); });
}

void play_upgrade(World& w) {
    submit_at(w, 6, w.job(id_of(100), 300, 0.25, 15));
    submit_at(w, 12, w.job(id_of(101), 150, 0.25, 60));
    for (int node = 0; node < 3; ++node) w.at(25 + 12 * node, [&w, node] { w.upgrade(node); });
    w.at(75, [&w] { w.store.lower_limits(2048, 4, 30); });
    submit_at(w, 80, w.job(id_of(102), 200, 0.25, 10));
}

void add_job_kinds(std::vector<Scenario>& all) {
    all.push_back({"quiet", {}, {}});
    all.push_back({"gangs", {}, play_gangs});
    all.push_back({"services", {}, play_services});
    all.push_back({"two_zones", [](World::Options& o) { o.zones = {"a", "b"}; }, play_two_zones});
    all.push_back({"spot_notices", {}, play_spot_notices});
    all.push_back({"limited_team", {}, [](World& w) {
                       for (int i = 0; i < 10; ++i)
                           submit_at(w, 4 + 3 * i, w.job(id_of(100 + i), 6 + i, 1, 9, "blue"));
                       crash_for(w, 1, 40, 10);
                   }});
    all.push_back({"cancellations", {}, play_cancellations});
    all.push_back({"upgrade", set_upgrade, play_upgrade});
}

void set_fleet(World::Options& o) {
    o.nodes = 5;
    o.capacity = 1100;
    o.value_kb = 8;
    o.report_s = 5;
    o.lease_s = 26.5;
    o.cancel_s = 46.5;
    o.state_rps = 600;
    o.write_rps = 70;
    o.cloud_rps = 7;
    o.memory_mb = 188;
    o.max_sockets = 3000;
    o.worker_step = 0.5;
    o.budgets = true;
    o.boot_s = 20;
}

void play_fleet(World& w) {
    for (int i = 0; i < 1000; ++i) w.add_machine("small", "a", false, 1 + 4 * w.chance());
    for (int i = 0; i < 25; ++i) {
        Json body = w.job(id_of(100 + i), 40, 4, 10 + i);
        body["loaners"] = false;
        submit_at(w, 12, body);
    }
    crash_for(w, 3, 25, 10);
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
        World::Options options;
        options.seed = seed;
        options.recorder = &recorder;
        if (scenario.set) scenario.set(options);
        World w(options);
        submit_usual(w);
        if (scenario.play) scenario.play(w);
        w.run(scenario.length);
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
