/// Index of record format levels: the level that the fleet writes and the level that each controller
/// supports.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>

#include "base/types.h"

namespace zincdyke {

/// Record format levels as last read from the key-value store (docs/design.md, "Upgrade"). The fleet is the
/// set of all controllers of the deployment.
class FormatLevels {
  public:
    /// Sets the format level that the fleet writes; ignores a level below the current one.
    void raise_fleet_level(std::uint32_t level) { fleet_level_ = std::max(fleet_level_, level); }
    void set_supported_level(const NodeName& node, std::uint32_t level) { supported_levels_[node] = level; }

    /// The format level of the records that all controllers write.
    [[nodiscard]] std::uint32_t fleet_level() const { return fleet_level_; }
    /// The highest format level that each controller has registered as supported.
    [[nodiscard]] const std::map<NodeName, std::uint32_t>& supported_levels() const {
        return supported_levels_;
    }

  private:
    std::uint32_t fleet_level_ = 0;
    std::map<NodeName, std::uint32_t> supported_levels_;
};

}  // namespace zincdyke
