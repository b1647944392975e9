// Entry point of zincdyke: loads the settings and runs one controller until the process is terminated.
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

constexpr int exit_failed = 1;         // exit code for a startup failure or an unhandled exception
constexpr int exit_invalid_input = 2;  // exit code for invalid arguments, settings or policy

constexpr rlim_t reserved_files = 64;  // file descriptors for files other than sockets
constexpr rlim_t min_sockets = 32;

// Raises the process's limit on open files to what Settings::max_sockets requires. If the system does not
// allow that, lowers Settings::max_sockets instead.
void raise_file_limit(zincdyke::Settings& settings) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    const rlim_t required_files = rlim_t{settings.max_sockets} + reserved_files;
    if (limit.rlim_cur >= required_files) return;
    rlimit raised = limit;
    raised.rlim_cur =
        limit.rlim_max == RLIM_INFINITY ? required_files : std::min(required_files, limit.rlim_max);
    if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) limit = raised;
    if (limit.rlim_cur >= required_files) return;
    const rlim_t available = limit.rlim_cur - std::min(limit.rlim_cur, reserved_files);
    const auto max_sockets = static_cast<std::uint32_t>(std::max(min_sockets, available));
    zincdyke::log::warn("event=file_limit_low open_files={} max_sockets={} used={}", limit.rlim_cur,
                        settings.max_sockets, max_sockets);
    settings.max_sockets = std::min(settings.max_sockets, max_sockets);
}

// Runs one controller and does not return. Throws an exception if the controller cannot start or if an error
// is not handled.
void run_controller(const zincdyke::Settings& settings, const zincdyke::Policy& policy) {
    zincdyke::Loop loop;
    // RealEnv and HttpServer take handlers that refer to the node, and call these handlers only from the
    // event loop, which runs after the node has been created.
    std::unique_ptr<zincdyke::Node> node;
    zincdyke::RealEnv env(
        loop, settings, [&node](const zincdyke::NodeName& from, const zincdyke::wire::PeerMessage& message) {
            if (node) node->on_peer(from, message);
        });
    node = std::make_unique<zincdyke::Node>(env, settings, policy);
    zincdyke::ServerLimits limits;
    limits.max_connections = settings.sockets().server;
    zincdyke::HttpServer server(loop, settings.api_addr, limits,
                                [&node](const zincdyke::HttpRequest& request, const zincdyke::Reply& reply) {
                                    node->on_request(request, reply);
                                });
    node->start();
    zincdyke::log::info("event=started version={} api={} cluster={}", ZINCDYKE_VERSION, settings.api_addr,
                        settings.cluster_listen);
    loop.run();
}

int run(int argc, char** argv) {
    CLI::App app{"zincdyke: a cluster scheduler"};
    std::string settings_file, policy_file;
    bool check_only = false;
    app.add_option("--config", settings_file, "platform settings file (TOML)")->required();
    app.add_option("--policy", policy_file, "operators' policy file (Lua)");
    app.add_flag("--check", check_only, "check the settings and the policy, then exit");
    app.set_version_flag("--version", std::string("zincdyke ") + ZINCDYKE_VERSION);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : exit_invalid_input;
    }
    zincdyke::Settings settings;
    zincdyke::Policy policy;
    try {
        settings = zincdyke::load_settings(settings_file);
        if (!policy_file.empty()) policy = zincdyke::load_policy(policy_file);
    } catch (const std::exception& error) {
        std::cerr << "zincdyke: " << error.what() << '\n';
        return exit_invalid_input;
    }
    if (check_only) {
        std::cout << "settings are valid\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    zincdyke::log::setup(settings.node.value());
    raise_file_limit(settings);
    try {
        run_controller(settings, policy);
    } catch (const std::exception& error) {
        zincdyke::log::error("event=process_failed reason=\"{}\"", error.what());
        return exit_failed;
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "zincdyke: " << error.what() << '\n';
    } catch (...) {
        std::cerr << "zincdyke: unknown error\n";
    }
    return exit_failed;
}
