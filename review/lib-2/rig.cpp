#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace rig {

volatile std::sig_atomic_t stop_asked = 0;

namespace {

constexpr double report_timeout_s = 4, submit_timeout_s = 5, poll_timeout_s = 2, retry_s = 1;
constexpr double dead_shown_running_s = 30;
constexpr std::size_t kept_changes = 10'000;

zincdyke::Duration duration(double s) { return zincdyke::Duration(static_cast<std::int64_t>(s * 1e6)); }

std::string number(double value) {
    std::string text = std::to_string(value);
    return text;
}

std::string parameter(const std::string& path, const std::string& name) {
    auto at = path.find("?" + name + "=");
    if (at == std::string::npos) at = path.find("&" + name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 2;
    return path.substr(at, path.find('&', at) - at);
}

std::uint64_t parameter_number(const std::string& path, const std::string& name) {
    const std::string text = parameter(path, name);
    return text.empty() ? 0 : std::stoull(text);
}

bool has_prefix(const std::string& text, const std::string& prefix) { return text.rfind(prefix, 0) == 0; }

zincdyke::ServerLimits server_limits() {
    zincdyke::ServerLimits limits;
    limits.max_connections = 1000;
    limits.idle_timeout = std::chrono::hours(1);
    limits.request_timeout = std::chrono::minutes(5);
    return limits;
}

zincdyke::ClientLimits client_limits(std::size_t each) {
    zincdyke::ClientLimits limits;
    limits.max_connections_per_address = each;
    limits.idle_timeout = std::chrono::minutes(10);
    return limits;
}

}  // namespace

// ---- Worker ----

Worker::Worker(Rig& rig, std::string id_, std::string type_, std::string zone_, bool spot_)
    : id(std::move(id_)),
      type(std::move(type_)),
      zone(std::move(zone_)),
      address(rig.free_address()),
      spot(spot_),
      created_at(rig.now()),
      rig_(rig),
      client_(std::make_unique<zincdyke::HttpClient>(rig.loop_, client_limits(1))) {}

void Worker::boot() {
    if (!alive || booted) return;
    booted = true;
    server_ = std::make_unique<zincdyke::HttpServer>(
        rig_.loop_, address, server_limits(),
        [this](const HttpRequest& request, const Reply& reply) { handle(request, reply); });
    lease_from_ = rig_.now();
    node_ = static_cast<std::size_t>(rig_.chance() * static_cast<double>(rig_.nodes_.size())) % rig_.nodes_.size();
    rig_.note("up " + id + " " + type + " " + zone);
    check_lease();
    schedule_report(0.05);
}

void Worker::die() {
    rig_.note("dies " + id);
    drop_all("machine died");
    alive = false;
    died_at = rig_.now();
}

void Worker::check_lease() {
    if (!alive) return;
    if (rig_.now() - lease_from_ > rig_.site_.lease_s) {
        rig_.note("lease over " + id + " tenure " + std::to_string(tenure));
        drop_all("lease over");
        ++tenure;
        lease_from_ = rig_.now();
        changed();
    }
    rig_.after(0.05, [this] { check_lease(); });
}

Json Worker::report() {
    ++tick;
    Json shards = Json::array();
    for (const auto& [key, task] : tasks) {
        Json entry = {{"shard", task.job + "/" + std::to_string(task.index)}, {"try", task.attempt}, {"phase", task.phase}};
        if (task.phase == "ended") {
            entry["cause"] = task.cause;
            if (task.kept) entry["kept"] = true;
        }
        shards.push_back(std::move(entry));
    }
    return {{"werf", id},         {"address", address}, {"breed", type},  {"field", zone},       {"loaners", spot},
            {"tenure", tenure},   {"tick", tick},       {"baton", baton}, {"warning_s", nullptr}, {"shards", shards}};
}

void Worker::schedule_report(double delay) {
    if (timer_ != 0) rig_.loop_.cancel(timer_);
    timer_ = rig_.loop_.after(duration(delay), [this] {
        timer_ = 0;
        send_report();
    });
}

void Worker::changed() {
    has_change_ = true;
    if (!in_flight_) schedule_report(std::max(0.0, last_report_at_ + 0.5 - rig_.now()));
}

void Worker::send_report() {
    if (!alive || in_flight_) return;
    in_flight_ = true;
    has_change_ = false;
    last_report_at_ = rig_.now();
    client_->request(rig_.nodes_[node_].api, {"POST", "/checkin", report().dump()}, duration(report_timeout_s),
                     [this, sent_at = rig_.now(), sent_tenure = tenure](const HttpResponse& response) {
                         on_answer(response, sent_at, sent_tenure);
                     });
}

void Worker::on_answer(const HttpResponse& response, double sent_at, std::uint64_t sent_tenure) {
    if (!alive) return;
    in_flight_ = false;
    const Json body = Json::parse(response.body, nullptr, false);
    if (response.status == 421 && body.is_object()) {
        const std::string foreman = body.value("foreman", "");
        for (std::size_t i = 0; i < rig_.nodes_.size(); ++i)
            if (i != node_ && rig_.node_name(i) == foreman) {
                node_ = i;
                return schedule_report(0.05);
            }
    }
    if (response.status != 200 || !body.is_object()) {
        node_ = (node_ + 1) % rig_.nodes_.size();
        return schedule_report(retry_s);
    }
    if (has_change_)
        schedule_report(std::max(0.0, last_report_at_ + 0.5 - rig_.now()));
    else
        schedule_report(rig_.site_.report_s * (0.75 + 0.5 * rig_.chance()));
    const std::uint64_t token = body.value("baton", std::uint64_t{0});
    if (token == 0 || token < baton || sent_tenure != tenure) return;
    lease_from_ = std::max(lease_from_, sent_at);
    accept_baton(token);
    execute(body.value("orders", Json::array()));
}

void Worker::accept_baton(std::uint64_t token) {
    if (token <= baton) return;
    baton = token;
    if (rig_.now() - last_token_report_at_ < rig_.site_.lease_s / 2) return;
    last_token_report_at_ = rig_.now();
    changed();
}

void Worker::handle(const HttpRequest& request, const Reply& reply) {
    if (!alive) return;  // silent
    if (request.path == "/status") return reply(HttpResponse::ok(report().dump()));
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("baton") || !body.contains("tenure"))
        return reply(HttpResponse::bad_request());
    const auto token = body["baton"].get<std::uint64_t>();
    if (token < baton || body["tenure"].get<std::uint64_t>() != tenure) return reply({409, report().dump(), {}});
    accept_baton(token);
    execute(body.value("orders", Json::array()));
    reply(HttpResponse::ok(report().dump()));
}

