#include "store/record_versions.h"

namespace zincdyke {
namespace {
constexpr std::size_t max_versions_before_pruning = 4096;
}

bool RecordVersions::update_if_newer(const KeyUpdate& update) {
    const auto found = versions_.find(update.key);
    if (found != versions_.end() && update.version <= found->second.version) return false;
    versions_[update.key] = {update.version, update.value.has_value()};
    return true;
}

Revision RecordVersions::version(const std::string& key) const {
    const auto found = versions_.find(key);
    return found != versions_.end() && found->second.exists ? found->second.version : Revision{};
}

void RecordVersions::drop_deleted(Revision applied_revision) {
    if (versions_.size() <= max_versions_before_pruning) return;
    std::erase_if(versions_, [&](const auto& entry) {
        return !entry.second.exists && entry.second.version < applied_revision;
    });
}

std::vector<std::string> RecordVersions::keys_written_before(Revision revision) const {
    std::vector<std::string> keys;
    for (const auto& [key, entry] : versions_)
        if (entry.exists && entry.version < revision) keys.push_back(key);
    return keys;
}

}  // namespace zincdyke
