#include "fakes/http_transport.h"

#include <optional>
#include <utility>

namespace zincdyke::testing {

namespace {

constexpr double cloud_latency_s = 0.1;

void ignore_response(const HttpResponse& /*response*/) {}

bool is_commit(const HttpRequest& request) { return request.path == "/commit"; }
bool is_list(const HttpRequest& request) { return request.path.rfind("/store?", 0) == 0; }

}  // namespace

void maybe_duplicate(SimulatedClock& clock, RandomSource& random, const MessageFaults& faults,
                     const HttpRequest& request, std::function<void()> execute) {
    if (request.method == "POST" && random.happens(faults.duplicate_requests))
        clock.after(faults.duplicate_request_delay_s * random.chance(), std::move(execute));
}

void HttpTransport::request(const std::string& from, const std::string& address, const HttpRequest& request,
                            Reply reply) {
    if (is_unsupported_by_sender(from, request)) return;
    if (address == store_address) return to_store(from, request, reply);
    if (address == cloud_address) return to_cloud(from, request, reply);
    const std::optional<std::string> machine = parties_.workers.find_by_address(address);
    if (machine) to_worker(from, *machine, request, reply);
}

bool HttpTransport::is_unsupported_by_sender(const std::string& from, const HttpRequest& request) const {
    return is_commit(request) && request.body.find("\"z/v/") != std::string::npos &&
           parties_.controllers.runs_production_version(from);
}

void HttpTransport::to_store(const std::string& from, const HttpRequest& request, const Reply& reply) {
    SimulatedClock& clock = parties_.clock;
    RandomSource& random = parties_.random;
    const MessageFaults& faults = parties_.faults;
    auto execute_without_response = [this, from, request] {
        parties_.store.handle(from, request, ignore_response);
    };
    maybe_duplicate(clock, random, faults, request, execute_without_response);
    if (is_commit(request) && random.happens(faults.late_commits)) {
        clock.after(2 + 10 * random.chance(), execute_without_response);
        return;
    }
    const bool is_response_lost = is_commit(request) && random.happens(faults.lost_commit_responses);
    const double list_delay_s = is_list(request) ? faults.list_response_delay_s : 0;
    parties_.network.send(from, "state", [this, from, request, reply, is_response_lost, list_delay_s] {
        parties_.store.handle(
            from, request, [this, from, reply, is_response_lost, list_delay_s](HttpResponse response) {
                if (is_response_lost) return;
                parties_.clock.after(
                    list_delay_s + parties_.faults.store_response_delay_s * parties_.random.chance(),
                    [this, from, reply, response = std::move(response)] {
                        parties_.network.send("state", from, [reply, response] { reply(response); });
                    });
            });
    });
}

void HttpTransport::to_cloud(const std::string& from, const HttpRequest& request, const Reply& reply) {
    maybe_duplicate(parties_.clock, parties_.random, parties_.faults, request,
                    [this, request] { parties_.cloud.handle(request, ignore_response); });
    parties_.network.send(from, "cloud", [this, from, request, reply] {
        parties_.cloud.handle(request, [this, from, reply](HttpResponse response) {
            parties_.clock.after(cloud_latency_s, [this, from, reply, response = std::move(response)] {
                parties_.network.send("cloud", from, [reply, response] { reply(response); });
            });
        });
    });
}

void HttpTransport::to_worker(const std::string& from, const std::string& machine, const HttpRequest& request,
                              const Reply& reply) {
    RandomSource& random = parties_.random;
    const MessageFaults& faults = parties_.faults;
    maybe_duplicate(parties_.clock, random, faults, request, [this, machine, request] {
        parties_.workers.handle_while_hung(machine, request, ignore_response);
    });
    if (request.method == "POST" && random.happens(faults.late_commands)) {
        parties_.clock.after(2 + 14 * random.chance(), [this, machine, request] {
            if (!parties_.network.parties_without_inbound.contains(machine))
                parties_.workers.handle(machine, request, ignore_response);
        });
        return;
    }
    const double delay = random.happens(faults.late_command_responses) ? 4 * random.chance() : 0;
    parties_.network.send(from, machine, [this, machine, from, request, reply, delay] {
        parties_.workers.handle(machine, request, [this, machine, from, reply, delay](HttpResponse response) {
            auto send_back = [this, machine, from, reply, response = std::move(response)] {
                parties_.network.send(machine, from, [reply, response] { reply(response); });
            };
            if (delay > 0)
                parties_.clock.after(delay, send_back);
            else
                send_back();
        });
    });
}

}  // namespace zincdyke::testing