void Worker::execute(const Json& orders) {
    for (const auto& order : orders) {
        const std::string name = order["shard"].get<std::string>(), verb = order["verb"].get<std::string>();
        const auto attempt = order["try"].get<std::uint64_t>();
        const std::string key = name + "#" + std::to_string(attempt);
        rig_.note("order " + id + " " + verb + " " + key);
        const auto found = tasks.find(key);
        if (verb == "run" && found == tasks.end()) start(name, attempt);
        if (verb == "clear" && found != tasks.end() && found->second.phase == "ended") tasks.erase(found);
        if (verb != "halt" || found == tasks.end() || found->second.phase == "ended") continue;
        Task& task = found->second;
        const Json& job = rig_.jobs_.at(task.job);
        const double respite = order.value("respite_s", 0.0), stow = job.value("stow_s", 0.0);
        if (task.phase == "running" && job.value("mark_every_s", 0.0) > 0 && respite >= stow) {
            task.phase = "saving";
            const std::uint64_t generation = ++task.generation;
            rig_.after(stow, [this, key, generation] {
                if (find(key, generation) != nullptr) end(key, "halted", true);
            });
            changed();
        } else if (task.phase != "saving" || respite == 0) {
            end(key, "halted");
        }
    }
}

Task* Worker::find(const std::string& key, std::uint64_t generation) {
    const auto found = tasks.find(key);
    return found == tasks.end() || found->second.generation != generation ? nullptr : &found->second;
}

bool Worker::holds(const std::string& job, int index) const {
    return std::any_of(tasks.begin(), tasks.end(), [&](const auto& entry) {
        return entry.second.job == job && entry.second.index == index && entry.second.phase != "ended";
    });
}

void Worker::start(const std::string& name, std::uint64_t attempt) {
    const std::string key = name + "#" + std::to_string(attempt);
    Task task;
    task.job = name.substr(0, name.rfind('/'));
    task.index = std::stoi(name.substr(name.rfind('/') + 1));
    task.attempt = attempt;
    task.phase = "fetching";
    const auto known = rig_.jobs_.find(task.job);
    const auto kind = std::find_if(rig_.site_.types.begin(), rig_.site_.types.end(),
                                   [&](const MachineType& machine_type) { return machine_type.name == type; });
    if (known == rig_.jobs_.end()) {
        task.phase = "ended";
        task.cause = "unknown";
    } else {
        double cpus = known->second["vcpus"].get<double>(), gpus = known->second["gpus"].get<double>(),
               ram = known->second["ram_gb"].get<double>();
        for (const auto& [other_key, other] : tasks) {
            if (other.phase == "ended") continue;
            const Json& job = rig_.jobs_.at(other.job);
            cpus += job["vcpus"].get<double>();
            gpus += job["gpus"].get<double>();
            ram += job["ram_gb"].get<double>();
        }
        if (holds(task.job, task.index))
            task.phase = "ended", task.cause = "in_use";
        else if (cpus > kind->cpus + 1e-6 || gpus > kind->gpus + 1e-6 || ram > kind->ram_gb + 1e-6)
            task.phase = "ended", task.cause = "full";
    }
    tasks[key] = task;
    changed();
    if (task.phase == "ended") return;
    const Json& job = known->second;
    const double fetch = images_.contains(job["cask"].get<std::string>())
                             ? 0.01
                             : job["image_gb"].get<double>() / kind->fetch_gb_per_s;
    rig_.after(fetch, [this, key, generation = task.generation] { have_image(key, generation); });
}

