#include "fakes/workers.h"

#include <array>
#include <cstdio>
#include <utility>

namespace zincdyke::testing {

namespace {

constexpr double heartbeat_timeout_s = 4;
constexpr double retry_delay_s = 1;
constexpr double redirect_delay_s = 0.2;

std::string machine_name(std::uint64_t number) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "host-%06llu", static_cast<unsigned long long>(number));
    return text.data();
}

HttpRequest heartbeat_request(const std::string& body) { return {"POST", "/checkin", body}; }

void ignore_response(const HttpResponse& /*response*/) {}

}  // namespace

FakeWorkers::FakeWorkers(Options options, SimulatedClock& clock, RandomSource& random, FakeNetwork& network,
                         const MessageFaults& faults, ControllerHosts& controllers, HistoryChecker& checker,
                         const SubmittedJobs& jobs)
    : tasks(clock, checker, jobs, workers_),
      options_(options),
      clock_(clock),
      random_(random),
      network_(network),
      faults_(faults),
      controllers_(controllers),
      checker_(checker) {}

FakeWorker& FakeWorkers::add(const std::string& type, const std::string& zone, bool spot, double boot_s) {
    ++last_machine_number_;
    FakeWorker worker;
    worker.id = machine_name(last_machine_number_);
    worker.address = "10.1." + std::to_string(last_machine_number_ / 200) + "." +
                     std::to_string(last_machine_number_ % 200 + 1) + ":9000";
    worker.type = type;
    worker.zone = zone;
    worker.spot = spot;
    worker.faulty = new_machines_are_faulty;
    worker.created_at = clock_.now();
    const std::string id = worker.id;
    checker_.machine_added(id, {type, zone, spot});
    machine_by_address_[worker.address] = id;
    FakeWorker& added = workers_[id] = std::move(worker);
    clock_.after(boot_s, [this, id] {
        const auto found = workers_.find(id);
        if (found == workers_.end()) return;
        found->second.controller = random_.draw() % controllers_.count();
        found->second.lease_renewed_at = clock_.now();
        tick(id);
    });
    return added;
}

void FakeWorkers::crash(const std::string& id) {
    const auto found = workers_.find(id);
    if (found == workers_.end()) return;
    tasks.drop_all(found->second);
    found->second.alive = false;
}

void FakeWorkers::remove(const std::string& id) {
    const auto found = workers_.find(id);
    if (found == workers_.end()) return;
    tasks.drop_all(found->second);
    machine_by_address_.erase(found->second.address);
    workers_.erase(found);
}

void FakeWorkers::hang(const std::string& id, double seconds) {
    workers_.at(id).hung = true;
    clock_.after(seconds, [this, id] {
        const auto found = workers_.find(id);
        if (found == workers_.end()) return;
        found->second.hung = false;
        const auto deferred = std::move(found->second.deferred_while_hung);
        for (const auto& execute_request : deferred)
            if (workers_.contains(id)) execute_request();
    });
}

void FakeWorkers::announce_preemption(const std::string& id, double delay_s) {
    workers_.at(id).preemption_at = clock_.now() + delay_s;
    clock_.after(delay_s, [this, id] { crash(id); });
}

std::optional<std::string> FakeWorkers::find_by_address(const std::string& address) const {
    const auto found = machine_by_address_.find(address);
    return found == machine_by_address_.end() ? std::nullopt : std::optional(found->second);
}

int FakeWorkers::executing_tasks(const std::string& job) const {
    int count = 0;
    for (const auto& [id, worker] : workers_)
        for (const auto& [key, task] : worker.tasks)
            if (task.job == job && task.phase != "ended" && task.phase != "fetching") ++count;
    return count;
}

std::string FakeWorkers::state_report(FakeWorker& worker) {
    ++worker.sequence_number;
    Json list = Json::array();
    for (const auto& [key, task] : worker.tasks) {
        Json entry = {{"shard", task.job + "/" + std::to_string(task.index)},
                      {"try", task.attempt},
                      {"phase", task.phase}};
        if (task.phase == "ended") {
            entry["cause"] = task.end_cause;
            if (task.checkpoint_saved) entry["kept"] = true;
        }
        list.push_back(std::move(entry));
    }
    Json report = {{"werf", worker.id},
                   {"address", worker.address},
                   {"breed", worker.type},
                   {"field", worker.zone},
                   {"loaners", worker.spot},
                   {"tenure", worker.agent_epoch},
                   {"tick", worker.sequence_number},
                   {"baton", worker.fencing_token},
                   {"shards", list},
                   {"warning_s", nullptr}};
    if (worker.preemption_at) report["warning_s"] = std::max(0.0, *worker.preemption_at - clock_.now());
    return report.dump();
}

