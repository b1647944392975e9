#include "fakes/controller_hosts.h"

#include <algorithm>
#include <utility>

#include "wire/peer_messages.h"

namespace zincdyke::testing {

void ControllerHosts::add(Settings settings) {
    Host host;
    host.settings = std::move(settings);
    hosts_.push_back(std::move(host));
}

void ControllerHosts::start(std::size_t index) {
    Host& host = hosts_[index];
    if (host.node) return;
    ++host.incarnation;
    host.env = std::make_unique<SimEnv>(*this, index, host.incarnation);
    host.node = std::make_unique<Node>(*host.env, host.settings, Policy{});
    host.node->start();
}

void ControllerHosts::crash(std::size_t index) {
    Host& host = hosts_[index];
    ++host.incarnation;
    host.node.reset();
}

void ControllerHosts::upgrade(std::size_t host, double down_s) {
    crash(host);
    production_hosts_.erase(name(host));
    clock_.after(down_s, [this, host] { start(host); });
}

void ControllerHosts::deliver(std::size_t index, std::uint64_t incarnation, double delay,
                              std::function<void()> fn) {
    const Host& host = hosts_[index];
    if (host.incarnation != incarnation || !host.node) return;
    if (is_frozen(index)) {
        clock_.after(host.frozen_until - clock_.now() + delay,
                     [this, index, incarnation, delay, fn = std::move(fn)] {
                         deliver(index, incarnation, delay, fn);
                     });
        return;
    }
    fn();
}

void ControllerHosts::deliver_frame(const NodeName& from, const NodeName& to, const std::string& frame) {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        Host& host = hosts_[index];
        if (host.settings.node != to || !host.node) continue;
        deliver(index, host.incarnation, 0, [&host, from, frame] {
            const auto message = wire::decode(std::string_view(frame).substr(wire::peer_header_bytes));
            if (message) host.node->on_peer(from, *message);
        });
    }
}

void ControllerHosts::request(std::size_t host, const std::string& from, const HttpRequest& request,
                              Reply reply) {
    if (recorder_ != nullptr && !MessageRecorder::is_excluded(request)) {
        const std::string to = name(host);
        recorder_->request(clock_.now(), MessageRecorder::Kind::received_request, from, to, request);
        reply = [this, from, to, inner = std::move(reply)](HttpResponse response) {
            recorder_->response(clock_.now(), MessageRecorder::Kind::sent_response, to, from, response);
            inner(std::move(response));
        };
    }
    hosts_[host].node->on_request(request, std::move(reply));
}

void ControllerHosts::note_open_worker_requests(std::size_t count) {
    max_open_worker_requests_ = std::max(max_open_worker_requests_, count);
}

}  // namespace zincdyke::testing