void Worker::have_image(const std::string& key, std::uint64_t generation) {
    Task* task = find(key, generation);
    if (task == nullptr || task->phase != "fetching" || !alive) return;
    images_.insert(rig_.jobs_.at(task->job)["cask"].get<std::string>());
    rig_.task_started(*this, *task);
    if (rig_.completed_[task->job].contains(task->index)) {
        task->phase = "running";
        return end(key, "done");
    }
    if (rig_.jobs_.at(task->job)["shape"] != "group") return run(key);
    task->phase = "waiting";
    const std::uint64_t waiting = ++task->generation;
    rig_.after(rig_.site_.gang_wait_s, [this, key, waiting] {
        if (find(key, waiting) != nullptr) end(key, "alone");
    });
    changed();
    rig_.gang_waiting(task->job, task->attempt);
}

void Worker::run(const std::string& key) {
    Task& task = tasks.at(key);
    task.phase = "running";
    const std::uint64_t generation = ++task.generation;
    rig_.note("runs " + key + " on " + id);
    changed();
    const Json& job = rig_.jobs_.at(task.job);
    if (job["shape"] == "service") return;
    rig_.after(job.value("real_s", 10.0), [this, key, generation] {
        if (find(key, generation) != nullptr) end(key, "done");
    });
}

void Worker::end(const std::string& key, const std::string& cause, bool kept) {
    Task& task = tasks.at(key);
    if (task.phase == "ended") return;
    if (task.phase != "fetching") rig_.task_stopped(*this, task);
    task.phase = "ended";
    task.cause = cause;
    task.kept = kept;
    ++task.generation;
    rig_.note("ends " + key + " on " + id + " " + cause);
    changed();
    const bool gang = rig_.jobs_.at(task.job)["shape"] == "group";
    if (cause == "done") {
        const int count = rig_.jobs_.at(task.job)["shards"].get<int>();
        for (int i = 0; i < count; ++i)
            if (gang || i == task.index) rig_.completed_[task.job].insert(i);
    } else if (gang) {
        rig_.gang_lost(task.job, task.attempt);
    }
}

void Worker::drop_all(const std::string& why) {
    const auto dropped = std::move(tasks);
    tasks.clear();
    for (const auto& [key, task] : dropped) {
        if (task.phase == "ended") continue;
        rig_.note("drops " + key + " on " + id + " " + why);
        if (task.phase != "fetching") rig_.task_stopped(*this, task);
        if (rig_.jobs_.at(task.job)["shape"] == "group") rig_.gang_lost(task.job, task.attempt);
    }
}

// ---- Rig ----

Rig::Rig(Site site, std::string program, std::string folder)
    : site_(std::move(site)), program_(std::move(program)), folder_(std::move(folder)) {
    begun_ = zincdyke::Loop::now();
    record_ = std::fopen((folder_ + "/record.txt").c_str(), "w");
    if (record_ == nullptr) throw CannotRun("cannot write record.txt");
    std::string name = (std::filesystem::temp_directory_path() / "zincdyke-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw CannotRun("no temporary folder");
    temp_ = name;
    if (::access(program_.c_str(), X_OK) != 0) throw CannotRun(program_ + " is missing");
    cloud_address_ = free_address();
    cloud_server_ = std::make_unique<zincdyke::HttpServer>(
        loop_, cloud_address_, server_limits(), [this](const HttpRequest& request, const Reply& reply) {
            after(site_.cloud_latency_s, [this, request, reply] { handle_cloud(request, reply); });
        });
    users_ = std::make_unique<zincdyke::HttpClient>(loop_, client_limits(20));
    for (int i = 0; i < site_.controllers; ++i) {
        Node node;
        node.api = free_address();
        node.cluster = free_address();
        node.state = free_address();
        node.config = temp_ + "/" + node_name(static_cast<std::size_t>(i)) + ".toml";
        nodes_.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].state_server = std::make_unique<zincdyke::HttpServer>(
            loop_, nodes_[i].state, server_limits(), [this, i](const HttpRequest& request, const Reply& reply) {
                after(site_.state_latency_s * (0.5 + chance()),
                      [this, i, request, reply] { handle_state(i, request, reply); });
            });
        write_settings(i);
    }
    tick();
}

Rig::~Rig() {
    for (auto& node : nodes_)
        if (node.pid > 0) {
            ::kill(node.pid, SIGKILL);
            ::waitpid(node.pid, nullptr, 0);
        }
    // What the controllers logged goes into the record's folder only on request.
    std::error_code ignored;
    if (const char* keep = std::getenv("KEEP_LOGS"); keep != nullptr)
        std::filesystem::copy(temp_, keep, std::filesystem::copy_options::recursive, ignored);
    std::filesystem::remove_all(temp_, ignored);
    if (record_ != nullptr) std::fclose(record_);
}

