#include "store/store_protocol.h"

#include <utility>

namespace zincdyke::store_protocol {
namespace {

constexpr int status_no_response = 0;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_compacted = 410;
constexpr int status_rate_limited = 429;
constexpr int status_server_error = 500;
constexpr int status_unavailable = 503;

Outcome outcome_of(int status) {
    switch (status) {
        case status_ok:
            return Outcome::ok;
        case status_not_found:
            return Outcome::not_found;
        case status_conflict:
            return Outcome::conflict;
        case status_rate_limited:
        case status_unavailable:
            return Outcome::not_executed;
        case status_no_response:
            return Outcome::unknown;
        default:
            return status >= status_server_error ? Outcome::unknown : Outcome::invalid_request;
    }
}

// Returns the value of a numeric field; 0 if the field is missing or not an unsigned number.
std::uint64_t number_in(const Json& body, const char* field) {
    const auto found = body.find(field);
    return found != body.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

Revision revision_in(const Json& body, const char* field) { return Revision{number_in(body, field)}; }

struct ParsedResponse {
    Outcome outcome;
    Json body;  // the response's JSON object; empty if the body is malformed
};

ParsedResponse parse(const HttpResponse& response) {
    ParsedResponse parsed{outcome_of(response.status), Json::parse(response.body, nullptr, false)};
    if (parsed.body.is_object()) return parsed;
    parsed.body = Json::object();
    if (parsed.outcome == Outcome::ok || parsed.outcome == Outcome::conflict)
        parsed.outcome = Outcome::unknown;
    return parsed;
}

KeyUpdate parse_change(Json& entry) {
    KeyUpdate update;
    update.version = revision_in(entry, "stamp");
    if (entry.contains("set")) {
        update.key = entry.value("set", "");
        update.value = std::move(entry["value"]);
    } else {
        update.key = entry.value("delete", "");
    }
    return update;
}

Json encode_write(const Write& write) {
    if (!write.value) return {{"delete", write.key}};
    Json entry = {{"set", write.key}, {"value", *write.value}};
    if (write.lease_id) entry["tether"] = *write.lease_id;
    return entry;
}

std::string milliseconds(Duration duration) { return std::to_string(duration.count() / 1000); }

}  // namespace

HttpRequest get_request(const std::string& key) { return {"GET", "/store/" + key, ""}; }

GetResult parse_get(const HttpResponse& response) {
    const ParsedResponse parsed = parse(response);
    GetResult result;
    result.outcome = parsed.outcome;
    if (parsed.outcome == Outcome::ok) {
        result.version = revision_in(parsed.body, "stamp");
        result.value = parsed.body.value("value", Json());
        if (result.version == Revision{}) result.outcome = Outcome::unknown;
    } else if (parsed.outcome == Outcome::not_found) {
        result.version = revision_in(parsed.body, "epoch");
    }
    return result;
}

HttpRequest list_request(const std::string& prefix, const std::string& after) {
    std::string path = "/store?prefix=" + prefix + "&most=1000";
    if (!after.empty()) path += "&after=" + after;
    return {"GET", std::move(path), ""};
}

ListResult parse_list(const HttpResponse& response) {
    const ParsedResponse parsed = parse(response);
    ListResult result;
    result.outcome = parsed.outcome;
    if (parsed.outcome != Outcome::ok) return result;
    result.revision = revision_in(parsed.body, "epoch");
    result.has_more = parsed.body.value("has_next", false);
    for (auto& entry : parsed.body.value("items", Json::array()))
        result.items.push_back(
            {entry.value("key", ""), std::move(entry["value"]), revision_in(entry, "stamp")});
    return result;
}

HttpRequest watch_request(const std::string& prefix, Revision after, Duration max_wait) {
    return {"GET",
            "/watch?prefix=" + prefix + "&after=" + std::to_string(after.value()) +
                "&hold_ms=" + milliseconds(max_wait),
            ""};
}

ListResult parse_watch(const HttpResponse& response) {
    const ParsedResponse parsed = parse(response);
    ListResult result;
    result.outcome = parsed.outcome;
    result.is_compacted = response.status == status_compacted;
    if (parsed.outcome != Outcome::ok) return result;
    result.revision = revision_in(parsed.body, "epoch");
    for (auto& entry : parsed.body.value("news", Json::array())) result.items.push_back(parse_change(entry));
    return result;
}

HttpRequest commit_request(const Transaction& txn) {
    Json conditions = Json::array(), writes = Json::array();
    for (const Condition& condition : txn.conditions)
        conditions.push_back({{"key", condition.key}, {"stamp", condition.version.value()}});
    for (const Write& write : txn.writes) writes.push_back(encode_write(write));
    return {"POST", "/commit", Json{{"if", std::move(conditions)}, {"writes", std::move(writes)}}.dump()};
}

CommitResult parse_commit(const HttpResponse& response) {
    const ParsedResponse parsed = parse(response);
    CommitResult result;
    result.outcome = parsed.outcome;
    if (parsed.outcome == Outcome::ok) {
        result.revision = revision_in(parsed.body, "epoch");
        if (result.revision == Revision{}) result.outcome = Outcome::unknown;
    } else if (parsed.outcome == Outcome::conflict) {
        for (const auto& key : parsed.body.value("failed", Json::array()))
            if (key.is_string()) result.failed_keys.push_back(key.get<std::string>());
    }
    return result;
}

HttpRequest grant_lease_request(Duration lifetime) {
    return {"POST", "/grants", Json{{"life_ms", lifetime.count() / 1000}}.dump()};
}

LeaseResult parse_lease(const HttpResponse& response) {
    const ParsedResponse parsed = parse(response);
    const std::uint64_t id = number_in(parsed.body, "tether");
    if (parsed.outcome == Outcome::ok && id == 0) return {Outcome::unknown, 0};
    return {parsed.outcome, id};
}

HttpRequest renew_lease_request(std::uint64_t lease) {
    return {"POST", "/grants/" + std::to_string(lease) + "/touch", ""};
}

Outcome parse_outcome(const HttpResponse& response) { return outcome_of(response.status); }

HttpResponse unavailable_response() { return {status_unavailable, "", -1}; }
HttpResponse rate_limited_response() { return {status_rate_limited, "", -1}; }
bool is_rate_limited(const HttpResponse& response) { return response.status == status_rate_limited; }
bool is_unavailable(const HttpResponse& response) {
    return response.status == status_no_response || response.status == status_unavailable;
}

}  // namespace zincdyke::store_protocol
