/// Index: which images lie on each machine.
#pragma once
#include <deque>
#include <string>
#include <unordered_map>

#include "base/types.h"

namespace zincdyke {

/// Images of the tasks placed on each machine, newest first, as far back as the machine's cache reaches.
///
/// Every controller derives them from the placements that it follows, and keeps them when it reads the state
/// anew: what only a shard's leader had seen was lost with it, and gangs waited for fetches of what lay there
/// already.
class MachineImages {
  public:
    /// A task with the image was placed on the machine. `at`: the revision of that placement.
    void add(const MachineId& machine, const std::string& image, double image_gb, Revision at);
    void forget(const MachineId& machine) { images_.erase(machine); }
    [[nodiscard]] bool holds(const MachineId& machine, const std::string& image, double cache_gb) const;
    /// Calls `fn` with the name of each image that a cache of `cache_gb` still holds.
    template <class Fn>
    void for_each(const MachineId& machine, double cache_gb, Fn fn) const {
        const auto found = images_.find(machine);
        if (found == images_.end()) return;
        for (const auto& image : found->second.recent) {
            if ((cache_gb -= image.size_gb) < 0) return;
            fn(image.name);
        }
    }

  private:
    struct Image {
        std::string name;
        double size_gb = 0;
    };
    struct Images {
        std::deque<Image> recent;  // newest first
        Revision last_placed;
    };
    void make_room(Revision at);

    std::unordered_map<MachineId, Images> images_;
};

}  // namespace zincdyke