double Rig::now() const {
    return static_cast<double>((zincdyke::Loop::now() - begun_).count()) / 1e6;
}

void Rig::after(double seconds, std::function<void()> fn) { loop_.after(duration(seconds), std::move(fn)); }

void Rig::run_for(double seconds) {
    run_until([] { return false; }, seconds);
}

bool Rig::run_until(const std::function<bool()>& done, double timeout_s) {
    const double end = now() + timeout_s;
    while (!done()) {
        if (now() >= end) return false;
        if (stop_asked != 0) throw CannotRun("asked to end");
        loop_.run_once(duration(std::min(0.05, end - now())));
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (nodes_[i].pid > 0 && ::waitpid(nodes_[i].pid, nullptr, WNOHANG) == nodes_[i].pid) {
                nodes_[i].pid = 0;
                note("a process ended by itself: " + node_name(i));
                std::ifstream log(temp_ + "/" + node_name(i) + ".log");
                std::deque<std::string> last;
                for (std::string line; std::getline(log, line);) {
                    last.push_back(line);
                    if (last.size() > 5) last.pop_front();
                }
                for (const auto& line : last) note("  " + line);
                throw CannotRun("a process ended by itself: " + node_name(i));
            }
    }
    return true;
}

void Rig::note(const std::string& text) {
    std::fprintf(record_, "%8.3f %s\n", now(), text.c_str());
    std::fflush(record_);
}

// Ports below the range from which the system takes those of outgoing connections, so that none is taken meanwhile.
std::string Rig::free_address() {
    static std::set<int> used;
    static std::mt19937 ports{std::random_device{}()};
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int port = std::uniform_int_distribution<int>(10'000, 32'000)(ports);
        if (used.contains(port)) continue;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool is_free = fd >= 0 && ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        if (!is_free) {
            if (fd >= 0) ::close(fd);
            continue;
        }
        // The socket stays bound, so that no other program gets the port; a listener that sets SO_REUSEADDR still does.
        const int enabled = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        used.insert(port);
        return "127.0.0.1:" + std::to_string(port);
    }
    throw CannotRun("no free port");
}

void Rig::write_settings(std::size_t i) {
    auto quoted = [](const std::string& text) { return "\"" + text + "\""; };
    auto zone_of = [this](std::size_t n) { return site_.zones[n % site_.zones.size()]; };
    std::string text = "node = " + quoted(node_name(i)) + "\nzone = " + quoted(zone_of(i)) +
                       "\napi_addr = " + quoted(nodes_[i].api) + "\ncluster_listen = " + quoted(nodes_[i].cluster) + "\n";
    for (std::size_t n = 0; n < nodes_.size(); ++n)
        if (n != i)
            text += "[[seeds]]\nnode = " + quoted(node_name(n)) + "\nzone = " + quoted(zone_of(n)) +
                    "\naddress = " + quoted(nodes_[n].cluster) + "\n";
    std::string zones;
    for (const auto& zone : site_.zones) zones += (zones.empty() ? "" : ", ") + quoted(zone);
    text += "[outside]\ncloud = " + quoted(cloud_address_) + "\nstate = " + quoted(nodes_[i].state) + "\n[params]\nsize = " +
            std::to_string(nodes_.size()) + "\nzones = [" + zones + "]\nskew_ms = " + number(site_.clock_off_ms) + "\n" +
            site_.teams + site_.objectives + "[params.workers]\nreport_s = " + number(site_.report_s) +
            "\nlease_s = " + number(site_.lease_s) + "\ngang_wait_s = " + number(site_.gang_wait_s) +
            "\ngang_peer_s = " + number(site_.gang_peer_s) + "\ncancel_s = " + number(site_.cancel_s) +
            "\n[params.state]\nrps = " + number(site_.rps) + "\nwrite_rps = " + number(site_.write_rps) +
            "\nvalue_kb = " + number(site_.value_kb) + "\ntxn_ops = " + std::to_string(site_.txn_ops) +
            "\n[params.cloud]\nrps = " + number(site_.cloud_rps) + "\nlist_lag_s = " + number(site_.list_lag_s) +
            "\n[params.machine_limits]\ncore_share = " + number(site_.core_share) + "\nmemory_mb = " +
            number(site_.memory_mb) + "\nmax_sockets = " + std::to_string(site_.max_sockets) + "\n";
    std::ofstream(nodes_[i].config) << text;
}

void Rig::start_controllers() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) start_controller(i);
}

void Rig::start_controller(std::size_t i) {
    const std::string log = temp_ + "/" + node_name(i) + ".log";
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0) throw CannotRun("fork failed");
    if (pid == 0) {
        ::setpgid(0, 0);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(127);
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        if (fd >= 0) ::dup2(fd, 2);
        ::execl(program_.c_str(), program_.c_str(), "--config", nodes_[i].config.c_str(), nullptr);
        ::_exit(127);
    }
    nodes_[i].pid = pid;
    note("started " + node_name(i));
}

