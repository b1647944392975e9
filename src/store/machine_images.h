/// Index of the task images cached on each machine.
#pragma once
#include <deque>
#include <string>
#include <unordered_map>

#include "base/types.h"

namespace zincdyke {

/// Images of the tasks recently placed on each machine.
///
/// Every controller derives the index from the placements that it reads, and keeps it when the state cache is
/// reloaded, so that a new shard leader still knows which images a machine has cached. When only the
/// shard's leader knew them, they were lost with it, and gangs waited for fetches of images that were there.
class MachineImages {
  public:
    /// Records that a task with the image was placed on the machine at the revision `placed_at`. Ignores an
    /// empty image name.
    void add(const MachineId& machine, const std::string& image, double image_gb, Revision placed_at);
    void forget(const MachineId& machine) { machines_.erase(machine); }
    /// Returns whether the image is among the machine's most recently placed images that together fit a cache
    /// of `cache_gb`.
    [[nodiscard]] bool holds(const MachineId& machine, const std::string& image, double cache_gb) const;
    /// Calls `fn` with the name of each of the machine's most recently placed images that together fit a
    /// cache of `cache_gb`, the most recent first.
    template <class Fn>
    void for_each(const MachineId& machine, double cache_gb, Fn fn) const {
        const auto found = machines_.find(machine);
        if (found == machines_.end()) return;
        for (const auto& image : found->second.recent_images) {
            if ((cache_gb -= image.size_gb) < 0) return;
            fn(image.name);
        }
    }

  private:
    struct Image {
        std::string name;
        double size_gb = 0;
    };
    struct MachineEntry {
        std::deque<Image> recent_images;  // ordered by placement, the most recent first
        Revision last_placed_at;
    };
    void evict_inactive_machines(Revision current);

    std::unordered_map<MachineId, MachineEntry> machines_;
};

}  // namespace zincdyke
