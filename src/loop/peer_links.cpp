#include "loop/peer_links.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "base/log.h"

namespace zincdyke {
namespace {
constexpr std::size_t max_unsent_bytes = std::size_t{1024} * 1024;
constexpr Duration connect_timeout = std::chrono::milliseconds(1500);
// A connection without progress for this long is closed, because a new connection recovers sooner from a
// network failure than TCP retransmission does.
constexpr Duration stall_timeout = std::chrono::seconds(3);
}  // namespace

PeerLinks::PeerLinks(Loop& loop, const Settings& settings, Handler handler)
    : loop_(loop),
      settings_(settings),
      handler_(std::move(handler)),
      listener_(listen_on(settings.cluster_listen)) {
    for (const auto& seed : settings.seeds) outgoing_links_[seed.node].address = seed.address;
    loop_.watch(listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_links(); });
}

void PeerLinks::send(const NodeName& to, const std::string& frame) {
    auto it = outgoing_links_.find(to);
    if (it == outgoing_links_.end()) return;
    OutgoingLink& link = it->second;
    // Limits the memory for unsent frames to a peer that does not read. Senders tolerate the loss of
    // messages.
    const bool oversized = frame.size() > wire::max_peer_frame + wire::peer_header_bytes;
    if (oversized || link.buffer.size() + frame.size() > max_unsent_bytes) {
        if (!std::exchange(link.is_dropping, true))
            log::warn("event=peer_messages_dropped to={} reason={} bytes={}", to.value(),
                      oversized ? "oversized" : "unread", link.buffer.size() + frame.size());
        return;
    }
    link.is_dropping = false;
    SteadyTime now = Loop::now();
    if (link.fd.valid() && now - link.last_progress_at > (link.connected ? stall_timeout : connect_timeout) &&
        (!link.connected || !link.buffer.empty()))
        disconnect(link);
    if (!link.fd.valid()) {
        if (now - link.last_progress_at < millis(300) && link.last_progress_at != SteadyTime{}) return;
        connect(to);
        if (!link.fd.valid()) return;
    }
    if (link.buffer.empty()) link.last_progress_at = now;
    link.buffer += frame;
    if (link.connected) flush(to);
}

void PeerLinks::connect(const NodeName& to) {
    OutgoingLink& link = outgoing_links_[to];
    link.last_progress_at = Loop::now();
    link.connected = false;
    link.buffer = wire::encode(wire::Hello{settings_.node, 0});
    link.fd = start_connect(link.address);
    if (!link.fd.valid()) return;
    int descriptor = link.fd.get();
    loop_.watch(descriptor, EPOLLOUT, [this, to, descriptor](std::uint32_t events) {
        OutgoingLink& outgoing_link = outgoing_links_[to];
        if (outgoing_link.fd.get() != descriptor) return;
        if ((events & (EPOLLERR | EPOLLHUP)) != 0) return disconnect(outgoing_link);
        if ((events & EPOLLIN) != 0) {
            char unexpected_byte;
            ssize_t n = ::recv(descriptor, &unexpected_byte, 1, 0);
            // Peers send no data on this connection: received data or an end of stream closes it.
            if (n >= 0 || (errno != EAGAIN && errno != EINTR)) return disconnect(outgoing_link);
        }
        if ((events & EPOLLOUT) != 0) {
            outgoing_link.connected = true;
            flush(to);
        }
    });
}

void PeerLinks::flush(const NodeName& to) {
    OutgoingLink& link = outgoing_links_[to];
    while (!link.buffer.empty()) {
        ssize_t n = ::send(link.fd.get(), link.buffer.data(), link.buffer.size(), MSG_NOSIGNAL);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) return disconnect(link);
            loop_.update_events(link.fd.get(), EPOLLIN | EPOLLOUT);
            return;
        }
        link.buffer.erase(0, static_cast<std::size_t>(n));
        link.last_progress_at = Loop::now();
    }
    loop_.update_events(link.fd.get(), EPOLLIN);
}

void PeerLinks::disconnect(OutgoingLink& link) {
    if (!link.fd.valid()) return;
    loop_.unwatch(link.fd.get());
    link.fd.reset();
    link.connected = false;
    link.buffer.clear();
    link.last_progress_at = Loop::now();
}

void PeerLinks::accept_links() {
    for (int i = 0; i < 16; ++i) {
        Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd.valid()) {
            if (errno == EMFILE || errno == ENFILE) {
                // A readable listener would cause a busy loop while no file descriptor is available.
                loop_.update_events(listener_.get(), 0);
                loop_.after(millis(300), [this] { loop_.update_events(listener_.get(), EPOLLIN); });
            }
            return;
        }
        // Limits the number of connections, because unknown hosts can connect, too.
        if (incoming_links_.size() >= 4 * settings_.seeds.size() + 8) continue;
        auto link = std::make_shared<IncomingLink>();
        int descriptor = fd.get();
        link->fd = std::move(fd);
        incoming_links_[descriptor] = link;
        loop_.watch(descriptor, EPOLLIN, [this, link](std::uint32_t) { read(link); });
    }
}

void PeerLinks::read(const std::shared_ptr<IncomingLink>& link) {
    char buffer[32 * 1024];
    ssize_t n = ::recv(link->fd.get(), buffer, sizeof buffer, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) return close(link);
    link->buffer.append(buffer, static_cast<std::size_t>(n));
    std::size_t at = 0;
    while (link->buffer.size() - at >= wire::peer_header_bytes) {
        std::uint32_t length = 0;
        for (std::size_t i = wire::peer_header_bytes; i-- > 0;)
            length = (length << 8) | static_cast<unsigned char>(link->buffer[at + i]);
        if (length > wire::max_peer_frame) {
            log::warn("event=peer_message_rejected from={} reason=oversized bytes={}", link->peer.value(),
                      length);
            return close(link);
        }
        if (link->buffer.size() - at - wire::peer_header_bytes < length) break;
        auto message =
            wire::decode(std::string_view(link->buffer).substr(at + wire::peer_header_bytes, length));
        at += wire::peer_header_bytes + length;
        const auto* hello = message ? std::get_if<wire::Hello>(&*message) : nullptr;
        const bool is_known_peer = hello != nullptr && outgoing_links_.contains(hello->node);
        if (!message || (link->peer.empty() && !is_known_peer)) {
            log::warn("event=peer_message_rejected from={} reason=undecodable bytes={}", link->peer.value(),
                      length);
            return close(link);
        }
        if (hello != nullptr) {
            link->peer = hello->node;
            // After a network failure, older connections from the same peer may be half-open.
            std::vector<std::shared_ptr<IncomingLink>> older_links;
            for (auto& [fd, other] : incoming_links_)
                if (other != link && other->peer == link->peer) older_links.push_back(other);
            for (auto& older_link : older_links) close(older_link);
        } else {
            handler_(link->peer, std::move(*message));
        }
    }
    link->buffer.erase(0, at);
}

void PeerLinks::close(const std::shared_ptr<IncomingLink>& link) {
    if (!link->fd.valid()) return;
    // The removed handler may hold the last reference to `link`, so it must not be used afterwards.
    const Fd fd = std::move(link->fd);
    loop_.unwatch(fd.get());
    incoming_links_.erase(fd.get());
}

}  // namespace zincdyke