void Rig::signal_controller(std::size_t i, int signal) {
    if (nodes_[i].pid <= 0) return;
    note("signal " + std::to_string(signal) + " to " + node_name(i));
    ::kill(nodes_[i].pid, signal);
}

void Rig::kill_controller(std::size_t i) {
    if (nodes_[i].pid <= 0) return;
    note("kills " + node_name(i));
    ::kill(nodes_[i].pid, SIGKILL);
    ::waitpid(nodes_[i].pid, nullptr, 0);
    nodes_[i].pid = 0;
}

bool Rig::wait_healthy(std::size_t i, double timeout_s) {
    auto healthy = std::make_shared<bool>(false);
    auto ask = std::make_shared<std::function<void()>>();
    *ask = [this, i, healthy, weak = std::weak_ptr(ask)] {
        users_->request(nodes_[i].api, {"GET", "/healthz", ""}, duration(1), [this, healthy, weak](const HttpResponse& r) {
            if (r.status == 200) *healthy = true;
            if (*healthy) return;
            if (const auto again = weak.lock()) after(0.1, [again] { (*again)(); });
        });
    };
    (*ask)();
    return run_until([healthy] { return *healthy; }, timeout_s);
}

void Rig::tick() {
    const double t = now();
    for (auto it = leases_.begin(); it != leases_.end();) {
        Lease& lease = it->second;
        if (state_down) lease.ends_at = std::max(lease.ends_at, t + lease.life_s);
        if (lease.ends_at >= t) {
            ++it;
            continue;
        }
        const std::uint64_t id = it->first;
        it = leases_.erase(it);
        std::vector<std::string> keys;
        for (const auto& [key, entry] : data_)
            if (entry.tether == id) keys.push_back(key);
        if (!keys.empty()) ++revision_;
        for (const auto& key : keys) set_key(key, std::nullopt, 0);
        if (!keys.empty()) note("state: lease " + std::to_string(id) + " ends");
    }
    answer_watches();
    for (const auto& [where, machines_of_task] : on_machines_) {
        const auto told = cancelled_at_.find(where.first);
        if (told == cancelled_at_.end() || machines_of_task.empty() || t <= told->second + site_.cancel_s) continue;
        const std::string text = "ran_cancelled " + where.first + "/" + std::to_string(where.second);
        if (std::find(violations.begin(), violations.end(), text) == violations.end()) {
            violations.push_back(text);
            note("VIOLATION " + text);
        }
    }
    after(0.02, [this] { tick(); });
}

bool Rig::take(Bucket& bucket, double rate, double burst, double count) const {
    const double t = now();
    bucket.tokens = bucket.tokens < 0 ? burst : std::min(burst, bucket.tokens + rate * (t - bucket.at));
    bucket.at = t;
    if (bucket.tokens < count) return false;
    bucket.tokens -= count;
    return true;
}

// ---- State service ----

void Rig::handle_state(std::size_t node, const HttpRequest& request, const Reply& reply) {
    if (state_down || refused.contains(node)) return reply(HttpResponse::service_unavailable());
    if (!take(requests_, site_.rps, site_.rps, 1)) return reply({429, "{}", {}});
    const std::string& path = request.path;
    if (has_prefix(path, "/watch")) {
        Watch watch{node, parameter(path, "prefix"), parameter_number(path, "after"),
                    now() + static_cast<double>(parameter_number(path, "hold_ms")) / 1000, reply};
        if (!answer_watch(watch, now() >= watch.until)) watches_.push_back(std::move(watch));
        return;
    }
    if (has_prefix(path, "/store?")) {
        const std::string prefix = parameter(path, "prefix"), from = parameter(path, "after");
        const std::uint64_t most = std::min<std::uint64_t>(1000, std::max<std::uint64_t>(1, parameter_number(path, "most")));
        Json items = Json::array();
        bool more = false;
        std::size_t bytes = 0;
        for (auto it = data_.lower_bound(prefix); it != data_.end() && has_prefix(it->first, prefix); ++it) {
            if (it->first <= from) continue;
            bytes += it->second.value.dump().size() + it->first.size() + 60;
            if (items.size() >= most || bytes > 500'000) {
                more = true;
                break;
            }
            items.push_back({{"key", it->first}, {"value", it->second.value}, {"stamp", it->second.stamp}});
        }
        return reply(HttpResponse::ok(Json{{"items", items}, {"has_next", more}, {"epoch", revision_}}.dump()));
    }
    if (has_prefix(path, "/store/")) {
        const auto found = data_.find(path.substr(7));
        if (found == data_.end()) return reply(HttpResponse::not_found(Json{{"epoch", revision_}}.dump()));
        Json body = {{"key", found->first}, {"value", found->second.value}, {"stamp", found->second.stamp}};
        if (found->second.tether != 0) body["tether"] = found->second.tether;
        return reply(HttpResponse::ok(body.dump()));
    }
    const Json body = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    if (!body.is_object()) return reply(HttpResponse::bad_request());
    if (path == "/commit") return commit(body, reply);
    if (path == "/grants") {
        const double life = body.value("life_ms", 0.0) / 1000;
        if (life < 0.1 || life > 600) return reply(HttpResponse::bad_request());
        leases_[next_lease_] = {life, now() + life};
        return reply(HttpResponse::ok(Json{{"tether", next_lease_++}}.dump()));
    }
    if (has_prefix(path, "/grants/")) {
        const auto lease = leases_.find(std::stoull(path.substr(8)));
        if (lease == leases_.end()) return reply(HttpResponse::not_found("{}"));
        lease->second.ends_at = request.method == "DELETE" ? now() - 1 : now() + lease->second.life_s;
        return reply(HttpResponse::ok(Json{{"tether", lease->first}}.dump()));
    }
    reply(HttpResponse::bad_request());
}

