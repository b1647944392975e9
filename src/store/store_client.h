// Client of the state service: commits, reads, watches, grants; spends this node's part of the rate budgets.
#pragma once
#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/env.h"
#include "base/settings.h"
#include "wire/json_api.h"

namespace zincdyke {

using wire::Json;

// Who is served first when the budget runs short.
enum class RequestPriority : std::uint8_t { lease, report, decision, user };
constexpr std::size_t urgencies = 4;

enum class Outcome : std::uint8_t {
    ok,
    conflict,  // a condition did not hold: nothing was done
    not_found,
    refused,  // surely not executed: over budget, or the service said 429 or 503
    unknown,  // no answer: may have been executed, or may yet be
    invalid   // 400 and the like: asking again cannot help
};

struct Condition {
    std::string key;
    Revision version;  // 0: must not exist
};
struct Write {
    std::string key;
    std::optional<Json> value;  // nothing: delete
    std::optional<std::uint64_t> grant;
};
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};
struct CommitResult {
    Outcome outcome = Outcome::unknown;
    Revision revision;
    std::vector<std::string> failed;
};
// NOLINTNEXTLINE(bugprone-exception-escape): Json's move, which is noexcept, is taken to throw.
struct GetResult {
    Outcome outcome = Outcome::unknown;
    Json value;
    Revision version;
};
struct KeyUpdate {
    std::string key;
    std::optional<Json> value;  // nothing: deleted
    Revision version;
};
struct ListResult {
    Outcome outcome = Outcome::unknown;
    std::vector<KeyUpdate> items;
    bool has_more = false, is_compacted = false;
    Revision revision;
};

// Allows `rate` a second with bursts of one second's worth.
class TokenBucket {
  public:
    void set_rate(double per_s) { rate_ = per_s; }
    bool has(SteadyTime now, double n);
    void take(double n) { tokens_ -= n; }
    void drain() { tokens_ = std::min(tokens_, 0.0); }
    double tokens() const { return tokens_; }
    double rate() const { return rate_; }
    Duration until(double n) const;

  private:
    double rate_ = 1, tokens_ = 0;
    std::optional<SteadyTime> last_;
};

class StoreClient {
  public:
    StoreClient(Env& env, const Settings& settings);
    void get(const std::string& key, RequestPriority u, std::function<void(GetResult)> done);
    void list(const std::string& prefix, const std::string& after, std::function<void(ListResult)> done);
    void commit(const Transaction& txn, RequestPriority u, std::function<void(CommitResult)> done);
    // `at_once`: answers with what there is rather than wait for a change.
    void watch(const std::string& prefix, Revision after, bool at_once, std::function<void(ListResult)> done);
    void grant_lease(Duration life, std::function<void(Outcome, std::uint64_t)> done);
    void renew_lease(std::uint64_t grant, std::function<void(Outcome)> done);

    // False while the service does not answer this node. Whether others are served can't be told from here.
    bool reachable() const { return fails_ < 2; }
    // For how long it has not answered.
    Duration unreachable_for();
    // Parts of the budgets that this node may spend: of the requests one by the number of nodes that are up,
    // of the writes by what it has to commit against its peers.
    void set_budget_share(double requests, double writes);
    // How many writes may go at once, a few left over for submissions and sessions; and when that will be
    // more.
    std::size_t available_writes();
    Duration time_until_writes(std::size_t n);
    // How much of this node's write budget was spent lately, from 0 to about 1.
    double write_load();
    // Whether it keeps to the strictest limits that the settings announce.
    bool is_within_limits(const Transaction& txn) const;
    // The service has refused a value larger than the strictest limit: its limits are the announced ones by
    // now.
    bool has_rejected_value() const { return has_rejected_value_; }
    struct Counts {
        std::array<std::uint64_t, urgencies> requests{}, writes{};
        std::uint64_t watches = 0, watch_bytes = 0, refused = 0, shed = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    struct Request {
        HttpRequest http;
        double writes = 0;
        Duration timeout;
        SteadyTime deadline;
        Reply done;
    };
    void submit(RequestPriority u, Request r);
    void pump();
    void send(Request r);
    bool fits_operations(const Transaction& txn) const;
    void note_refused(const Transaction& txn);
    Env& env_;
    const Settings& settings_;
    TokenBucket requests_, writes_;
    // Users' reads have a share of their own: no burst of other work may keep every question about a job
    // unanswered.
    TokenBucket user_reads_;
    std::array<std::deque<Request>, urgencies> queues_;
    Counts counts_;
    Env::TimerId timer_ = 0;
    int fails_ = 0;
    bool has_rejected_value_ = false;
    SteadyTime lost_at_{};
    void count_writes(double n);
    double recent_writes_ = 0;  // decaying
    SteadyTime counted_at_{};
};

}  // namespace zincdyke
