/// The simulated key-value store: versioned keys, transactions with preconditions, leases, and watches.
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

/// Serves the store's HTTP API in memory. Tests read `data`, and set the faults and limits at any time.
class FakeKeyValueStore {
  public:
    struct Entry {
        Json value;
        std::uint64_t revision = 0;  ///< Of the commit that last wrote it.
    };

    /// `recorder`, if there is one, is told every write.
    FakeKeyValueStore(SimulatedClock& clock, MessageRecorder* recorder)
        : clock_(clock), recorder_(recorder) {}

    /// Carries out one request. A watch may reply later; everything else replies within this call.
    void handle(const std::string& from, const HttpRequest& request, Reply reply);

    /// Expires leases and replies to watches; to be called every 0.1 s.
    void tick();

    /// The lease that deletes this key when it expires; 0: none.
    [[nodiscard]] std::uint64_t lease_of(const std::string& key) const;
    /// Number of tasks that the task records place on this machine.
    [[nodiscard]] int placed_tasks(const std::string& machine) const;

    std::map<std::string, Entry> data;
    std::uint64_t commits = 0;  ///< Transactions received within the rate limits.

    /// All requests get 503. Leases don't expire meanwhile.
    bool outage = false;
    /// Controllers whose requests alone get 503.
    std::set<std::string> rejected_clients;

    /// Requests, and keys written, per second; 0: no limit. What is over gets 429.
    double max_requests_per_s = 0, max_writes_per_s = 0;
    std::uint64_t rate_limited_requests = 0;  ///< Requests that got 429.

    /// The limits that clients must keep to. What goes over them is noted in `oversized_write`, and carried
    /// out.
    std::size_t max_value_bytes = 4096, max_operations = 8;
    /// A write over the limits, if one ever came.
    std::string oversized_write;

    /// From now on what is over these limits gets 400, as from a service that lowered them without notice.
    void lower_limits(std::size_t value_bytes, std::size_t operations, double writes_per_s);
    std::uint64_t rejected_transactions = 0;  ///< Transactions that got that 400.

    std::size_t list_page_size = 7;  ///< Items in one response to a list request.
    /// Longer responses to a watch are lost on the way; 0: none is.
    std::size_t max_watch_response_bytes = 0;

    /// Keeps the transactions that were carried out in `recorded_commits`, to be sent once more.
    bool record_commits = false;
    std::vector<HttpRequest> recorded_commits;

  private:
    struct Lease {
        double expires_at = 0, duration_s = 0;
        std::set<std::string> keys;
    };
    struct Watch {
        std::string prefix, from;
        std::uint64_t after = 0;  // revision
        double until = 0;
        Reply reply;
    };
    struct Change {
        std::string key;
        std::optional<Json> value;  // none: deleted
        std::uint64_t revision = 0;
    };
    /// Requests or writes that may still come before the rate is met; refilled continuously.
    struct RateLimit {
        double tokens = 0, refilled_at = -1;
    };

    void write(const std::string& key, std::optional<Json> value);
    bool take_tokens(RateLimit& limit, double rate, double count);
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
    std::map<std::string, std::uint64_t> lease_of_;  // by key
    std::uint64_t next_lease_ = 1;
    RateLimit request_limit_, write_limit_;
    std::deque<Change> changes_;
    std::vector<Watch> watches_;
    bool limits_lowered_ = false;
};

}  // namespace zincdyke::testing