void Rig::commit(const Json& body, const Reply& reply) {
    const Json conditions = body.value("if", Json::array()), writes = body.value("writes", Json::array());
    if (!take(writes_, site_.write_rps, site_.write_rps, static_cast<double>(writes.size())))
        return reply({429, "{}", {}});
    const auto ops = static_cast<std::size_t>(site_.txn_ops);
    if (writes.size() > ops || conditions.size() > 4 * ops || body.dump().size() > 65536)
        return reply(HttpResponse::bad_request(R"({"error":"too large"})"));
    for (const auto& write : writes) {
        if (write.contains("tether") && !write["tether"].is_null() && !leases_.contains(write["tether"].get<std::uint64_t>()))
            return reply(HttpResponse::bad_request(R"({"error":"no such lease"})"));
        if (write.contains("set") && static_cast<double>(write["value"].dump().size()) > site_.value_kb * 1024)
            return reply(HttpResponse::bad_request(R"({"error":"too large"})"));
    }
    Json failed = Json::array();
    for (const auto& condition : conditions) {
        const auto found = data_.find(condition["key"].get<std::string>());
        if ((found == data_.end() ? 0 : found->second.stamp) != condition["stamp"].get<std::uint64_t>())
            failed.push_back(condition["key"]);
    }
    if (!failed.empty()) return reply({409, Json{{"failed", failed}, {"epoch", revision_}}.dump(), {}});
    if (!writes.empty()) ++revision_;
    for (const auto& write : writes) {
        if (write.contains("delete"))
            set_key(write["delete"].get<std::string>(), std::nullopt, 0);
        else
            set_key(write["set"].get<std::string>(), write["value"],
                    write.contains("tether") && !write["tether"].is_null() ? write["tether"].get<std::uint64_t>() : 0);
    }
    reply(HttpResponse::ok(Json{{"epoch", revision_}}.dump()));
    answer_watches();
}

void Rig::set_key(const std::string& key, const std::optional<Json>& value, std::uint64_t tether) {
    if (!value && !data_.contains(key)) return;
    if (value)
        data_[key] = {*value, revision_, tether};
    else
        data_.erase(key);
    changes_.push_back({key, value, revision_});
    if (changes_.size() > kept_changes) changes_.pop_front();
    note("state " + std::to_string(revision_) + " " + key + " " + (value ? value->dump() : "deleted"));
}

bool Rig::answer_watch(Watch& watch, bool timed_out) {
    if (state_down || refused.contains(watch.node)) return false;
    if (changes_.size() == kept_changes && changes_.front().stamp > watch.after + 1) {
        watch.reply({410, "{}", {}});
        return true;
    }
    Json news = Json::array();
    auto it = std::upper_bound(changes_.begin(), changes_.end(), watch.after,
                               [](std::uint64_t stamp, const Change& change) { return stamp < change.stamp; });
    for (; it != changes_.end(); ++it) {
        if (!has_prefix(it->key, watch.prefix)) continue;
        if (it->value)
            news.push_back({{"set", it->key}, {"value", *it->value}, {"stamp", it->stamp}});
        else
            news.push_back({{"delete", it->key}, {"stamp", it->stamp}});
    }
    if (news.empty() && !timed_out) return false;
    watch.reply(HttpResponse::ok(Json{{"epoch", revision_}, {"news", news}}.dump()));
    return true;
}

void Rig::answer_watches() {
    std::vector<Watch> waiting = std::move(watches_);
    watches_.clear();
    for (auto& watch : waiting)
        if (!answer_watch(watch, now() >= watch.until)) watches_.push_back(std::move(watch));
}

// ---- Cloud ----

Worker& Rig::add_machine(const std::string& type, const std::string& zone, bool spot, double boot_s) {
    char id[32];
    std::snprintf(id, sizeof id, "host-%06d", next_machine_++);
    auto& slot = machines[id];
    slot = std::make_unique<Worker>(*this, id, type, zone, spot);
    note(std::string("rented ") + id + " " + type + " " + zone);
    after(boot_s, [this, name = std::string(id)] {
        if (Worker* worker = machine(name)) worker->boot();
    });
    return *slot;
}

Worker* Rig::machine(const std::string& id) {
    const auto found = machines.find(id);
    return found == machines.end() ? nullptr : found->second.get();
}

