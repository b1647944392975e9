#include "fakes/sim_env.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>

#include "fakes/controller_hosts.h"
#include "fakes/http_transport.h"
#include "wire/peer_messages.h"

namespace zincdyke::testing {

namespace {

// Time of the steady clock at the start of a simulation. It differs from that of the wall clock, as on a real
// host.
constexpr double steady_clock_start_s = 1000;

}  // namespace

SimEnv::SimEnv(ControllerHosts& hosts, std::size_t host, std::uint64_t incarnation)
    : hosts_(hosts),
      host_(host),
      name_(hosts.name(host)),
      incarnation_(incarnation),
      rng_(hosts.random().draw()) {}

SteadyTime SimEnv::now() {
    return SteadyTime(
        Duration(static_cast<std::int64_t>((hosts_.clock().now() + steady_clock_start_s) * 1e6)));
}

WallTime SimEnv::wall() { return WallTime(static_cast<std::int64_t>(hosts_.clock().now() * 1000)); }

Env::TimerId SimEnv::after(Duration delay, std::function<void()> fn) {
    const TimerId id = ++last_timer_;
    pending_timers_.insert(id);
    hosts_.clock().after(to_seconds(delay), guarded([this, id, fn = std::move(fn)] {
                             if (pending_timers_.erase(id) > 0) fn();
                         }));
    return id;
}

void SimEnv::http(const std::string& address, HttpRequest request, Duration timeout, Reply done) {
    const bool to_worker = HttpTransport::is_worker_address(address);
    if (to_worker) hosts_.note_open_worker_requests(++open_worker_requests_);
    MessageRecorder* const recorder = hosts_.recorder();
    if (recorder != nullptr)
        recorder->request(hosts_.clock().now(), MessageRecorder::Kind::request, name_, address, request);
    auto is_completed = std::make_shared<bool>(false);
    auto reply_once = [this, to_worker, is_completed, recorder, address,
                       done = std::move(done)](HttpResponse response) {
        if (std::exchange(*is_completed, true)) return;
        if (to_worker) --open_worker_requests_;
        if (recorder != nullptr)
            recorder->response(hosts_.clock().now(), MessageRecorder::Kind::response, address, name_,
                               response);
        done(std::move(response));
    };
    hosts_.clock().after(to_seconds(timeout), guarded([reply_once] { reply_once({}); }));
    hosts_.transport().request(
        name_, address, request,
        [&hosts = hosts_, host = host_, incarnation = incarnation_, reply_once](HttpResponse response) {
            hosts.deliver(host, incarnation, 0,
                          [reply_once, response = std::move(response)] { reply_once(response); });
        });
}

void SimEnv::send_peer(const NodeName& to, std::string frame) {
    EXPECT_LE(frame.size(), wire::max_peer_frame);
    if (hosts_.recorder() != nullptr)
        hosts_.recorder()->frame(hosts_.clock().now(), name_, to.value(), frame);
    hosts_.network().send(name_, to.value(),
                          [&hosts = hosts_, from = NodeName(name_), to, frame = std::move(frame)] {
                              hosts.deliver_frame(from, to, frame);
                          });
}

std::function<void()> SimEnv::guarded(std::function<void()> fn) {
    // When a frozen process resumes, it handles received messages before its own timers.
    constexpr double delay_after_freeze_s = 0.001;
    return [&hosts = hosts_, host = host_, incarnation = incarnation_, fn = std::move(fn)] {
        hosts.deliver(host, incarnation, delay_after_freeze_s, fn);
    };
}

}  // namespace zincdyke::testing
