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

/// Sends requests to the cloud and keeps within its request rate by queueing them.
///
/// Every `done` is called once, from the event loop. Must outlive its requests; `env` and `settings` must
/// outlive it.
class CloudClient {
  public:
    /// The result of a request to provision machines.
    enum class ProvisionOutcome : std::uint8_t {
        ok,
        no_capacity,  ///< The cloud has no machines of this kind at present.
        error,        ///< The cloud rejected the request, or the queue is full.
        unknown,      ///< No valid response: machines may have been provisioned.
    };
    CloudClient(Env& env, const Settings& settings);
    /// Lists the cloud's machine types. Passes nothing to `done` if the request fails.
    void list_machine_types(std::function<void(std::optional<std::vector<wire::MachineType>>)> done);
    /// Lists one page of the machines, in name order, starting behind the name `after` (empty: from the
    /// first). Passes nothing to `done` if the request fails.
    void list_machines(const std::string& after, std::function<void(std::optional<wire::MachinePage>)> done);
    /// Provisions up to `count` machines and passes their names to `done`. `request` is the idempotency key:
    /// it must be unique to this request.
    void provision(const std::string& request, const std::string& type, const std::string& zone, bool spot,
                   std::uint32_t count, std::function<void(ProvisionOutcome, std::vector<MachineId>)> done);
    /// Terminates machines. Passes to `done` whether the cloud has confirmed the termination.
    void terminate(const std::vector<MachineId>& machines, std::function<void(bool)> done);
    /// Number of requests that wait for the rate limit.
    std::size_t queued_requests() const { return queue_.size(); }

  private:
    void enqueue(HttpRequest request, Reply done);
    void send_queued();
    Env& env_;
    const Settings& settings_;
    TokenBucket rate_limit_;
    std::deque<std::pair<HttpRequest, Reply>> queue_;
    Env::TimerId timer_ = 0;  // calls send_queued(); 0: not set
};

}  // namespace zincdyke
