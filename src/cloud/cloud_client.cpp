#include "cloud/cloud_client.h"

#include "base/log.h"

namespace zincdyke {
namespace {
constexpr std::size_t max_queued_requests = 64;
constexpr Duration call_timeout = std::chrono::seconds(4);
}  // namespace

CloudClient::CloudClient(Env& env, const Settings& settings) : env_(env), settings_(settings) {
    // The client leaves a margin below the cloud's request rate limit.
    rate_limit_.set_refill_rate(std::max(0.1, settings.cloud_rps * 0.9));
}

void CloudClient::enqueue(HttpRequest request, Reply done) {
    if (queue_.size() >= max_queued_requests) {
        env_.after(Duration(0), [done = std::move(done)] { done({429, "", -1}); });
        return;
    }
    queue_.emplace_back(std::move(request), std::move(done));
    send_queued();
}

void CloudClient::send_queued() {
    while (!queue_.empty()) {
        if (!rate_limit_.refill_and_check(env_.now(), 1)) {
            if (timer_ == 0)
                timer_ = env_.after(rate_limit_.time_until(1), [this] {
                    timer_ = 0;
                    send_queued();
                });
            return;
        }
        rate_limit_.take(1);
        auto [request, done] = std::move(queue_.front());
        queue_.pop_front();
        env_.http(settings_.cloud, std::move(request), call_timeout, std::move(done));
    }
}

void CloudClient::list_machine_types(
    std::function<void(std::optional<std::vector<wire::MachineType>>)> done) {
    enqueue({"GET", "/flavors", ""}, [done = std::move(done)](const HttpResponse& response) {
        done(response.status == 200 ? wire::parse_types(response.body) : std::nullopt);
    });
}

void CloudClient::list_machines(const std::string& after,
                                std::function<void(std::optional<wire::MachinePage>)> done) {
    std::string path = "/machines?most=500";
    if (!after.empty()) path += "&after=" + after;
    enqueue({"GET", path, ""}, [done = std::move(done)](const HttpResponse& response) {
        done(response.status == 200 ? wire::parse_machine_page(response.body) : std::nullopt);
    });
}

void CloudClient::provision(const std::string& request, const std::string& type, const std::string& zone,
                            bool spot, std::uint32_t count,
                            std::function<void(ProvisionOutcome, std::vector<MachineId>)> done) {
    enqueue({"POST", "/machines", wire::rent_body(request, type, zone, spot, count)},
            [done = std::move(done)](const HttpResponse& response) {
                if (response.status == 200) {
                    auto names = wire::parse_machine_names(response.body);
                    if (names) return done(ProvisionOutcome::ok, std::move(*names));
                    return done(ProvisionOutcome::unknown, {});
                }
                if (response.status == 503 && response.body.find("no capacity") != std::string::npos)
                    return done(ProvisionOutcome::no_capacity, {});
                done(response.status == 0 ? ProvisionOutcome::unknown : ProvisionOutcome::error, {});
            });
}

void CloudClient::terminate(const std::vector<MachineId>& machines, std::function<void(bool)> done) {
    enqueue({"POST", "/machines/return", wire::return_body(machines)},
            [done = std::move(done)](const HttpResponse& response) { done(response.status == 200); });
}

}  // namespace zincdyke
