/// A simulated key-value store with versioned keys, conditional transactions, leases and watches.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/env.h"
#include "fakes/simulated_clock.h"
#include "message_recorder.h"
#include "wire/json_api.h"

namespace zincdyke::testing {

using wire::Json;

/// An in-memory fake of the key-value store's HTTP API. Tests may read `data` and change the faults and
/// limits at any time.
class FakeKeyValueStore {
  public:
    /// The stored value of a key and its revision.
    struct Entry {
        Json value;
        std::uint64_t revision = 0;  ///< Revision of the commit that last wrote the key.
    };

    /// `recorder` records every write; null: writes are not recorded.
    FakeKeyValueStore(SimulatedClock& clock, MessageRecorder* recorder)
        : clock_(clock), recorder_(recorder) {}

    /// Executes an HTTP request to the store. A watch request may be answered later; all other requests are
    /// answered before this function returns.
    void handle(const std::string& from, const HttpRequest& request, Reply reply);

    /// Expires leases and answers watch requests. Must be called every 0.1 s.
    void tick();

    /// Returns the id of the lease that a key is attached to; 0: none.
    [[nodiscard]] std::uint64_t lease_of(const std::string& key) const;
    /// Returns the number of tasks that the stored placements assign to a machine.
    [[nodiscard]] int placed_tasks(const std::string& machine) const;

    std::map<std::string, Entry> data;
    std::uint64_t commits = 0;  ///< Number of transactions received, without those over the rate limits.

    /// If true, the store answers every request with status 503, and leases don't expire.
    bool outage = false;
    /// Names of the controllers whose requests get status 503.
    std::set<std::string> rejected_clients;
    /// Names of the controllers whose next watch request gets status 410, as if the changes that it asks for
    /// had been discarded. A controller is removed from the set when its request is answered.
    std::set<std::string> compacted_clients;

    /// Rate limits for requests and for written keys; 0: no limit. Requests over a limit get status 429.
    double max_requests_per_s = 0, max_writes_per_s = 0;
    std::uint64_t rate_limited_requests = 0;  ///< Number of requests that got status 429.

    /// Size limits for values and for the number of operations in a transaction. A transaction over these
    /// limits is still executed, and recorded in `oversized_write`.
    std::size_t max_value_bytes = 4096, max_operations = 8;
    /// The last key whose value was over the size limit, or "transaction"; empty: no write was over a limit.
    std::string oversized_write;

    /// Lowers the limits and rejects transactions over the size limits with status 400, like a service that
    /// lowers its limits without notice.
    void lower_limits(std::size_t value_bytes, std::size_t operations, double writes_per_s);
    std::uint64_t rejected_transactions = 0;  ///< Number of transactions rejected by lowered limits.

    std::size_t list_page_size = 7;  ///< Maximum items in a response to a list request.
    /// Watch responses larger than this are lost; 0: no limit.
    std::size_t max_watch_response_bytes = 0;

    /// If true, executed transactions are added to `recorded_commits`, so that a test can send them again.
    bool record_commits = false;
    std::vector<HttpRequest> recorded_commits;

  private:
    /// A lease of the store. Its keys are deleted when it expires.
    struct Lease {
        double expires_at = 0;
        double duration_s = 0;  // time from the grant or a renewal of the lease until its expiry
        std::set<std::string> keys;
    };
    /// A client's request for changes of keys with a prefix, which awaits its response.
    struct Watch {
        std::string prefix, from;
        std::uint64_t after = 0;  // latest revision that the watch's client has received
        double expires_at = 0;
        Reply reply;
    };
    /// A write or deletion of one key, kept for responses to watch requests.
    struct Change {
        std::string key;
        std::optional<Json> value;  // new value of the key; empty if it was deleted
        std::uint64_t revision = 0;
    };
    /// A continuously refilled token bucket; each request or written key takes one token.
    struct TokenBucket {
        double tokens = 0, refilled_at = -1;
    };

    void write(const std::string& key, std::optional<Json> value);
    bool take_tokens(TokenBucket& bucket, double rate, double count);
    bool reply_to_watch(Watch& watch, bool timed_out);
    void start_watch(const std::string& from, const std::string& path, Reply reply);
    void list(const std::string& path, const Reply& reply) const;
    void get(const std::string& key, const Reply& reply) const;
    void grant_lease(const HttpRequest& request, const Reply& reply);
    void renew_lease(std::uint64_t id, const Reply& reply);
    void commit(const HttpRequest& request, const Reply& reply);
    [[nodiscard]] Json failed_preconditions(const Json& transaction) const;
    void apply(const Json& writes);
    [[nodiscard]] bool is_over_lowered_limits(const Json& transaction) const;

    SimulatedClock& clock_;
    MessageRecorder* recorder_;
    std::uint64_t revision_ = 1;
    std::map<std::uint64_t, Lease> leases_;
    std::map<std::string, std::uint64_t> lease_by_key_;  // lease id by key
    std::uint64_t next_lease_ = 1;
    TokenBucket request_bucket_, write_bucket_;
    std::deque<Change> changes_;
    std::vector<Watch> watches_;
    bool limits_lowered_ = false;
};

}  // namespace zincdyke::testing
