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
constexpr std::size_t most_unsent = std::size_t{1024} * 1024;
constexpr Duration dial_limit = std::chrono::milliseconds(1500);
// A link that makes no progress for this long is given up: after a cut, a fresh one gets through sooner.
constexpr Duration stuck_limit = std::chrono::seconds(3);
}  // namespace

PeerLinks::PeerLinks(Loop& loop, const Settings& settings, Handler handler)
    : loop_(loop),
      settings_(settings),
      handler_(std::move(handler)),
      listener_(listen_on(settings.cluster_listen)) {
    for (const auto& s : settings.seeds) out_[s.node].address = s.address;
    loop_.watch(listener_.get(), EPOLLIN, [this](std::uint32_t) { accept_all(); });
}

void PeerLinks::send(const NodeName& to, const std::string& frame) {
    auto it = out_.find(to);
    if (it == out_.end()) return;
    Out& o = it->second;
    // Bounded: what a peer doesn't read is dropped, and every sender copes with lost messages.
    const bool oversized = frame.size() > wire::max_peer_frame + wire::peer_header_bytes;
    if (oversized || o.buffer.size() + frame.size() > most_unsent) {
        if (!std::exchange(o.dropping, true))
            log::warn("event=peer_messages_dropped to={} reason={} bytes={}", to.value(),
                      oversized ? "oversized" : "unread", o.buffer.size() + frame.size());
        return;
    }
    o.dropping = false;
    SteadyTime now = Loop::now();
    if (o.fd.valid() && now - o.since > (o.connected ? stuck_limit : dial_limit) &&
        (!o.connected || !o.buffer.empty()))
        hang_up(o);
    if (!o.fd.valid()) {
        if (now - o.since < millis(300) && o.since != SteadyTime{}) return;
        dial(to);
        if (!o.fd.valid()) return;
    }
    if (o.buffer.empty()) o.since = now;
    o.buffer += frame;
    if (o.connected) flush(to);
}

void PeerLinks::dial(const NodeName& to) {
    Out& o = out_[to];
    o.since = Loop::now();
    o.connected = false;
    o.buffer = wire::encode(wire::Hello{settings_.node, 0});
    o.fd = start_connect(o.address);
    if (!o.fd.valid()) return;
    int raw = o.fd.get();
    loop_.watch(raw, EPOLLOUT, [this, to, raw](std::uint32_t events) {
        Out& out = out_[to];
        if (out.fd.get() != raw) return;
        if ((events & (EPOLLERR | EPOLLHUP)) != 0) return hang_up(out);
        if ((events & EPOLLIN) != 0) {
            char c;
            ssize_t n = ::recv(raw, &c, 1, 0);
            if (n >= 0 || (errno != EAGAIN && errno != EINTR))
                return hang_up(out);  // peers never answer here
        }
        if ((events & EPOLLOUT) != 0) {
            out.connected = true;
            flush(to);
        }
    });
}

void PeerLinks::flush(const NodeName& to) {
    Out& o = out_[to];
    while (!o.buffer.empty()) {
        ssize_t n = ::send(o.fd.get(), o.buffer.data(), o.buffer.size(), MSG_NOSIGNAL);
        if (n < 0) {
            if (errno != EAGAIN && errno != EINTR) return hang_up(o);
            loop_.update_events(o.fd.get(), EPOLLIN | EPOLLOUT);
            return;
        }
        o.buffer.erase(0, static_cast<std::size_t>(n));
        o.since = Loop::now();
    }
    loop_.update_events(o.fd.get(), EPOLLIN);
}

void PeerLinks::hang_up(Out& o) {
    if (!o.fd.valid()) return;
    loop_.unwatch(o.fd.get());
    o.fd.reset();
    o.connected = false;
    o.buffer.clear();
    o.since = Loop::now();
}

void PeerLinks::accept_all() {
    for (int i = 0; i < 16; ++i) {
        Fd fd(::accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd.valid()) {
            if (errno == EMFILE || errno == ENFILE) {
                loop_.update_events(listener_.get(),
                                    0);  // a ready listener that cannot accept would spin the loop
                loop_.after(millis(300), [this] { loop_.update_events(listener_.get(), EPOLLIN); });
            }
            return;
        }
        if (in_.size() >= 4 * settings_.seeds.size() + 8) continue;  // bounded: strangers are closed at once
        auto in = std::make_shared<In>();
        int raw = fd.get();
        in->fd = std::move(fd);
        in_[raw] = in;
        loop_.watch(raw, EPOLLIN, [this, in](std::uint32_t) { read(in); });
    }
}

void PeerLinks::read(const std::shared_ptr<In>& in) {
    char buf[32 * 1024];
    ssize_t n = ::recv(in->fd.get(), buf, sizeof buf, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) return close(in);
    in->buffer.append(buf, static_cast<std::size_t>(n));
    std::size_t at = 0;
    while (in->buffer.size() - at >= wire::peer_header_bytes) {
        std::uint32_t length = 0;
        for (std::size_t i = wire::peer_header_bytes; i-- > 0;)
            length = (length << 8) | static_cast<unsigned char>(in->buffer[at + i]);
        if (length > wire::max_peer_frame) {
            log::warn("event=peer_message_rejected from={} reason=oversized bytes={}", in->from.value(),
                      length);
            return close(in);
        }
        if (in->buffer.size() - at - wire::peer_header_bytes < length) break;
        auto m = wire::decode(std::string_view(in->buffer).substr(at + wire::peer_header_bytes, length));
        at += wire::peer_header_bytes + length;
        const auto* hello = m ? std::get_if<wire::Hello>(&*m) : nullptr;
        const bool known = hello != nullptr && out_.contains(hello->node);
        if (!m || (in->from.empty() && !known)) {
            log::warn("event=peer_message_rejected from={} reason=undecodable bytes={}", in->from.value(),
                      length);
            return close(in);
        }
        if (hello != nullptr) {
            in->from = hello->node;
            // The newest link from a peer replaces its older ones, which a cut may have left half open.
            std::vector<std::shared_ptr<In>> old;
            for (auto& [fd, other] : in_)
                if (other != in && other->from == in->from) old.push_back(other);
            for (auto& o : old) close(o);
        } else {
            handler_(in->from, std::move(*m));
        }
    }
    in->buffer.erase(0, at);
}

void PeerLinks::close(const std::shared_ptr<In>& in) {
    if (!in->fd.valid()) return;
    // Nothing of `in` is used from here on: what is forgotten may have owned it.
    const Fd fd = std::move(in->fd);
    loop_.unwatch(fd.get());
    in_.erase(fd.get());
}

}  // namespace zincdyke
