#include "wire/peer_messages.h"

#include <type_traits>

namespace zincdyke::wire {
namespace {

// Appends the binary encoding of values to `out`.
class Writer {
  public:
    std::string out;
    template <class T>
    requires std::is_integral_v<T>
    void operator()(const T& value) {
        if constexpr (std::is_same_v<T, bool>) {
            out.push_back(value ? '\1' : '\0');
        } else {
            auto bits = static_cast<std::make_unsigned_t<T>>(value);
            for (std::size_t i = 0; i < sizeof(T); ++i) {
                out.push_back(static_cast<char>(bits & 0xff));
                if constexpr (sizeof(T) > 1) bits = static_cast<decltype(bits)>(bits >> 8);
            }
        }
    }
    void operator()(const Rank& rank) { (*this)(static_cast<std::uint8_t>(rank)); }
    void operator()(const std::string& text) {
        (*this)(static_cast<std::uint16_t>(text.size()));
        out += text;
    }
    template <class Tag>
    void operator()(const Name<Tag>& name) {
        (*this)(name.value());
    }
    void operator()(const Resources& resources) {
        (*this)(resources.cpu);
        (*this)(resources.gpu);
        (*this)(resources.ram);
    }
    template <class T>
    void operator()(const std::vector<T>& elements) {
        (*this)(static_cast<std::uint32_t>(elements.size()));
        for (const auto& element : elements) (*this)(element);
    }
    template <class T>
    requires std::is_class_v<T>
    void operator()(const T& value) { fields(*this, value); }
};

// Decodes values from the front of its input. `ok` becomes false at the first invalid or truncated value.
class Reader {
  public:
    explicit Reader(std::string_view input) : input_(input) {}
    bool ok = true;
    bool at_end() const { return input_.empty(); }
    template <class T>
    requires std::is_integral_v<T>
    void operator()(T& value) {
        if (input_.size() < sizeof(T)) {
            ok = false;
            return;
        }
        if constexpr (std::is_same_v<T, bool>) {
            if (static_cast<unsigned char>(input_[0]) > 1) ok = false;
            value = input_[0] == '\1';
        } else {
            std::make_unsigned_t<T> bits = 0;
            for (std::size_t i = sizeof(T); i-- > 0;)
                bits = static_cast<decltype(bits)>((static_cast<std::uint64_t>(bits) << 8) |
                                                   static_cast<unsigned char>(input_[i]));
            value = static_cast<T>(bits);
        }
        input_.remove_prefix(sizeof(T));
    }
    void operator()(Rank& rank) {
        std::uint8_t value = 0;
        (*this)(value);
        if (value > 3) ok = false;
        rank = static_cast<Rank>(value & 3);
    }
    void operator()(std::string& text) {
        std::uint16_t size = 0;
        (*this)(size);
        if (!ok || input_.size() < size) {
            ok = false;
            return;
        }
        text.assign(input_.substr(0, size));
        input_.remove_prefix(size);
    }
    template <class Tag>
    void operator()(Name<Tag>& name) {
        std::string text;
        (*this)(text);
        name = Name<Tag>(std::move(text));
    }
    void operator()(Resources& resources) {
        (*this)(resources.cpu);
        (*this)(resources.gpu);
        (*this)(resources.ram);
    }
    template <class T>
    void operator()(std::vector<T>& elements) {
        std::uint32_t count = 0;
        (*this)(count);
        // An encoded element takes at least two bytes. Checking the element count against the remaining input
        // prevents a corrupt frame from allocating much memory.
        if (!ok || count > input_.size() / 2) {
            ok = false;
            return;
        }
        elements.resize(count);
        for (auto& element : elements) {
            (*this)(element);
            if (!ok) return;
        }
    }
    template <class T>
    requires std::is_class_v<T>
    void operator()(T& value) { fields(*this, value); }

