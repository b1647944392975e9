/// The key-value store's HTTP interface: pure functions from requests to HTTP, and from answers to results.
#pragma once
#include <cstdint>
#include <string>

#include "base/env.h"
#include "base/types.h"
#include "store/store_requests.h"

/// The interface's own words: `stamp` is a record's version, `epoch` the store's revision, `tether` a lease,
/// `news` a watch's changes. An answer that cannot be read counts as none (`Outcome::unknown`).
namespace zincdyke::store_protocol {

[[nodiscard]] HttpRequest get_request(const std::string& key);
[[nodiscard]] GetResult parse_get(const HttpResponse& response);

/// Up to 1,000 records whose keys begin with `prefix`, by key, from the first after `after` on (empty: from
/// the first).
[[nodiscard]] HttpRequest list_request(const std::string& prefix, const std::string& after);
[[nodiscard]] ListResult parse_list(const HttpResponse& response);

/// Changes later than the revision `after`. Without any the store holds its answer for `hold`.
[[nodiscard]] HttpRequest watch_request(const std::string& prefix, Revision after, Duration hold);
[[nodiscard]] ListResult parse_watch(const HttpResponse& response);

[[nodiscard]] HttpRequest commit_request(const Transaction& txn);
[[nodiscard]] CommitResult parse_commit(const HttpResponse& response);

/// A lease that expires unless it is renewed within `life`.
[[nodiscard]] HttpRequest grant_lease_request(Duration life);
[[nodiscard]] LeaseResult parse_lease(const HttpResponse& response);
[[nodiscard]] HttpRequest renew_lease_request(std::uint64_t lease);
/// The outcome where the answer has no more to say.
[[nodiscard]] Outcome parse_outcome(const HttpResponse& response);

/// What the store says when it carries nothing out for now; for requests that are not sent at all.
[[nodiscard]] HttpResponse unavailable_response();
[[nodiscard]] HttpResponse rate_limited_response();
[[nodiscard]] bool is_rate_limited(const HttpResponse& response);
/// No answer, or the store's word that it is unavailable.
[[nodiscard]] bool is_unavailable(const HttpResponse& response);

}  // namespace zincdyke::store_protocol