void Rig::remove_machine(const std::string& id) {
    Worker* worker = machine(id);
    if (worker == nullptr) return;
    note("returned " + id);
    worker->drop_all("machine returned");
    worker->alive = false;
    // Timers and calls still refer to the worker, so that it is kept until the end; it is silent.
    gone_.push_back(std::move(machines[id]));
    machines.erase(id);
}

void Rig::handle_cloud(const HttpRequest& request, const Reply& reply) {
    if (!take(cloud_calls_, site_.cloud_rps, 2 * site_.cloud_rps, 1)) return reply({429, "{}", {}});
    const std::string& path = request.path;
    if (path == "/flavors") {
        Json breeds = Json::array();
        for (const auto& type : site_.types)
            breeds.push_back({{"sku", type.name},
                              {"vcpus", type.cpus},
                              {"gpus", type.gpus},
                              {"ram_gb", type.ram_gb},
                              {"local_gb", type.cache_gb},
                              {"fetch_gb_per_s", type.fetch_gb_per_s},
                              {"hourly", type.price},
                              {"low_price", type.spot_price},
                              {"boot_s", type.boot_s},
                              {"fields", site_.zones}});
        return reply(HttpResponse::ok(Json{{"breeds", breeds}}.dump()));
    }
    if (request.method == "GET" && has_prefix(path, "/machines")) {
        const std::string from = parameter(path, "after");
        const std::size_t most = std::min<std::uint64_t>(500, std::max<std::uint64_t>(1, parameter_number(path, "most")));
        Json list = Json::array();
        bool more = false;
        for (const auto& [id, worker] : machines) {
            // A new machine is missing from the list for its lag. Those that were up at the start are listed.
            if (id <= from || (worker->created_at > 1 && now() - worker->created_at < site_.list_lag_s)) continue;
            if (list.size() >= most) {
                more = true;
                break;
            }
            const bool failed = worker->died_at >= 0 && now() - worker->died_at > dead_shown_running_s;
            list.push_back({{"uid", id},
                            {"address", worker->address},
                            {"breed", worker->type},
                            {"field", worker->zone},
                            {"loaners", worker->spot},
                            {"phase", failed ? "failed" : worker->booted ? "running" : "booting"},
                            {"held_s", now() - worker->created_at}});
        }
        return reply(HttpResponse::ok(Json{{"werven", list}, {"has_next", more}}.dump()));
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return reply(HttpResponse::bad_request());
    note("cloud " + path + " " + request.body);
    if (path == "/machines/return") {
        for (const auto& id : body["werven"]) remove_machine(id.get<std::string>());
        return reply(HttpResponse::ok("{}"));
    }
    if (path != "/machines") return reply(HttpResponse::bad_request());
    ++rental_requests;
    auto& hired = hires_[body["hire"].get<std::string>()];
    if (hired.empty()) {
        if (!cloud_has_capacity)
            return reply(HttpResponse::service_unavailable(std::nullopt, R"({"error":"no capacity"})"));
        for (int i = 0; i < std::min(50, body["how_many"].get<int>()); ++i)
            hired.push_back(add_machine(body["breed"].get<std::string>(), body["field"].get<std::string>(),
                                        body["loaners"].get<bool>(), site_.boot_now_s)
                                .id);
    }
    reply(HttpResponse::ok(Json{{"werven", hired}}.dump()));
}

// ---- Tasks ----

void Rig::task_started(const Worker& worker, const Task& task) {
    const std::string name = task.job + "/" + std::to_string(task.index);
    note("starts " + name + "#" + std::to_string(task.attempt) + " on " + worker.id + " in " + worker.zone);
    ++starts_[task.job];
    auto fail = [&](const std::string& rule) {
        violations.push_back(rule + " " + name);
        note("VIOLATION " + violations.back() + " on " + worker.id);
    };
    auto& on = on_machines_[{task.job, task.index}];
    if (!on.empty() && !on.contains(worker.id)) fail("ran_twice");
    if (const auto told = cancelled_at_.find(task.job);
        told != cancelled_at_.end() && now() > told->second + site_.cancel_s)
        fail("ran_cancelled");
    const Json& job = jobs_.at(task.job);
    if ((job.contains("breeds") && job["breeds"].is_array() &&
         std::find(job["breeds"].begin(), job["breeds"].end(), worker.type) == job["breeds"].end()) ||
        (job.contains("field") && job["field"].is_string() && job["field"] != worker.zone) ||
        (worker.spot && !job["loaners"].get<bool>()))
        fail("wrong_place");
    int in_zone = 1;
    for (const auto& [where, ids] : on_machines_)
        for (const auto& id : ids) {
            if (where.first != task.job || where.second == task.index) continue;
            const Worker* other = machine(id);
            if (other != nullptr && other->zone == worker.zone)
                ++in_zone;
            else if (other != nullptr && job["one_zone"].get<bool>())
                fail("wrong_place");
        }
    if (job["apart"].get<bool>() && in_zone > (job["shards"].get<int>() + 1) / 2) fail("wrong_place");
    on.insert(worker.id);
    const auto limit = gpu_limits.find(job["crew"].get<std::string>());
    if (limit == gpu_limits.end()) return;
    double used = 0;
    for (const auto& [where, ids] : on_machines_)
        if (jobs_.at(where.first)["crew"] == limit->first)
            used += static_cast<double>(ids.size()) * jobs_.at(where.first)["gpus"].get<double>();
    if (used > limit->second + 1e-6) fail("quota");
}

void Rig::task_stopped(const Worker& worker, const Task& task) {
    on_machines_[{task.job, task.index}].erase(worker.id);
}

int Rig::tasks_on_machines(const std::string& job) const {
    int count = 0;
    for (const auto& [where, ids] : on_machines_)
        if (where.first == job) count += static_cast<int>(ids.size());
    return count;
}

// The tasks of an attempt start together once the last one has its image.
void Rig::gang_waiting(const std::string& job, std::uint64_t attempt) {
    std::vector<std::pair<Worker*, std::string>> members;
    for (auto& [id, worker] : machines)
        for (const auto& [key, task] : worker->tasks)
            if (task.job == job && task.attempt == attempt && task.phase == "waiting")
                members.emplace_back(worker.get(), key);
    if (static_cast<int>(members.size()) < jobs_.at(job)["shards"].get<int>()) return;
    for (auto& [worker, key] : members) worker->run(key);
}

// When a task of a running gang is gone, the others exit with `peers` within gang_peer_s.
void Rig::gang_lost(const std::string& job, std::uint64_t attempt) {
    after(site_.gang_peer_s * 0.5, [this, job, attempt] {
        for (auto& [id, worker] : machines) {
            std::vector<std::string> lost;
            for (const auto& [key, task] : worker->tasks)
                if (task.job == job && task.attempt == attempt && (task.phase == "running" || task.phase == "saving"))
                    lost.push_back(key);
            for (const auto& key : lost) worker->end(key, "peers");
        }
    });
}

// ---- Users ----

void Rig::user_request(const HttpRequest& request, double timeout_s,
                       const std::function<void(const HttpResponse&)>& done) {
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i].pid > 0) running.push_back(i);
    if (running.empty()) return after(0.01, [done] { done({}); });
    const std::size_t node = running[static_cast<std::size_t>(chance() * static_cast<double>(running.size())) % running.size()];
    users_->request(nodes_[node].api, request, duration(timeout_s),
                    [this, request, done, node](const HttpResponse& response) {
                        note("user " + request.method + " " + request.path + " at " + node_name(node) + " -> " +
                             std::to_string(response.status) + " " + response.body);
                        done(response);
                    });
}