void FakeWorkers::tick(const std::string& id) {
    const auto found = workers_.find(id);
    if (found == workers_.end() || !found->second.alive) return;
    FakeWorker& worker = found->second;
    // The lease also expires while the agent hangs: tasks must not continue after lease expiry.
    if (clock_.now() - worker.lease_renewed_at > options_.lease_s) {
        tasks.drop_all(worker);
        ++worker.agent_epoch;
        worker.lease_renewed_at = clock_.now();
    }
    if (!worker.hung && worker.heartbeat_in_flight == 0 && clock_.now() >= worker.next_heartbeat_at)
        send_heartbeat(worker);
    clock_.after(options_.tick_s, [this, id] { tick(id); });
}

void FakeWorkers::send_heartbeat(FakeWorker& worker) {
    worker.heartbeat_in_flight = ++worker.heartbeats_sent;
    const Heartbeat heartbeat{worker.id,          state_report(worker), worker.heartbeat_in_flight,
                              worker.agent_epoch, *worker.controller,   clock_.now()};
    const std::size_t controller = heartbeat.controller;
    auto try_next = [this, heartbeat] {
        finish_heartbeat(heartbeat, retry_delay_s, heartbeat.controller + 1);
    };
    clock_.after(heartbeat_timeout_s, try_next);
    if (!controllers_.is_running(controller) || machines_without_heartbeats.contains(worker.id)) {
        clock_.after(0.01, try_next);
        return;
    }
    if (random_.happens(faults_.duplicate_heartbeats))
        clock_.after(faults_.duplicate_heartbeat_delay_s * random_.chance(),
                     [this, heartbeat] { deliver_duplicate(heartbeat.controller, heartbeat.body); });
    if (random_.happens(faults_.heartbeats_replayed_to_next_leader)) keep_for_next_leader(heartbeat);
    network_.send(worker.id, ControllerHosts::name(controller), [this, heartbeat] { deliver(heartbeat); });
}

void FakeWorkers::deliver(const Heartbeat& heartbeat) {
    const std::size_t controller = heartbeat.controller;
    if (!controllers_.is_running(controller)) return;
    auto send_back = [this, heartbeat](const HttpResponse& response) {
        network_.send(ControllerHosts::name(heartbeat.controller), heartbeat.machine,
                      [this, heartbeat, response] { on_response(heartbeat, response); });
    };
    controllers_.deliver(controller, controllers_.incarnation(controller), 0, [this, heartbeat, send_back] {
        controllers_.request(heartbeat.controller, heartbeat.machine, heartbeat_request(heartbeat.body),
                             send_back);
    });
}

void FakeWorkers::on_response(const Heartbeat& heartbeat, const HttpResponse& response) {
    const auto found = workers_.find(heartbeat.machine);
    if (found == workers_.end()) return;
    FakeWorker& worker = found->second;
    if (!worker.alive || worker.hung || worker.heartbeat_in_flight == 0) return;
    Json body = Json::parse(response.body, nullptr, false);
    if (response.status == 421) return follow_redirect(heartbeat, body.value("foreman", ""));
    if (response.status != 200) {
        finish_heartbeat(heartbeat, retry_delay_s, heartbeat.controller + 1);
        return;
    }
    const double wait_s = options_.heartbeat_interval_s * (0.75 + 0.5 * random_.chance());
    if (!finish_heartbeat(heartbeat, wait_s, heartbeat.controller)) return;
    const std::uint64_t token = body.value("baton", std::uint64_t{0});
    if (token < worker.fencing_token || token == 0 || heartbeat.agent_epoch != worker.agent_epoch) return;
    accept_token(worker, token);
    if (clock_.now() - worker.lease_renewed_at > options_.lease_s) return;
    worker.lease_renewed_at = std::max(worker.lease_renewed_at, heartbeat.sent_at);
    tasks.execute(worker, body["orders"]);
}

