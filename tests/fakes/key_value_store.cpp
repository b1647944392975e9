#include "fakes/key_value_store.h"

#include <algorithm>
#include <utility>

namespace zincdyke::testing {

namespace {

constexpr std::size_t max_retained_changes = 10'000;
constexpr std::size_t max_transaction_bytes = 64 * 1024;

std::string query_parameter(const std::string& path, const std::string& name) {
    auto at = path.find(name + "=");
    if (at == std::string::npos) return "";
    at += name.size() + 1;
    return path.substr(at, path.find('&', at) - at);
}

bool starts_with(const std::string& text, const char* prefix) { return text.rfind(prefix, 0) == 0; }

}  // namespace

std::uint64_t FakeKeyValueStore::lease_of(const std::string& key) const {
    const auto lease = lease_by_key_.find(key);
    return lease == lease_by_key_.end() ? 0 : lease->second;
}

int FakeKeyValueStore::placed_tasks(const std::string& machine) const {
    int count = 0;
    for (const auto& [key, entry] : data)
        if (starts_with(key, "z/t/"))
            for (const auto& placement : entry.value.value("p", Json::array()))
                if (placement.at(2) == machine) ++count;
    return count;
}

void FakeKeyValueStore::write(const std::string& key, std::optional<Json> value) {
    if (const auto lease = lease_by_key_.find(key); lease != lease_by_key_.end()) {
        leases_[lease->second].keys.erase(key);
        lease_by_key_.erase(lease);
    }
    if (!value && !data.contains(key)) return;
    if (recorder_ != nullptr) {
        const std::string text = value ? value->dump() : "";
        recorder_->write(clock_.now(), key, revision_, value ? &text : nullptr);
    }
    if (value)
        data[key] = {*value, revision_};
    else
        data.erase(key);
    changes_.push_back({key, std::move(value), revision_});
    if (changes_.size() > max_retained_changes) changes_.pop_front();
}

bool FakeKeyValueStore::take_tokens(TokenBucket& bucket, double rate, double count) {
    if (rate <= 0) return true;
    bucket.tokens = bucket.refilled_at < 0
                        ? rate
                        : std::min(rate, bucket.tokens + rate * (clock_.now() - bucket.refilled_at));
    bucket.refilled_at = clock_.now();
    if (bucket.tokens < count) {
        ++rate_limited_requests;
        return false;
    }
    bucket.tokens -= count;
    return true;
}

bool FakeKeyValueStore::reply_to_watch(Watch& watch, bool timed_out) {
    if (outage || rejected_clients.contains(watch.from)) return false;
    const bool is_compacted_for_client = compacted_clients.erase(watch.from) > 0;
    if (is_compacted_for_client ||
        (changes_.size() == max_retained_changes && changes_.front().revision > watch.after + 1)) {
        watch.reply({410, "{}", -1});
        return true;
    }
    Json watch_events = Json::array();
    auto change = std::upper_bound(
        changes_.begin(), changes_.end(), watch.after,
        [](std::uint64_t revision, const Change& entry) { return revision < entry.revision; });
    for (; change != changes_.end(); ++change) {
        if (change->key.rfind(watch.prefix, 0) != 0) continue;
        if (change->value)
            watch_events.push_back(
                {{"set", change->key}, {"value", *change->value}, {"stamp", change->revision}});
        else
            watch_events.push_back({{"delete", change->key}, {"stamp", change->revision}});
    }
    if (watch_events.empty() && !timed_out) return false;
    std::string text = Json{{"epoch", revision_}, {"news", watch_events}}.dump();
    if (max_watch_response_bytes > 0 && text.size() > max_watch_response_bytes)
        watch.reply({});
    else
        watch.reply({200, std::move(text), -1});
    return true;
}

void FakeKeyValueStore::tick() {
    for (auto it = leases_.begin(); it != leases_.end();) {
        Lease& lease = it->second;
        if (outage) lease.expires_at = std::max(lease.expires_at, clock_.now() + lease.duration_s);
        if (lease.expires_at < clock_.now()) {
            const auto keys = lease.keys;
            it = leases_.erase(it);
            if (!keys.empty()) ++revision_;
            for (const auto& key : keys) write(key, std::nullopt);
        } else {
            ++it;
        }
    }
    std::vector<Watch> waiting = std::move(watches_);
    watches_.clear();
    for (auto& watch : waiting)
        if (!reply_to_watch(watch, watch.expires_at < clock_.now())) watches_.push_back(std::move(watch));
}

void FakeKeyValueStore::lower_limits(std::size_t value_bytes, std::size_t operations, double writes_per_s) {
    max_value_bytes = value_bytes;
    max_operations = operations;
    if (max_writes_per_s > 0) max_writes_per_s = writes_per_s;
    limits_lowered_ = true;
}

bool FakeKeyValueStore::is_over_lowered_limits(const Json& transaction) const {
    if (!limits_lowered_) return false;
    const Json& writes = transaction["writes"];
    if (writes.size() > max_operations || transaction["if"].size() > 4 * max_operations) return true;
    return std::any_of(writes.begin(), writes.end(), [this](const Json& write) {
        return write.contains("set") && write["value"].dump().size() > max_value_bytes;
    });
}

void FakeKeyValueStore::handle(const std::string& from, const HttpRequest& request, Reply reply) {
    if (outage || rejected_clients.contains(from)) return reply({503, "{}", -1});
    if (!take_tokens(request_bucket_, max_requests_per_s, 1)) return reply({429, "{}", -1});
    const std::string& path = request.path;
    if (starts_with(path, "/watch")) return start_watch(from, path, std::move(reply));
    if (starts_with(path, "/store?")) return list(path, reply);
    if (starts_with(path, "/store/")) return get(path.substr(7), reply);
    if (path == "/grants") return grant_lease(request, reply);
    if (starts_with(path, "/grants/")) return renew_lease(std::stoull(path.substr(8)), reply);
    if (path == "/commit") return commit(request, reply);
    reply({400, "{}", -1});
}

void FakeKeyValueStore::start_watch(const std::string& from, const std::string& path, Reply reply) {
    Watch watch{query_parameter(path, "prefix"), from, std::stoull(query_parameter(path, "after")),
                clock_.now() + std::stod(query_parameter(path, "hold_ms")) / 1000, std::move(reply)};
    if (!reply_to_watch(watch, false)) watches_.push_back(std::move(watch));
}

void FakeKeyValueStore::list(const std::string& path, const Reply& reply) const {
    const std::string prefix = query_parameter(path, "prefix"), after = query_parameter(path, "after");
    Json items = Json::array();
    bool has_next = false;
    for (const auto& [key, entry] : data) {
        if (key.rfind(prefix, 0) != 0 || key <= after) continue;
        if (items.size() == list_page_size) {
            has_next = true;
            break;
        }
        items.push_back({{"key", key}, {"value", entry.value}, {"stamp", entry.revision}});
    }
    reply({200, Json{{"items", items}, {"has_next", has_next}, {"epoch", revision_}}.dump(), -1});
}

void FakeKeyValueStore::get(const std::string& key, const Reply& reply) const {
    const auto entry = data.find(key);
    if (entry == data.end()) return reply({404, Json{{"epoch", revision_}}.dump(), -1});
    reply({200, Json{{"key", key}, {"value", entry->second.value}, {"stamp", entry->second.revision}}.dump(),
           -1});
}

void FakeKeyValueStore::grant_lease(const HttpRequest& request, const Reply& reply) {
    const std::uint64_t id = next_lease_++;
    const double duration_s = Json::parse(request.body)["life_ms"].get<double>() / 1000;
    leases_[id] = {clock_.now() + duration_s, duration_s, {}};
    reply({200, Json{{"tether", id}}.dump(), -1});
}

void FakeKeyValueStore::renew_lease(std::uint64_t id, const Reply& reply) {
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) return reply({404, "{}", -1});
    lease->second.expires_at = clock_.now() + lease->second.duration_s;
    reply({200, Json{{"tether", id}}.dump(), -1});
}

