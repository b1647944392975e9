#include "cluster/format_level.h"

#include <algorithm>
#include <string>

#include "base/log.h"
#include "cluster/rendezvous_hash.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr Duration level_check_interval = std::chrono::milliseconds(500);

std::string join(const std::vector<NodeName>& names) {
    std::string text;
    for (const auto& name : names) text += (text.empty() ? "" : ",") + name.value();
    return text;
}
}  // namespace

FormatLevel::FormatLevel(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                         const ClusterCoordinator& cluster)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(state_cache),
      cluster_(cluster),
      all_nodes_(settings.all_nodes()) {}

void FormatLevel::start() { register_and_raise_level(); }

std::vector<NodeName> FormatLevel::unregistered_nodes() const {
    std::vector<NodeName> missing;
    if (state_cache_.fleet_format_level() >= highest_supported) return missing;
    for (const auto& node : all_nodes_) {
        const auto registered = state_cache_.supported_format_levels().find(node);
        if (registered == state_cache_.supported_format_levels().end() ||
            registered->second < highest_supported)
            missing.push_back(node);
    }
    return missing;
}

void FormatLevel::register_and_raise_level() {
    env_.after(level_check_interval, [this] { register_and_raise_level(); });
    if (!cluster_.is_up_to_date() || is_commit_in_flight_ ||
        state_cache_.fleet_format_level() >= highest_supported)
        return;
    const auto missing = unregistered_nodes();
    if (std::find(missing.begin(), missing.end(), settings_.node) != missing.end())
        return commit_level(keys::supported_format_level(settings_.node), highest_supported,
                            "format_registered");
    if (missing.size() != logged_missing_count_) log::info("event=format_level_waits for={}", join(missing));
    logged_missing_count_ = missing.size();
    // Only one controller, picked by hash, commits the higher format level, which avoids commit conflicts. A
    // second commit would be harmless, because each is conditional on the record version in the cache.
    if (missing.empty() && pick_by_hash(keys::fleet_format_level, cluster_.live_nodes()) == settings_.node)
        commit_level(keys::fleet_format_level, highest_supported, "format_level_raised");
}

// Commits `level` to the format-level record `key`. If the store does not respond, the watch eventually shows
// whether the commit was executed. A retry is conditional on the record's current version.
void FormatLevel::commit_level(const std::string& key, std::uint32_t level, const char* event) {
    is_commit_in_flight_ = true;
    Transaction txn;
    txn.conditions.push_back({key, state_cache_.version(key)});
    txn.writes.push_back({key, records::encode_format_level(level), std::nullopt});
    store_.commit(txn, RequestPriority::report, [this, key, txn, event](const CommitResult& result) {
        is_commit_in_flight_ = false;
        if (result.outcome != Outcome::ok) return;
        log::info("event={} revision={}", event, result.revision.value());
        state_cache_.apply({key, txn.writes[0].value, result.revision});
    });
}

}  // namespace zincdyke