void FakeWorkers::follow_redirect(const Heartbeat& heartbeat, const std::string& leader) {
    for (std::size_t host = 0; host < controllers_.count(); ++host)
        if (host != heartbeat.controller && leader == ControllerHosts::name(host)) {
            finish_heartbeat(heartbeat, redirect_delay_s, host);
            return;
        }
    finish_heartbeat(heartbeat, retry_delay_s, heartbeat.controller + 1);
}

bool FakeWorkers::finish_heartbeat(const Heartbeat& heartbeat, double wait_s, std::size_t next) {
    const auto found = workers_.find(heartbeat.machine);
    if (found == workers_.end() || found->second.heartbeat_in_flight != heartbeat.number) return false;
    found->second.heartbeat_in_flight = 0;
    found->second.next_heartbeat_at = clock_.now() + wait_s;
    found->second.controller = next % controllers_.count();
    return true;
}

void FakeWorkers::handle(const std::string& id, const HttpRequest& request, const Reply& reply) {
    const auto found = workers_.find(id);
    if (found == workers_.end() || !found->second.alive) return;
    auto execute_request = [this, id, request, reply] {
        if (const auto worker = workers_.find(id); worker != workers_.end())
            execute(worker->second, request, reply);
    };
    if (found->second.hung)
        found->second.deferred_while_hung.push_back(execute_request);
    else
        execute_request();
}

void FakeWorkers::handle_while_hung(const std::string& id, const HttpRequest& request, const Reply& reply) {
    const auto found = workers_.find(id);
    if (found != workers_.end() && found->second.alive) execute(found->second, request, reply);
}

void FakeWorkers::execute(FakeWorker& worker, const HttpRequest& request, const Reply& reply) {
    if (request.path == "/status") return reply({200, state_report(worker), -1});
    const Json body = Json::parse(request.body);
    const auto token = body["baton"].get<std::uint64_t>();
    if (token < worker.fencing_token || body["tenure"].get<std::uint64_t>() != worker.agent_epoch)
        return reply({409, state_report(worker), -1});
    accept_token(worker, token);
    tasks.execute(worker, body["orders"]);
    reply({200, state_report(worker), -1});
}

void FakeWorkers::accept_token(FakeWorker& worker, std::uint64_t token) {
    // Limits the heartbeats triggered by new fencing tokens to one per half lease.
    if (token > worker.fencing_token &&
        clock_.now() - worker.last_token_heartbeat_at >= options_.lease_s / 2) {
        worker.last_token_heartbeat_at = clock_.now();
        worker.prompt_heartbeat(clock_.now());
    }
    worker.fencing_token = token;
}

void FakeWorkers::deliver_duplicate(std::size_t controller, const std::string& body) {
    if (controllers_.is_running(controller))
        controllers_.request(controller, "copy", heartbeat_request(body), ignore_response);
}

void FakeWorkers::duplicate_heartbeat(const std::string& id, std::size_t controller, double delay) {
    clock_.after(delay, [this, controller, body = state_report(workers_.at(id))] {
        deliver_duplicate(controller, body);
    });
}

void FakeWorkers::keep_for_next_leader(const Heartbeat& heartbeat) {
    const auto term =
        controllers_.node(heartbeat.controller).cluster().leader_term(MachineId(heartbeat.machine));
    if (term) kept_heartbeats_.push_back({heartbeat.machine, heartbeat.body, *term});
}

void FakeWorkers::replay_kept_heartbeats() {
    std::erase_if(kept_heartbeats_, [this](const KeptHeartbeat& kept) {
        for (std::size_t host = 0; host < controllers_.count(); ++host) {
            if (!controllers_.is_running(host)) continue;
            const auto term = controllers_.node(host).cluster().leader_term(MachineId(kept.machine));
            if (!term || *term <= kept.term) continue;
            // Half of the delays are short, so that some duplicates arrive before the machine's next
            // heartbeat.
            const double delay = random_.chance() < 0.5 ? 0.1 * random_.chance() : 3 * random_.chance();
            clock_.after(delay, [this, host, incarnation = controllers_.incarnation(host), body = kept.body] {
                controllers_.deliver(host, incarnation, 0,
                                     [this, host, body] { deliver_duplicate(host, body); });
            });
            return true;
        }
        return false;
    });
}

}  // namespace zincdyke::testing
