#include "fakes/network.h"

#include <algorithm>

namespace zincdyke::testing {

void FakeNetwork::set_link(const std::string& one, const std::string& other, LinkState state) {
    const LinkEndpoints key = endpoints(one, other);
    links_[key] = state;
    if (state == LinkState::hold) return;
    auto held = std::move(held_messages_[key]);
    held_messages_.erase(key);
    if (state == LinkState::up)
        for (auto& deliver : held) clock_.after(0.001, std::move(deliver));
}

LinkState FakeNetwork::link_state(const std::string& one, const std::string& other) const {
    const auto link = links_.find(endpoints(one, other));
    return link == links_.end() ? LinkState::up : link->second;
}

void FakeNetwork::send(const std::string& from, const std::string& to, std::function<void()> deliver) {
    if (parties_without_inbound.contains(to)) return;
    switch (link_state(from, to)) {
        case LinkState::drop:
            return;
        case LinkState::hold:
            held_messages_[endpoints(from, to)].push_back(std::move(deliver));
            return;
        case LinkState::up:
            break;
    }
    if (random_.happens(loss_probability)) return;
    clock_.after(0.001 + 0.002 * random_.chance(), std::move(deliver));
}

}  // namespace zincdyke::testing
