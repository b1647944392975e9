#include "store/machine_images.h"

#include <algorithm>

namespace zincdyke {
namespace {
constexpr std::size_t max_machines = 8192;
constexpr std::size_t max_images_of_machine = 48;
}  // namespace

void MachineImages::add(const MachineId& machine, const std::string& image, double image_gb, Revision at) {
    if (image.empty()) return;
    if (images_.size() >= max_machines && !images_.contains(machine)) make_room(at);
    Images& images = images_[machine];
    images.last_placed = std::max(images.last_placed, at);
    std::erase_if(images.recent, [&](const Image& known) { return known.name == image; });
    images.recent.push_front({image, image_gb});
    if (images.recent.size() > max_images_of_machine) images.recent.pop_back();
}

// Machines that were terminated leave their images behind: those without placements for a quarter of the
// store's history go, and all if that isn't enough.
void MachineImages::make_room(Revision at) {
    const Revision oldest{at.value() - at.value() / 4};
    std::erase_if(images_, [&](const auto& entry) { return entry.second.last_placed < oldest; });
    if (images_.size() >= max_machines) images_.clear();
}

bool MachineImages::holds(const MachineId& machine, const std::string& image, double cache_gb) const {
    bool found = false;
    for_each(machine, cache_gb, [&](const std::string& name) { found = found || name == image; });
    return found;
}

}  // namespace zincdyke
