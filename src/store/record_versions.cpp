#include "store/record_versions.h"

namespace zincdyke {
namespace {
constexpr std::size_t max_versions_kept = 4096;
}

bool RecordVersions::update_if_newer(const KeyUpdate& update) {
    const auto known = versions_.find(update.key);
    if (known != versions_.end() && update.version <= known->second.version) return false;
    versions_[update.key] = {update.version, update.value.has_value()};
    return true;
}

Revision RecordVersions::version(const std::string& key) const {
    const auto known = versions_.find(key);
    return known != versions_.end() && known->second.exists ? known->second.version : Revision{};
}

void RecordVersions::drop_deleted(Revision applied) {
    if (versions_.size() <= max_versions_kept) return;
    std::erase_if(versions_,
                  [&](const auto& entry) { return !entry.second.exists && entry.second.version < applied; });
}

}  // namespace zincdyke
