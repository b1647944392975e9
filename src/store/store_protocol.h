/// The key-value store's HTTP interface: pure functions that build HTTP requests and parse responses.
#pragma once
#include <cstdint>
#include <string>

#include "base/env.h"
#include "base/types.h"
#include "store/store_requests.h"

/// Field names of the interface: `stamp` is a record's version, `epoch` the store's revision, `tether` a
/// lease and `news` the changes that a watch returns. A malformed or missing response gives
/// `Outcome::unknown`.
namespace zincdyke::store_protocol {

[[nodiscard]] HttpRequest get_request(const std::string& key);
[[nodiscard]] GetResult parse_get(const HttpResponse& response);

/// Builds a request for up to 1,000 records whose keys begin with `prefix`, ordered by key and starting after
/// the key `after` (empty: from the first).
[[nodiscard]] HttpRequest list_request(const std::string& prefix, const std::string& after);
[[nodiscard]] ListResult parse_list(const HttpResponse& response);

/// Builds a request for the changes after the revision `after`. If there are none, the store waits up to
/// `max_wait` for a change before it responds.
[[nodiscard]] HttpRequest watch_request(const std::string& prefix, Revision after, Duration max_wait);
[[nodiscard]] ListResult parse_watch(const HttpResponse& response);

[[nodiscard]] HttpRequest commit_request(const Transaction& txn);
[[nodiscard]] CommitResult parse_commit(const HttpResponse& response);

/// Builds a request for a lease that expires unless it is renewed within `lifetime`.
[[nodiscard]] HttpRequest grant_lease_request(Duration lifetime);
[[nodiscard]] LeaseResult parse_lease(const HttpResponse& response);
[[nodiscard]] HttpRequest renew_lease_request(std::uint64_t lease);
/// Returns the outcome of a response by its HTTP status alone.
[[nodiscard]] Outcome parse_outcome(const HttpResponse& response);

/// The response for a request that is not sent because the store is unreachable or a queue is full (503).
[[nodiscard]] HttpResponse unavailable_response();
/// The response for a request that is not sent because it waited too long for the request budget (429).
[[nodiscard]] HttpResponse rate_limited_response();
[[nodiscard]] bool is_rate_limited(const HttpResponse& response);
/// Returns whether the response is missing (status 0) or says that the store is unavailable (503).
[[nodiscard]] bool is_unavailable(const HttpResponse& response);

}  // namespace zincdyke::store_protocol
