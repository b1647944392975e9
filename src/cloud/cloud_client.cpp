#include "cloud/cloud_client.h"

#include "base/log.h"

namespace zincdyke {
namespace {
constexpr std::size_t most_queued = 64;
constexpr Duration call_limit = std::chrono::seconds(4);
}  // namespace

CloudClient::CloudClient(Env& env, const Settings& settings) : env_(env), settings_(settings) {
    bucket_.set_rate(std::max(0.1, settings.cloud_rps * 0.9));
}

void CloudClient::submit(HttpRequest req, Reply done) {
    if (queue_.size() >= most_queued) {
        env_.after(Duration(0), [done = std::move(done)] { done({429, "", -1}); });
        return;
    }
    queue_.emplace_back(std::move(req), std::move(done));
    pump();
}

void CloudClient::pump() {
    while (!queue_.empty()) {
        if (!bucket_.has(env_.now(), 1)) {
            if (timer_ == 0)
                timer_ = env_.after(bucket_.until(1), [this] {
                    timer_ = 0;
                    pump();
                });
            return;
        }
        bucket_.take(1);
        auto [req, done] = std::move(queue_.front());
        queue_.pop_front();
        env_.http(settings_.cloud, std::move(req), call_limit, std::move(done));
    }
}

void CloudClient::types(std::function<void(std::optional<std::vector<wire::MachineType>>)> done) {
    submit({"GET", "/flavors", ""}, [done = std::move(done)](const HttpResponse& h) {
        done(h.status == 200 ? wire::parse_types(h.body) : std::nullopt);
    });
}

void CloudClient::list(const std::string& after, std::function<void(std::optional<wire::MachinePage>)> done) {
    std::string path = "/machines?most=500";
    if (!after.empty()) path += "&after=" + after;
    submit({"GET", path, ""}, [done = std::move(done)](const HttpResponse& h) {
        done(h.status == 200 ? wire::parse_machine_page(h.body) : std::nullopt);
    });
}

void CloudClient::rent(const std::string& request, const std::string& type, const std::string& zone,
                       bool spot, std::uint32_t count,
                       std::function<void(Rent, std::vector<MachineId>)> done) {
    submit({"POST", "/machines", wire::rent_body(request, type, zone, spot, count)},
           [done = std::move(done)](const HttpResponse& h) {
               if (h.status == 200) {
                   auto names = wire::parse_machine_names(h.body);
                   if (names) return done(Rent::ok, std::move(*names));
                   return done(Rent::unknown, {});
               }
               if (h.status == 503 && h.body.find("no capacity") != std::string::npos)
                   return done(Rent::no_capacity, {});
               done(h.status == 0 ? Rent::unknown : Rent::trouble, {});
           });
}

void CloudClient::give_back(const std::vector<MachineId>& machines, std::function<void(bool)> done) {
    submit({"POST", "/machines/return", wire::return_body(machines)},
           [done = std::move(done)](const HttpResponse& h) { done(h.status == 200); });
}

}  // namespace zincdyke
