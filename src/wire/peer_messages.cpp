#include "wire/peer_messages.h"

#include <type_traits>

namespace zincdyke::wire {
namespace {

class Writer {
  public:
    std::string out;
    template <class T>
    requires std::is_integral_v<T>
    void operator()(const T& v) {
        if constexpr (std::is_same_v<T, bool>) {
            out.push_back(v ? '\1' : '\0');
        } else {
            auto u = static_cast<std::make_unsigned_t<T>>(v);
            for (std::size_t i = 0; i < sizeof(T); ++i) {
                out.push_back(static_cast<char>(u & 0xff));
                if constexpr (sizeof(T) > 1) u = static_cast<decltype(u)>(u >> 8);
            }
        }
    }
    void operator()(const Rank& r) { (*this)(static_cast<std::uint8_t>(r)); }
    void operator()(const std::string& s) {
        (*this)(static_cast<std::uint16_t>(s.size()));
        out += s;
    }
    template <class Tag>
    void operator()(const Name<Tag>& n) {
        (*this)(n.value());
    }
    void operator()(const Resources& r) {
        (*this)(r.cpu);
        (*this)(r.gpu);
        (*this)(r.ram);
    }
    template <class T>
    void operator()(const std::vector<T>& v) {
        (*this)(static_cast<std::uint32_t>(v.size()));
        for (const auto& e : v) (*this)(e);
    }
    template <class T>
    requires std::is_class_v<T>
    void operator()(const T& v) { fields(*this, v); }
};

class Reader {
  public:
    explicit Reader(std::string_view s) : in_(s) {}
    bool ok = true;
    bool at_end() const { return in_.empty(); }
    template <class T>
    requires std::is_integral_v<T>
    void operator()(T& v) {
        if (in_.size() < sizeof(T)) {
            ok = false;
            return;
        }
        if constexpr (std::is_same_v<T, bool>) {
            if (static_cast<unsigned char>(in_[0]) > 1) ok = false;
            v = in_[0] == '\1';
        } else {
            std::make_unsigned_t<T> u = 0;
            for (std::size_t i = sizeof(T); i-- > 0;)
                u = static_cast<decltype(u)>((static_cast<std::uint64_t>(u) << 8) |
                                             static_cast<unsigned char>(in_[i]));
            v = static_cast<T>(u);
        }
        in_.remove_prefix(sizeof(T));
    }
    void operator()(Rank& r) {
        std::uint8_t v = 0;
        (*this)(v);
        if (v > 3) ok = false;
        r = static_cast<Rank>(v & 3);
    }
    void operator()(std::string& s) {
        std::uint16_t n = 0;
        (*this)(n);
        if (!ok || in_.size() < n) {
            ok = false;
            return;
        }
        s.assign(in_.substr(0, n));
        in_.remove_prefix(n);
    }
    template <class Tag>
    void operator()(Name<Tag>& n) {
        std::string text;
        (*this)(text);
        n = Name<Tag>(std::move(text));
    }
    void operator()(Resources& r) {
        (*this)(r.cpu);
        (*this)(r.gpu);
        (*this)(r.ram);
    }
    template <class T>
    void operator()(std::vector<T>& v) {
        std::uint32_t n = 0;
        (*this)(n);
        // Every element takes at least two bytes: a count that the rest cannot hold must not reserve memory.
        if (!ok || n > in_.size() / 2) {
            ok = false;
            return;
        }
        v.resize(n);
        for (auto& e : v) {
            (*this)(e);
            if (!ok) return;
        }
    }
    template <class T>
    requires std::is_class_v<T>
    void operator()(T& v) { fields(*this, v); }

