/// The simulated cloud that machines are rented from.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/env.h"
#include "fakes/random_source.h"
#include "fakes/simulated_clock.h"
#include "fakes/workers.h"
#include "wire/json_api.h"

namespace zincdyke::testing {

using wire::Json;

/// Serves the cloud's HTTP API: two machine types ("small": 4 CPUs; "gpu": 8 CPUs, 2 GPUs) in the given
/// zones. A new machine is listed 3 s after it was rented, and boots in 0.6 to 1.6 times `boot_s`.
class FakeCloud {
  public:
    struct Options {
        std::vector<std::string> zones;
        double boot_s = 5;
        double max_requests_per_s =
            0;              ///< 0: no limit. What is over gets 429, after a burst of twice the rate.
        int capacity = 40;  ///< Machines that exist at a time.
    };
    FakeCloud(Options options, SimulatedClock& clock, RandomSource& random, FakeWorkers& workers)
        : capacity(options.capacity),
          options_(std::move(options)),
          clock_(clock),
          random_(random),
          workers_(workers) {}

    /// Carries out one request and replies within this call.
    void handle(const HttpRequest& request, const Reply& reply);

    bool outage = false;  ///< All requests get 503.
    int capacity;
    int machines_rented = 0;  ///< Machines rented so far.

  private:
    bool take_token();
    [[nodiscard]] Json machine_types() const;
    void list_machines(const std::string& path, const Reply& reply) const;
    void rent(const Json& body, const Reply& reply);
    void return_machines(const Json& body, const Reply& reply);

    Options options_;
    SimulatedClock& clock_;
    RandomSource& random_;
    FakeWorkers& workers_;
    std::map<std::string, std::vector<std::string>> machines_of_rental_;  // a repeated request gets the same
    double tokens_ = 0, refilled_at_ = -1;
};

}  // namespace zincdyke::testing
