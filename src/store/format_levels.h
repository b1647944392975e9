/// Index: which record formats the fleet writes, and which each controller understands.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>

#include "base/types.h"

namespace zincdyke {

/// Format levels, as far as read (docs/design.md, "Upgrade").
class FormatLevels {
  public:
    void raise_fleet_level(std::uint32_t level) { fleet_level_ = std::max(fleet_level_, level); }
    void set_supported_level(const NodeName& node, std::uint32_t level) { known_[node] = level; }
    /// Before the state is read anew. The fleet's level never falls, and stays.
    void clear() { known_.clear(); }

    /// What the fleet writes.
    [[nodiscard]] std::uint32_t fleet_level() const { return fleet_level_; }
    /// What each controller has registered to understand.
    [[nodiscard]] const std::map<NodeName, std::uint32_t>& supported_levels() const { return known_; }

  private:
    std::uint32_t fleet_level_ = 0;
    std::map<NodeName, std::uint32_t> known_;
};

}  // namespace zincdyke