  private:
    std::string_view in_;
};

// One list of fields for each kind of struct serves both directions; M is const when writing.
template <class M, class T>
concept MaybeConst = std::is_same_v<std::remove_const_t<M>, T>;

template <class A, MaybeConst<RoundId> M>
void fields(A& a, M& m) {
    a(m.relay);
    a(m.number);
}

template <class A, MaybeConst<Hello> M>
void fields(A& a, M& m) {
    a(m.node);
    a(m.incarnation);
}

template <class A, MaybeConst<MachineStatus> M>
void fields(A& a, M& m) {
    a(m.id);
    a(m.type);
    a(m.zone);
    a(m.address);
    a(m.spot);
    a(m.usable);
    a(m.silent);
    a(m.agent_epoch);
    a(m.busy_tasks);
    a(m.idle_ms);
    a(m.silent_ms);
}

template <class A, MaybeConst<CancellationAck> M>
void fields(A& a, M& m) {
    a(m.sender_epoch);
    a(m.sent_stamp);
    a(m.echoed_epoch);
    a(m.echoed_stamp);
    a(m.is_lagging);
    a(m.is_complete);
    a(m.cancelled);
}

template <class A, MaybeConst<JobCancelledNotification> M>
void fields(A& a, M& m) {
    a(m.job);
}

template <class A, MaybeConst<PeerHeartbeat> M>
void fields(A& a, M& m) {
    a(m.cancellation_ack);
    a(m.store_reachable);
    a(m.applied_revision);
    a(m.write_demand);
    a(m.machines);
}

template <class A, MaybeConst<PlacementRequest> M>
void fields(A& a, M& m) {
    a(m.round);
    a(m.job);
    a(m.gatherer);
    a(m.scorers);
    a(m.need);
    a(m.image);
    a(m.rank);
    a(m.tasks);
}

template <class A, MaybeConst<PlacementOffer> M>
void fields(A& a, M& m) {
    a(m.machine);
    a(m.zone);
    a(m.score);
}

template <class A, MaybeConst<PlacementResponse> M>
void fields(A& a, M& m) {
    a(m.round);
    a(m.job);
    a(m.scorer);
    a(m.scorers);
    a(m.is_gang);
    a(m.tasks);
    a(m.offers);
}

template <class A, MaybeConst<Assignment> M>
void fields(A& a, M& m) {
    a(m.task);
    a(m.machine);
}

template <class A, MaybeConst<PlacementDecision> M>
void fields(A& a, M& m) {
    a(m.round);
    a(m.job);
    a(m.accepted);
}

template <class A, MaybeConst<PlacementFailure> M>
void fields(A& a, M& m) {
    a(m.round);
    a(m.job);
    a(m.tasks);
}

template <class A, MaybeConst<DrainRequest> M>
void fields(A& a, M& m) {
    a(m.machine);
}

template <class A, MaybeConst<DrainResponse> M>
void fields(A& a, M& m) {
    a(m.machine);
}

template <class A, MaybeConst<ReservedMachine> M>
void fields(A& a, M& m) {
    a(m.machine);
    a(m.job_class);
    a(m.rank);
    a(m.max_save_ms);
    a(m.job);
}

template <class A, MaybeConst<PreemptionRequest> M>
void fields(A& a, M& m) {
    a(m.job);
    a(m.task);
    a(m.attempt);
}

template <class A, MaybeConst<TaskOperation> M>
void fields(A& a, M& m) {
    a(m.event);
    a(m.task);
    a(m.attempt);
    a(m.machine);
    a(m.zone);
    a(m.term);
    a(m.request_id);
}

template <class A, MaybeConst<CommitRequest> M>
void fields(A& a, M& m) {
    a(m.job);
    a(m.operations);
}

template <class A, MaybeConst<OperationResult> M>
void fields(A& a, M& m) {
    a(m.request_id);
    a(m.is_committed);
}

template <class A, MaybeConst<StoredRecord> M>
void fields(A& a, M& m) {
    a(m.key);
    a(m.value);
    a(m.version);
}

template <class A, MaybeConst<CommitResponse> M>
void fields(A& a, M& m) {
    a(m.results);
    a(m.records);
}

template <class A, MaybeConst<CapacityFreedNotification> M>
void fields(A& a, M& m) {
    a(m.type);
    a(m.free);
}

template <class A, MaybeConst<DiscoveredMachine> M>
void fields(A& a, M& m) {
    a(m.id);
    a(m.address);
}

template <class A, MaybeConst<ReservationUpdate> M>
void fields(A& a, M& m) {
    a(m.is_first);
    a(m.machines);
}

template <class A, MaybeConst<MachinesDiscoveredNotification> M>
void fields(A& a, M& m) {
    a(m.machines);
}

template <class A, MaybeConst<MachinesTerminatedNotification> M>
void fields(A& a, M& m) {
    a(m.machines);
}

template <std::size_t I = 0>
std::optional<PeerMessage> decode_kind(std::size_t kind, Reader& r) {
    if constexpr (I == std::variant_size_v<PeerMessage>) {
        return std::nullopt;
    } else {
        if (kind != I) return decode_kind<I + 1>(kind, r);
        std::variant_alternative_t<I, PeerMessage> m;
        r(m);
        // Bytes left over mean that sender and receiver disagree about the layout.
        if (!r.ok || !r.at_end()) return std::nullopt;
        return PeerMessage(std::move(m));
    }
}

}  // namespace

std::string encode(const PeerMessage& m) {
    Writer body;
    body(peer_protocol_version);
    body(static_cast<std::uint8_t>(m.index()));
    std::visit([&](const auto& v) { body(v); }, m);
    Writer frame;
    frame(static_cast<std::uint32_t>(body.out.size()));
    return frame.out + body.out;
}

std::optional<PeerMessage> decode(std::string_view payload) {
    if (payload.size() > max_peer_frame) return std::nullopt;
    Reader r(payload);
    std::uint8_t version = 0, kind = 0;
    r(version);
    r(kind);
    if (!r.ok || version != peer_protocol_version) return std::nullopt;
    return decode_kind(kind, r);
}

}  // namespace zincdyke::wire
