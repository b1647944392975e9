#include "fakes/cloud.h"

#include <algorithm>
#include <utility>

namespace zincdyke::testing {

namespace {

constexpr std::size_t machines_per_page = 500;
constexpr int max_machines_per_rental = 50;
constexpr double list_delay_s = 3;

}  // namespace

bool FakeCloud::take_token() {
    const double rate = options_.max_requests_per_s;
    if (rate <= 0) return true;
    tokens_ =
        refilled_at_ < 0 ? 2 * rate : std::min(2 * rate, tokens_ + rate * (clock_.now() - refilled_at_));
    refilled_at_ = clock_.now();
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

void FakeCloud::handle(const HttpRequest& request, const Reply& reply) {
    if (!take_token()) return reply({429, "{}", -1});
    if (outage) return reply({503, R"({"error":"trouble"})", -1});
    if (request.path == "/flavors") return reply({200, machine_types().dump(), -1});
    if (request.method == "GET") return list_machines(request.path, reply);
    const Json body = Json::parse(request.body);
    if (request.path == "/machines/return") return return_machines(body, reply);
    rent(body, reply);
}

Json FakeCloud::machine_types() const {
    const Json zones = options_.zones;
    const Json small = {{"sku", "small"}, {"vcpus", 4.0},     {"gpus", 0.0},
                        {"ram_gb", 16.0}, {"local_gb", 50.0}, {"fetch_gb_per_s", 1.0},
                        {"hourly", 1.0},  {"low_price", 0.4}, {"boot_s", options_.boot_s},
                        {"fields", zones}};
    const Json gpu = {{"sku", "gpu"},   {"vcpus", 8.0},     {"gpus", 2.0},
                      {"ram_gb", 32.0}, {"local_gb", 50.0}, {"fetch_gb_per_s", 1.0},
                      {"hourly", 4.0},  {"low_price", 1.5}, {"boot_s", options_.boot_s},
                      {"fields", zones}};
    return {{"breeds", Json::array({small, gpu})}};
}

void FakeCloud::list_machines(const std::string& path, const Reply& reply) const {
    const auto parameter = path.find("after=");
    const std::string after = parameter == std::string::npos ? "" : path.substr(parameter + 6);
    Json list = Json::array();
    bool has_next = false;
    const auto& machines = workers_.all();
    for (auto it = machines.upper_bound(after); it != machines.end(); ++it) {
        const auto& [id, worker] = *it;
        if (list.size() == machines_per_page) {
            has_next = true;
            break;
        }
        if (worker.created_at + list_delay_s >= clock_.now()) continue;
        list.push_back({{"uid", id},
                        {"address", worker.address},
                        {"breed", worker.type},
                        {"field", worker.zone},
                        {"loaners", worker.spot},
                        {"phase", worker.has_booted() ? "running" : "booting"},
                        {"held_s", clock_.now() - worker.created_at}});
    }
    reply({200, Json{{"werven", list}, {"has_next", has_next}}.dump(), -1});
}

void FakeCloud::return_machines(const Json& body, const Reply& reply) {
    for (const auto& id : body["werven"]) workers_.remove(id.get<std::string>());
    reply({200, "{}", -1});
}

void FakeCloud::rent(const Json& body, const Reply& reply) {
    const std::string rental = body["hire"].get<std::string>();
    if (!machines_of_rental_.contains(rental)) {
        const int available = capacity - static_cast<int>(workers_.all().size());
        const int count = std::min({available, body["how_many"].get<int>(), max_machines_per_rental});
        if (count <= 0) return reply({503, R"({"error":"no capacity"})", -1});
        for (int i = 0; i < count; ++i) {
            ++machines_rented;
            const FakeWorker& worker =
                workers_.add(body["breed"].get<std::string>(), body["field"].get<std::string>(),
                             body["loaners"].get<bool>(), options_.boot_s * (0.6 + random_.chance()));
            machines_of_rental_[rental].push_back(worker.id);
        }
    }
    reply({200, Json{{"werven", machines_of_rental_[rental]}}.dump(), -1});
}

}  // namespace zincdyke::testing
