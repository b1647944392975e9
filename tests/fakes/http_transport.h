/// Simulated HTTP from the controllers to the key-value store, the cloud and the workers.
#pragma once
#include <functional>
#include <string>

#include "base/env.h"
#include "fakes/cloud.h"
#include "fakes/controller_hosts.h"
#include "fakes/key_value_store.h"
#include "fakes/message_faults.h"
#include "fakes/network.h"
#include "fakes/workers.h"

namespace zincdyke::testing {

/// Delivers the controllers' HTTP requests to the fake that has the requested address, and returns the
/// responses. Both are sent over the FakeNetwork and are subject to the MessageFaults.
class HttpTransport {
  public:
    /// The objects that the transport connects. All of them must outlive the transport.
    struct Parties {
        SimulatedClock& clock;
        RandomSource& random;
        FakeNetwork& network;
        const MessageFaults& faults;
        ControllerHosts& controllers;
        FakeKeyValueStore& store;
        FakeCloud& cloud;
        FakeWorkers& workers;
    };
    explicit HttpTransport(Parties parties) : parties_(parties) {}

    /// Sends an HTTP request from the controller `from`. `reply` is called when the response arrives, and
    /// never if the request or the response is lost.
    void request(const std::string& from, const std::string& address, const HttpRequest& request,
                 Reply reply);

    /// Addresses of the key-value store and of the cloud, as the controllers' settings have them.
    static constexpr const char* store_address = "10.2.0.1:2379";
    static constexpr const char* cloud_address = "10.2.0.2:8443";
    static bool is_worker_address(const std::string& address) { return address.rfind("10.2.", 0) != 0; }

  private:
    void to_store(const std::string& from, const HttpRequest& request, const Reply& reply);
    void to_cloud(const std::string& from, const HttpRequest& request, const Reply& reply);
    void to_worker(const std::string& from, const std::string& machine, const HttpRequest& request,
                   const Reply& reply);
    /// Returns whether the request writes records that the sender's production version doesn't support. Such
    /// requests are dropped.
    [[nodiscard]] bool is_unsupported_by_sender(const std::string& from, const HttpRequest& request) const;

    Parties parties_;
};

/// Schedules `execute` as a delayed duplicate of a POST request with probability
/// `faults.duplicate_requests`. Does nothing for other methods.
void maybe_duplicate(SimulatedClock& clock, RandomSource& random, const MessageFaults& faults,
                     const HttpRequest& request, std::function<void()> execute);

}  // namespace zincdyke::testing