void Rig::saw(const std::string& id, const std::string& what, const HttpResponse& response) {
    auto fail = [&](const std::string& rule) {
        violations.push_back(rule + " " + id);
        note("VIOLATION " + violations.back());
    };
    if (accepted_at_.contains(id) &&
        (response.status == 404 || (what == "submit" && (response.status == 400 || response.status == 422))))
        fail("forgotten");
    if (response.status != 200 && response.status != 201) return;
    const Json body = Json::parse(response.body, nullptr, false);
    const std::string phase = body.is_object() ? body.value("phase", "") : "";
    std::string& before = phases_[id];
    if ((before == "done" || before == "withdrawn") && phase != before) fail("went_back");
    if (phase == "withdrawn" && !cancel_asked_.contains(id)) fail("went_back");
    if (phase == "done" && static_cast<int>(completed_[id].size()) < jobs_.at(id)["shards"].get<int>()) fail("not_done");
    before = phase;
    accepted_at_.try_emplace(id, now());
    if (phase == "withdrawn") cancelled_at_.try_emplace(id, now());
}

void Rig::submit(const Json& job) {
    const std::string id = job["uid"].get<std::string>();
    jobs_[id] = job;
    Json body = job;
    body.erase("real_s");
    note("submits " + body.dump());
    user_request({"POST", "/api/jobs", body.dump()}, submit_timeout_s, [this, id, job](const HttpResponse& response) {
        saw(id, "submit", response);
        if (response.status != 200 && response.status != 201 && response.status != 400 && response.status != 422)
            after(retry_s, [this, job] { submit(job); });
    });
}

void Rig::poll(const std::string& id) {
    user_request({"GET", "/api/jobs/" + id, ""}, poll_timeout_s,
                 [this, id](const HttpResponse& response) { saw(id, "poll", response); });
}

void Rig::cancel(const std::string& id) {
    cancel_asked_.insert(id);
    user_request({"POST", "/api/jobs/" + id + "/cancel", ""}, submit_timeout_s,
                 [this, id](const HttpResponse& response) {
                     saw(id, "cancel", response);
                     if (response.status != 200) after(retry_s, [this, id] { cancel(id); });
                 });
}

std::string Rig::phase(const std::string& id) const {
    const auto found = phases_.find(id);
    return found == phases_.end() ? "" : found->second;
}

}  // namespace rig
