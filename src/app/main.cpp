#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>

#include "app/node.h"
#include "app/real_env.h"
#include "base/log.h"
#include "loop/http_server.h"

namespace {
// A process starts with 1,024 files in most places, whatever its settings allow it.
void raise_file_limit(zincdyke::Settings& settings) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    const rlim_t wanted = rlim_t{settings.max_sockets} + 64;
    if (limit.rlim_cur >= wanted) return;
    rlimit raised = limit;
    raised.rlim_cur = limit.rlim_max == RLIM_INFINITY ? wanted : std::min(wanted, limit.rlim_max);
    if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) limit = raised;
    if (limit.rlim_cur >= wanted) return;
    const auto fewer = static_cast<std::uint32_t>(
        std::max<rlim_t>(32, limit.rlim_cur - std::min<rlim_t>(limit.rlim_cur, 64)));
    zincdyke::log::warn("event=file_limit_low open_files={} max_sockets={} used={}", limit.rlim_cur,
                        settings.max_sockets, fewer);
    settings.max_sockets = std::min(settings.max_sockets, fewer);
}

int run(int argc, char** argv) {
    CLI::App app{"zincdyke: a cluster scheduler"};
    std::string config, policy_file;
    bool check = false;
    app.add_option("--config", config, "settings file of the platform (TOML)")->required();
    app.add_option("--policy", policy_file, "the operators' own settings (Lua)");
    app.add_flag("--check", check, "check the settings and the policy, then exit");
    app.set_version_flag("--version", std::string("zincdyke ") + ZINCDYKE_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    zincdyke::Settings settings;
    zincdyke::Policy policy;
    try {
        settings = zincdyke::load_settings(config);
        if (!policy_file.empty()) policy = zincdyke::load_policy(policy_file);
    } catch (const std::exception& e) {
        std::cerr << "zincdyke: " << e.what() << '\n';
        return 2;
    }
    if (check) {
        std::cout << "settings are valid\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    zincdyke::log::setup(settings.node.value());
    raise_file_limit(settings);
    try {
        zincdyke::Loop loop;
        std::unique_ptr<zincdyke::Node> node;
        zincdyke::RealEnv env(loop, settings,
                              [&node](const zincdyke::NodeName& from, const zincdyke::wire::PeerMessage& m) {
                                  if (node) node->on_peer(from, m);
                              });
        node = std::make_unique<zincdyke::Node>(env, settings, policy);
        zincdyke::ServerLimits limits;
        limits.connections = settings.sockets().server;
        zincdyke::HttpServer server(loop, settings.api_addr, limits,
                                    [&node](const zincdyke::HttpRequest& req, const zincdyke::Reply& reply) {
                                        node->on_request(req, reply);
                                    });
        node->start();
        zincdyke::log::info("event=started version={} api={} cluster={}", ZINCDYKE_VERSION, settings.api_addr,
                            settings.cluster_listen);
        loop.run();
    } catch (const std::exception& e) {
        zincdyke::log::error("event=ended why=\"{}\"", e.what());
        return 1;
    }
    return 0;
}
}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& e) {
        std::cerr << "zincdyke: " << e.what() << '\n';
    } catch (...) {
        std::cerr << "zincdyke: unknown error\n";
    }
    return 1;
}
