// Client of the cloud's interface, within its request rate.
#pragma once
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "store/store_client.h"
#include "wire/json_api.h"

namespace zincdyke {

class CloudClient {
  public:
    enum class Rent : std::uint8_t { ok, no_capacity, trouble, unknown };
    CloudClient(Env& env, const Settings& settings);
    void types(std::function<void(std::optional<std::vector<wire::MachineType>>)> done);
    void list(const std::string& after, std::function<void(std::optional<wire::MachinePage>)> done);
    void rent(const std::string& request, const std::string& type, const std::string& zone, bool spot,
              std::uint32_t count, std::function<void(Rent, std::vector<MachineId>)> done);
    void give_back(const std::vector<MachineId>& machines, std::function<void(bool)> done);
    std::size_t queued() const { return queue_.size(); }

  private:
    void submit(HttpRequest req, Reply done);
    void pump();
    Env& env_;
    const Settings& settings_;
    TokenBucket bucket_;
    std::deque<std::pair<HttpRequest, Reply>> queue_;
    Env::TimerId timer_ = 0;
};

}  // namespace zincdyke
