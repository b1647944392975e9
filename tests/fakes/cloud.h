/// A simulated cloud from which the controllers rent machines.
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

/// A fake of the cloud's HTTP API. It offers two machine types ("small" with 4 CPUs; "gpu" with 8 CPUs and 2
/// GPUs) in the configured zones. A rented machine appears in the list of machines after 3 s and takes 0.6 to
/// 1.6 times `boot_s` to boot.
class FakeCloud {
  public:
    struct Options {
        std::vector<std::string> zones;
        double boot_s = 5;
        /// Rate limit; requests over it get status 429. Bursts of twice the rate are allowed. 0: no limit.
        double max_requests_per_s = 0;
        int capacity = 40;  ///< Maximum number of machines that exist at the same time.
    };
    FakeCloud(Options options, SimulatedClock& clock, RandomSource& random, FakeWorkers& workers)
        : capacity(options.capacity),
          options_(std::move(options)),
          clock_(clock),
          random_(random),
          workers_(workers) {}

    /// Executes an HTTP request to the cloud and calls `reply` before it returns.
    void handle(const HttpRequest& request, const Reply& reply);

    bool outage = false;      ///< If true, the cloud answers every request with status 503.
    int capacity;             ///< Maximum number of machines that exist at the same time.
    int machines_rented = 0;  ///< Total number of machines rented since the start.

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
    std::map<std::string, std::vector<std::string>>
        machines_of_rental_;  // machine ids by rental id; make rentals idempotent
    double tokens_ = 0, refilled_at_ = -1;
};

}  // namespace zincdyke::testing
