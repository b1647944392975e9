#include "cloud/cloud_client.h"

#include "base/log.h"

namespace zincdyke {
namespace {
constexpr std::size_t max_queued_requests = 64;
constexpr Duration call_timeout = std::chrono::seconds(4);
}  // namespace

CloudClient::CloudClient(Env& env, const Settings& settings) : env_(env), settings_(settings) {
    // The client stays 10% below the cloud's rate limit, so that the cloud does not reject its requests.
    rate_limit_.set_refill_rate(std::max(0.1, settings.cloud_rps * 0.9));
}

void CloudClient::enqueue_request(HttpRequest request, Reply done) {
    if (queued_requests_.size() >= max_queued_requests) {
        env_.after(Duration(0), [done = std::move(done)] { done({429, "", -1}); });
        return;
    }
    queued_requests_.emplace_back(std::move(request), std::move(done));
    send_queued_requests();
}

void CloudClient::send_queued_requests() {
    while (!queued_requests_.empty()) {
        if (!rate_limit_.refill_and_check(env_.now(), 1)) {
            if (send_timer_ == 0)
                send_timer_ = env_.after(rate_limit_.time_until(1), [this] {
                    send_timer_ = 0;
                    send_queued_requests();
                });
            return;
        }
        rate_limit_.take(1);
        auto [request, done] = std::move(queued_requests_.front());
        queued_requests_.pop_front();
        env_.http(settings_.cloud_address, std::move(request), call_timeout, std::move(done));
    }
}

void CloudClient::list_machine_types(
    std::function<void(std::optional<std::vector<wire::MachineType>>)> done) {
    enqueue_request({"GET", "/flavors", ""}, [done = std::move(done)](const HttpResponse& response) {
        done(response.status == 200 ? wire::parse_machine_types(response.body) : std::nullopt);
    });
}

void CloudClient::list_machines(const std::string& start_after,
                                std::function<void(std::optional<wire::MachinePage>)> done) {
    std::string path = "/machines?most=500";
    if (!start_after.empty()) path += "&after=" + start_after;
    enqueue_request({"GET", path, ""}, [done = std::move(done)](const HttpResponse& response) {
        done(response.status == 200 ? wire::parse_machine_page(response.body) : std::nullopt);
    });
}

void CloudClient::provision_machines(const std::string& request, const std::string& type,
                                     const std::string& zone, bool spot, std::uint32_t count,
                                     std::function<void(ProvisionOutcome, std::vector<MachineId>)> done) {
    enqueue_request({"POST", "/machines", wire::provision_request_body(request, type, zone, spot, count)},
                    [done = std::move(done)](const HttpResponse& response) {
                        if (response.status == 200) {
                            auto names = wire::parse_machine_ids(response.body);
                            if (names) return done(ProvisionOutcome::ok, std::move(*names));
                            return done(ProvisionOutcome::unknown, {});
                        }
                        if (response.status == 503 && response.body.find("no capacity") != std::string::npos)
                            return done(ProvisionOutcome::no_capacity, {});
                        done(response.status == 0 ? ProvisionOutcome::unknown : ProvisionOutcome::error, {});
                    });
}

void CloudClient::terminate_machines(const std::vector<MachineId>& machines, std::function<void(bool)> done) {
    enqueue_request({"POST", "/machines/return", wire::terminate_request_body(machines)},
                    [done = std::move(done)](const HttpResponse& response) { done(response.status == 200); });
}

}  // namespace zincdyke
