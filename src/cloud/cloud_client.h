/// Client of the cloud's HTTP API, which lists, provisions and terminates machines.
#pragma once
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "store/store_client.h"
#include "wire/json_api.h"

namespace zincdyke {

/// Sends requests to the cloud. Requests that would exceed the cloud's rate limit are queued.
///
/// Each `done` callback is called exactly once, on the event-loop thread. The client must outlive its
/// requests, and `env` and `settings` must outlive the client.
class CloudClient {
  public:
    /// The result of a request to provision machines.
    enum class ProvisionOutcome : std::uint8_t {
        ok,
        no_capacity,  ///< The cloud has no such machines at present.
        error,        ///< The cloud rejected the request, or the request queue is full.
        unknown,      ///< No valid response was received: machines may have been provisioned.
    };
    CloudClient(Env& env, const Settings& settings);
    /// Lists the cloud's machine types and passes them to `done`, or nothing if the request fails.
    void list_machine_types(std::function<void(std::optional<std::vector<wire::MachineType>>)> done);
    /// Lists one page of machines, ordered by name, and passes it to `done`, or nothing if the request fails.
    /// The page starts with the first name greater than `start_after`; if `start_after` is empty, with the
    /// first machine.
    void list_machines(const std::string& start_after,
                       std::function<void(std::optional<wire::MachinePage>)> done);
    /// Provisions up to `count` machines and passes their names to `done`. `request` is the idempotency key
    /// and must differ for each request.
    void provision_machines(const std::string& request, const std::string& type, const std::string& zone,
                            bool spot, std::uint32_t count,
                            std::function<void(ProvisionOutcome, std::vector<MachineId>)> done);
    /// Terminates machines, and calls `done` with true if the cloud has confirmed the termination, otherwise
    /// with false.
    void terminate_machines(const std::vector<MachineId>& machines, std::function<void(bool)> done);
    /// Returns the number of requests that wait because of the rate limit.
    std::size_t queued_requests() const { return queued_requests_.size(); }

  private:
    void enqueue_request(HttpRequest request, Reply done);
    void send_queued_requests();
    Env& env_;
    const Settings& settings_;
    TokenBucket rate_limit_;
    std::deque<std::pair<HttpRequest, Reply>> queued_requests_;
    Env::TimerId send_timer_ = 0;  // calls send_queued_requests(); 0: not set
};

}  // namespace zincdyke
