/// Carries the controllers' HTTP requests to the key-value store, the cloud and the workers.
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

/// Finds the receiver by its address, sends request and response over the network, and applies the
/// MessageFaults.
class HttpTransport {
  public:
    /// What the transport connects; all of it outlives the transport.
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

    /// A controller's request. `reply` is called when the response arrives; never if anything is lost.
    void request(const std::string& from, const std::string& address, const HttpRequest& request,
                 Reply reply);

    /// Addresses in the controllers' settings.
    static constexpr const char* store_address = "10.2.0.1:2379";
    static constexpr const char* cloud_address = "10.2.0.2:8443";
    static bool is_worker_address(const std::string& address) { return address.rfind("10.2.", 0) != 0; }

  private:
    void to_store(const std::string& from, const HttpRequest& request, const Reply& reply);
    void to_cloud(const std::string& from, const HttpRequest& request, const Reply& reply);
    void to_worker(const std::string& from, const std::string& machine, const HttpRequest& request,
                   const Reply& reply);
    /// Production's version never sends it.
    [[nodiscard]] bool is_unknown_to_sender(const std::string& from, const HttpRequest& request) const;
    Parties parties_;
};

/// Runs `carry_out` once more at a later time for the configured share of the POST requests.
void maybe_duplicate(SimulatedClock& clock, RandomSource& random, const MessageFaults& faults,
                     const HttpRequest& request, std::function<void()> carry_out);

}  // namespace zincdyke::testing