void FakeKeyValueStore::commit(const HttpRequest& request, const Reply& reply) {
    Json transaction = Json::parse(request.body);
    if (!transaction.contains("if")) transaction["if"] = Json::array();
    const Json& writes = transaction["writes"];
    if (!take_tokens(write_bucket_, max_writes_per_s, static_cast<double>(writes.size())))
        return reply({429, "{}", -1});
    ++commits;
    if (is_over_lowered_limits(transaction)) {
        ++rejected_transactions;
        return reply({400, R"({"error":"too large"})", -1});
    }
    if (request.body.size() > max_transaction_bytes || writes.size() > max_operations ||
        transaction["if"].size() > 4 * max_operations)
        oversized_write = "transaction";
    for (const auto& write : writes) {
        if (write.contains("tether") && !leases_.contains(write["tether"].get<std::uint64_t>()))
            return reply({400, R"({"error":"no such lease"})", -1});
        if (write.contains("set") && write["value"].dump().size() > max_value_bytes)
            oversized_write = write["set"].get<std::string>();
    }
    const Json failed = failed_preconditions(transaction);
    if (!failed.empty()) return reply({409, Json{{"failed", failed}, {"epoch", revision_}}.dump(), -1});
    if (record_commits) recorded_commits.push_back(request);
    apply(writes);
    reply({200, Json{{"epoch", revision_}}.dump(), -1});
    tick();
}

Json FakeKeyValueStore::failed_preconditions(const Json& transaction) const {
    Json failed = Json::array();
    for (const auto& condition : transaction["if"]) {
        const auto entry = data.find(condition["key"].get<std::string>());
        const std::uint64_t revision = entry == data.end() ? 0 : entry->second.revision;
        if (revision != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["key"]);
    }
    return failed;
}

void FakeKeyValueStore::apply(const Json& writes) {
    if (!writes.empty()) ++revision_;
    for (const auto& operation : writes) {
        if (operation.contains("delete")) {
            write(operation["delete"].get<std::string>(), std::nullopt);
            continue;
        }
        const std::string key = operation["set"].get<std::string>();
        write(key, operation["value"]);
        if (!operation.contains("tether")) continue;
        const auto lease = operation["tether"].get<std::uint64_t>();
        lease_by_key_[key] = lease;
        leases_[lease].keys.insert(key);
    }
}

}  // namespace zincdyke::testing
