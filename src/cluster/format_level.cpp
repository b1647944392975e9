#include "cluster/format_level.h"

#include <algorithm>
#include <string>

#include "base/log.h"
#include "cluster/rendezvous_hash.h"
#include "store/records.h"

namespace zincdyke {
namespace {
constexpr Duration review_interval = std::chrono::milliseconds(500);

std::string joined(const std::vector<NodeName>& names) {
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

void FormatLevel::start() { review(); }

std::vector<NodeName> FormatLevel::unregistered_nodes() const {
    std::vector<NodeName> missing;
    if (state_cache_.format_level() >= highest_supported) return missing;
    for (const auto& node : all_nodes_) {
        const auto known = state_cache_.known_formats().find(node);
        if (known == state_cache_.known_formats().end() || known->second < highest_supported)
            missing.push_back(node);
    }
    return missing;
}

void FormatLevel::review() {
    env_.after(review_interval, [this] { review(); });
    if (!cluster_.is_up_to_date() || is_commit_under_way_ || state_cache_.format_level() >= highest_supported)
        return;
    const auto missing = unregistered_nodes();
    if (std::find(missing.begin(), missing.end(), settings_.node) != missing.end())
        return commit_level(keys::known_format(settings_.node), highest_supported, "format_registered");
    if (missing.size() != logged_missing_count_)
        log::info("event=format_level_waits for={}", joined(missing));
    logged_missing_count_ = missing.size();
    // One node is enough; any may do it, and again: the commit names the version that was seen.
    if (missing.empty() && pick_by_hash(keys::format_level, cluster_.live_nodes()) == settings_.node)
        commit_level(keys::format_level, highest_supported, "format_level_raised");
}

// Without an answer it may have been carried out or not; the watch tells, and a repeat names the same
// version.
void FormatLevel::commit_level(const std::string& key, std::uint32_t level, const char* event) {
    is_commit_under_way_ = true;
    Transaction txn;
    txn.conditions.push_back({key, state_cache_.version(key)});
    txn.writes.push_back({key, records::encode_format_level(level), std::nullopt});
    store_.commit(txn, RequestPriority::report, [this, key, txn, event](const CommitResult& result) {
        is_commit_under_way_ = false;
        if (result.outcome != Outcome::ok) return;
        log::info("event={} revision={}", event, result.revision.value());
        state_cache_.apply({key, txn.writes[0].value, result.revision});
    });
}

}  // namespace zincdyke
