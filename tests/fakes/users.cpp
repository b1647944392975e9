#include "fakes/users.h"

#include <algorithm>
#include <utility>

#include "fakes/http_transport.h"

namespace zincdyke::testing {

namespace {

constexpr int max_attempts = 60;
constexpr double retry_timeout_s = 5, poll_timeout_s = 1.9;
constexpr double retry_delay_s = 1;
constexpr double cancellation_delay_s = 2;

std::string phase_of(const HttpResponse& response) {
    const Json body = Json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("phase", "") : "";
}

JobProperties properties_of(const Json& body, double now) {
    JobProperties properties;
    properties.team = body["crew"].get<std::string>();
    properties.tasks = body["shards"].get<int>();
    properties.job_class = body.value("ilk", "");
    properties.submitted_at = now;
    properties.cpu = body["vcpus"].get<double>();
    properties.gpu = body["gpus"].get<double>();
    properties.one_zone = body["one_zone"].get<bool>();
    properties.spread = body["apart"].get<bool>();
    properties.spot = body["loaners"].get<bool>();
    if (body.contains("field") && body["field"].is_string())
        properties.zone = body["field"].get<std::string>();
    if (body.contains("breeds") && body["breeds"].is_array()) {
        properties.types_given = true;
        for (const auto& type : body["breeds"]) properties.types.insert(type.get<std::string>());
    }
    return properties;
}

}  // namespace

std::string FakeUsers::last_phase(const std::string& id) const {
    const auto phase = last_phases_.find(id);
    return phase == last_phases_.end() ? "" : phase->second;
}

bool FakeUsers::is_accepted(const std::string& id) const {
    const auto job = jobs_.find(id);
    return job != jobs_.end() && job->second.accepted;
}

void FakeUsers::submit(const Json& body, int controller) {
    const std::string id = body["uid"].get<std::string>();
    jobs_[id].body = body;
    checker_.job_submitted(id, properties_of(body, clock_.now()));
    send({RequestKind::submit, id, {"POST", "/api/jobs", body.dump()}, controller, max_attempts});
}

void FakeUsers::poll(const std::string& id, int controller) {
    checker_.poll_sent(clock_.now(), id);
    // A user sends one request at a time because concurrent responses could be reordered.
    if (!cancelling_.contains(id))
        send({RequestKind::poll, id, {"GET", "/api/jobs/" + id, ""}, controller, 1});
}

void FakeUsers::cancel(const std::string& id, int controller) {
    checker_.cancellation_requested(id);
    cancelling_.insert(id);
    clock_.after(cancellation_delay_s, [this, id, controller] {
        send(
            {RequestKind::cancel, id, {"POST", "/api/jobs/" + id + "/cancel", ""}, controller, max_attempts});
    });
}

void FakeUsers::send(const Request& request) {
    if (request.attempts_left <= 0) {
        // Allows polling again after all attempts to cancel have failed.
        if (request.kind == RequestKind::cancel) cancelling_.erase(request.job);
        return;
    }
    Attempt attempt;
    attempt.request = request;
    attempt.host = request.controller >= 0 ? static_cast<std::size_t>(request.controller)
                                           : random_.draw() % controllers_.count();
    attempt.sent_at = clock_.now();
    clock_.after(is_retried(request) ? retry_timeout_s : poll_timeout_s, [this, attempt] {
        if (!std::exchange(*attempt.is_completed, true) && is_retried(attempt.request))
            retry_later(attempt.request);
    });
    if (!controllers_.is_running(attempt.host)) return;
    network_.send("users", ControllerHosts::name(attempt.host), [this, attempt] { deliver(attempt); });
}

void FakeUsers::retry_later(const Request& request) {
    clock_.after(retry_delay_s, [this, request] {
        Request next = request;
        --next.attempts_left;
        send(next);
    });
}

void FakeUsers::deliver(const Attempt& attempt) {
    const std::size_t host = attempt.host;
    if (!controllers_.is_running(host)) return;
    auto send_back = [this, attempt](const HttpResponse& response) {
        network_.send(ControllerHosts::name(attempt.host), "users",
                      [this, attempt, response] { on_response(attempt, response); });
    };
    controllers_.deliver(host, controllers_.incarnation(host), 0, [this, attempt, send_back] {
        controllers_.request(attempt.host, "users", attempt.request.http, send_back);
    });
}

void FakeUsers::on_response(const Attempt& attempt, const HttpResponse& response) {
    if (std::exchange(*attempt.is_completed, true)) return;
    const Request& request = attempt.request;
    max_response_time_s_ = std::max(max_response_time_s_, clock_.now() - attempt.sent_at);
    if (response.status < 300)
        maybe_duplicate(clock_, random_, faults_, request.http, [this, request] { duplicate(request); });
    const std::string phase = phase_of(response);
    checker_.response_received(clock_.now(), request.job, request.kind == RequestKind::submit,
                               response.status, phase);
    if (response.status == 200 || response.status == 201) {
        if (request.kind == RequestKind::submit) jobs_[request.job].accepted = true;
        last_phases_[request.job] = phase;
        if (request.kind == RequestKind::cancel) cancelling_.erase(request.job);
    } else if (response.status >= 429 && is_retried(request)) {
        retry_later(request);
    }
}

void FakeUsers::duplicate(const Request& request) {
    const std::size_t host = random_.draw() % controllers_.count();
    if (!controllers_.is_running(host) || controllers_.is_frozen(host)) return;
    controllers_.request(host, "copy", request.http, [this, request](const HttpResponse& response) {
        checker_.response_received(clock_.now(), request.job, request.kind == RequestKind::submit,
                                   response.status, phase_of(response));
    });
}

}  // namespace zincdyke::testing
