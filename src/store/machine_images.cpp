#include "store/machine_images.h"

#include <algorithm>

namespace zincdyke {
namespace {
constexpr std::size_t max_machines = 8192;
constexpr std::size_t max_images_per_machine = 48;
}  // namespace

void MachineImages::add(const MachineId& machine, const std::string& image, double image_gb,
                        Revision placed_at) {
    if (image.empty()) return;
    if (machines_.size() >= max_machines && !machines_.contains(machine)) evict_inactive_machines(placed_at);
    MachineEntry& entry = machines_[machine];
    entry.last_placed_at = std::max(entry.last_placed_at, placed_at);
    std::erase_if(entry.recent_images, [&](const Image& cached) { return cached.name == image; });
    entry.recent_images.push_front({image, image_gb});
    if (entry.recent_images.size() > max_images_per_machine) entry.recent_images.pop_back();
}

// Limits the size of the index, which may contain machines that were terminated without a call of `forget`.
// Evicts the machines that had no placement in the latest quarter of the store's revisions, and if the index
// is still full after that, evicts all machines.
void MachineImages::evict_inactive_machines(Revision current) {
    const Revision oldest_kept{current.value() - current.value() / 4};
    std::erase_if(machines_, [&](const auto& entry) { return entry.second.last_placed_at < oldest_kept; });
    if (machines_.size() >= max_machines) machines_.clear();
}

bool MachineImages::holds(const MachineId& machine, const std::string& image, double cache_gb) const {
    bool found = false;
    for_each(machine, cache_gb, [&](const std::string& name) { found = found || name == image; });
    return found;
}

}  // namespace zincdyke
