// TCP links between controllers: one dialled to each peer for sending, the accepted ones for receiving.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/settings.h"
#include "loop/loop.h"
#include "wire/peer_messages.h"

namespace zincdyke {

class PeerLinks {
  public:
    using Handler = std::function<void(const NodeName& from, wire::PeerMessage)>;
    PeerLinks(Loop& loop, const Settings& settings, Handler handler);
    void send(const NodeName& to, const std::string& frame);

  private:
    struct Out {
        std::string address, buffer;
        Fd fd;
        bool connected = false, dropping = false;
        SteadyTime since{};
    };
    struct In {
        Fd fd;
        std::string buffer;
        NodeName from;
    };
    void accept_all();
    void dial(const NodeName& to);
    void flush(const NodeName& to);
    void hang_up(Out& out);
    void read(const std::shared_ptr<In>& in);
    void close(const std::shared_ptr<In>& in);
    Loop& loop_;
    const Settings& settings_;
    Handler handler_;
    Fd listener_;
    std::map<NodeName, Out> out_;
    std::unordered_map<int, std::shared_ptr<In>> in_;
};

}  // namespace zincdyke