  private:
    std::string_view input_;
};

// Each overload of `fields` lists the fields of one struct, for encoding and decoding alike. Message is a
// const type when encoding.
template <class Message, class T>
concept MaybeConst = std::is_same_v<std::remove_const_t<Message>, T>;

template <class Archive, MaybeConst<RoundId> Message>
void fields(Archive& archive, Message& message) {
    archive(message.relay);
    archive(message.number);
}

template <class Archive, MaybeConst<Hello> Message>
void fields(Archive& archive, Message& message) {
    archive(message.node);
    archive(message.incarnation);
}

template <class Archive, MaybeConst<MachineStatus> Message>
void fields(Archive& archive, Message& message) {
    archive(message.id);
    archive(message.type);
    archive(message.zone);
    archive(message.address);
    archive(message.spot);
    archive(message.usable);
    archive(message.silent);
    archive(message.agent_epoch);
    archive(message.busy_tasks);
    archive(message.idle_ms);
    archive(message.silent_ms);
}

template <class Archive, MaybeConst<CancellationAck> Message>
void fields(Archive& archive, Message& message) {
    archive(message.sender_epoch);
    archive(message.sent_timestamp);
    archive(message.echoed_epoch);
    archive(message.echoed_timestamp);
    archive(message.is_lagging);
    archive(message.is_complete);
    archive(message.cancelled);
}

template <class Archive, MaybeConst<JobCancelledNotification> Message>
void fields(Archive& archive, Message& message) {
    archive(message.job);
}

template <class Archive, MaybeConst<PeerHeartbeat> Message>
void fields(Archive& archive, Message& message) {
    archive(message.cancellation_ack);
    archive(message.store_reachable);
    archive(message.applied_revision);
    archive(message.write_demand);
    archive(message.machines);
}

template <class Archive, MaybeConst<PlacementRequest> Message>
void fields(Archive& archive, Message& message) {
    archive(message.round);
    archive(message.job);
    archive(message.gatherer);
    archive(message.scorers);
    archive(message.need);
    archive(message.image);
    archive(message.rank);
    archive(message.tasks);
}

template <class Archive, MaybeConst<PlacementOffer> Message>
void fields(Archive& archive, Message& message) {
    archive(message.machine);
    archive(message.zone);
    archive(message.score);
}

template <class Archive, MaybeConst<PlacementResponse> Message>
void fields(Archive& archive, Message& message) {
    archive(message.round);
    archive(message.job);
    archive(message.scorer);
    archive(message.scorers);
    archive(message.is_gang);
    archive(message.tasks);
    archive(message.offers);
}

template <class Archive, MaybeConst<Assignment> Message>
void fields(Archive& archive, Message& message) {
    archive(message.task);
    archive(message.machine);
}

template <class Archive, MaybeConst<PlacementDecision> Message>
void fields(Archive& archive, Message& message) {
    archive(message.round);
    archive(message.job);
    archive(message.accepted);
}

template <class Archive, MaybeConst<PlacementFailure> Message>
void fields(Archive& archive, Message& message) {
    archive(message.round);
    archive(message.job);
    archive(message.tasks);
}

template <class Archive, MaybeConst<DrainRequest> Message>
void fields(Archive& archive, Message& message) {
    archive(message.machine);
}

template <class Archive, MaybeConst<DrainResponse> Message>
void fields(Archive& archive, Message& message) {
    archive(message.machine);
}

template <class Archive, MaybeConst<ReservedMachine> Message>
void fields(Archive& archive, Message& message) {
    archive(message.machine);
    archive(message.job_class);
    archive(message.rank);
    archive(message.max_save_ms);
    archive(message.job);
}

template <class Archive, MaybeConst<PreemptionRequest> Message>
void fields(Archive& archive, Message& message) {
    archive(message.job);
    archive(message.task);
    archive(message.attempt);
}

template <class Archive, MaybeConst<TaskOperation> Message>
void fields(Archive& archive, Message& message) {
    archive(message.event);
    archive(message.task);
    archive(message.attempt);
    archive(message.machine);
    archive(message.zone);
    archive(message.term);
    archive(message.request_id);
}

template <class Archive, MaybeConst<CommitRequest> Message>
void fields(Archive& archive, Message& message) {
    archive(message.job);
    archive(message.operations);
}

template <class Archive, MaybeConst<OperationResult> Message>
void fields(Archive& archive, Message& message) {
    archive(message.request_id);
    archive(message.is_committed);
}

template <class Archive, MaybeConst<StoredRecord> Message>
void fields(Archive& archive, Message& message) {
    archive(message.key);
    archive(message.value);
    archive(message.version);
}

template <class Archive, MaybeConst<CommitResponse> Message>
void fields(Archive& archive, Message& message) {
    archive(message.results);
    archive(message.records);
}

template <class Archive, MaybeConst<CapacityFreedNotification> Message>
void fields(Archive& archive, Message& message) {
    archive(message.type);
    archive(message.free);
}

template <class Archive, MaybeConst<DiscoveredMachine> Message>
void fields(Archive& archive, Message& message) {
    archive(message.id);
    archive(message.address);
}

template <class Archive, MaybeConst<ReservationUpdate> Message>
void fields(Archive& archive, Message& message) {
    archive(message.is_first);
    archive(message.machines);
}

template <class Archive, MaybeConst<MachinesDiscoveredNotification> Message>
void fields(Archive& archive, Message& message) {
    archive(message.machines);
}

template <class Archive, MaybeConst<MachinesTerminatedNotification> Message>
void fields(Archive& archive, Message& message) {
    archive(message.machines);
}

template <std::size_t I = 0>
std::optional<PeerMessage> decode_kind(std::size_t kind, Reader& reader) {
    if constexpr (I == std::variant_size_v<PeerMessage>) {
        return std::nullopt;
    } else {
        if (kind != I) return decode_kind<I + 1>(kind, reader);
        std::variant_alternative_t<I, PeerMessage> message;
        reader(message);
        // Remaining bytes after the last field mean that the sender used a different layout.
        if (!reader.ok || !reader.at_end()) return std::nullopt;
        return PeerMessage(std::move(message));
    }
}

}  // namespace

std::string encode(const PeerMessage& message) {
    Writer body;
    body(peer_protocol_version);
    body(static_cast<std::uint8_t>(message.index()));
    std::visit([&](const auto& content) { body(content); }, message);
    Writer frame;
    frame(static_cast<std::uint32_t>(body.out.size()));
    return frame.out + body.out;
}

std::optional<PeerMessage> decode(std::string_view payload) {
    if (payload.size() > max_peer_frame) return std::nullopt;
    Reader reader(payload);
    std::uint8_t version = 0, kind = 0;
    reader(version);
    reader(kind);
    if (!reader.ok || version != peer_protocol_version) return std::nullopt;
    return decode_kind(kind, reader);
}

}  // namespace zincdyke::wire
