#include "store/store_client.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/log.h"
#include "store/store_protocol.h"

namespace zincdyke {
namespace {
constexpr Duration request_timeout = std::chrono::milliseconds(1500);
constexpr Duration list_timeout = std::chrono::seconds(4);
// How long the store may delay a watch response. The delay is short, because each response advances the
// cancellation watermark.
constexpr Duration max_watch_wait = std::chrono::seconds(2);
// Time allowed for a watch response in addition to the time for which the store may delay it.
constexpr Duration watch_response_timeout = std::chrono::seconds(5);

std::size_t value_bytes(const Write& write) { return write.value ? write.value->dump().size() : 0; }
}  // namespace

StoreClient::StoreClient(Env& env, const Settings& settings)
    : env_(env), settings_(settings), queue_(env, settings) {}

Duration StoreClient::unreachable_for() const { return queue_.reachability().unreachable_for(env_.now()); }

void StoreClient::set_budget_share(double request_share, double write_share) {
    queue_.budget().set_share(request_share, write_share);
}

std::size_t StoreClient::available_writes() { return queue_.budget().available_writes(env_.now()); }

Duration StoreClient::time_until_writes(std::size_t count) {
    return queue_.budget().time_until_writes(count);
}

double StoreClient::write_load() { return queue_.budget().write_load(env_.now()); }

void StoreClient::get(const std::string& key, RequestPriority priority, std::function<void(GetResult)> done) {
    queue_.submit(priority, {store_protocol::get_request(key), 0, request_timeout,
                             [done = std::move(done)](const HttpResponse& response) {
                                 done(store_protocol::parse_get(response));
                             }});
}

void StoreClient::list(const std::string& prefix, const std::string& after,
                       std::function<void(ListResult)> done) {
    queue_.submit(RequestPriority::lease, {store_protocol::list_request(prefix, after), 0, list_timeout,
                                           [done = std::move(done)](const HttpResponse& response) {
                                               done(store_protocol::parse_list(response));
                                           }});
}

void StoreClient::commit(const Transaction& txn, RequestPriority priority,
                         std::function<void(CommitResult)> done) {
    HttpRequest request = store_protocol::commit_request(txn);
    // A copy of a transaction over the limits, for the log message if the store rejects it.
    std::shared_ptr<const Transaction> oversized;
    if (request.body.size() > settings_.strictest_limits.max_value_bytes() ||
        !is_within_operation_limits(txn))
        oversized = std::make_shared<Transaction>(txn);
    queue_.submit(priority, {std::move(request), static_cast<double>(txn.writes.size()), request_timeout,
                             [this, oversized, done = std::move(done)](const HttpResponse& response) {
                                 CommitResult result = store_protocol::parse_commit(response);
                                 if (result.outcome == Outcome::invalid_request && oversized)
                                     log_rejected_transaction(*oversized);
                                 done(std::move(result));
                             }});
}

void StoreClient::watch(const std::string& prefix, Revision after, bool return_immediately,
                        std::function<void(ListResult)> done) {
    const Duration max_wait = return_immediately ? Duration(0) : max_watch_wait;
    queue_.send_watch(store_protocol::watch_request(prefix, after, max_wait),
                      max_wait + (return_immediately ? request_timeout : watch_response_timeout),
                      [done = std::move(done)](const HttpResponse& response) {
                          done(store_protocol::parse_watch(response));
                      });
}

void StoreClient::grant_lease(Duration lifetime, std::function<void(Outcome, std::uint64_t)> done) {
    queue_.submit(RequestPriority::lease, {store_protocol::grant_lease_request(lifetime), 0, request_timeout,
                                           [done = std::move(done)](const HttpResponse& response) {
                                               const LeaseResult result =
                                                   store_protocol::parse_lease(response);
                                               done(result.outcome, result.id);
                                           }});
}

void StoreClient::renew_lease(std::uint64_t lease, std::function<void(Outcome)> done) {
    queue_.submit(RequestPriority::lease, {store_protocol::renew_lease_request(lease), 0, request_timeout,
                                           [done = std::move(done)](const HttpResponse& response) {
                                               done(store_protocol::parse_outcome(response));
                                           }});
}

bool StoreClient::is_within_operation_limits(const Transaction& txn) const {
    const StoreLimits& limits = settings_.strictest_limits;
    return txn.writes.size() <= limits.txn_ops && txn.conditions.size() <= limits.max_conditions();
}

bool StoreClient::is_within_limits(const Transaction& txn) const {
    const std::size_t max_bytes = settings_.strictest_limits.max_value_bytes();
    return is_within_operation_limits(txn) &&
           std::all_of(txn.writes.begin(), txn.writes.end(),
                       [&](const Write& write) { return value_bytes(write) <= max_bytes; });
}

// Logs which limits a transaction exceeded that the store rejected as malformed.
void StoreClient::log_rejected_transaction(const Transaction& txn) {
    const StoreLimits& limits = settings_.strictest_limits;
    if (!is_within_operation_limits(txn))
        log::error("event=commit_rejected writes={} conditions={} limit={}", txn.writes.size(),
                   txn.conditions.size(), limits.txn_ops);
    for (const Write& write : txn.writes) {
        const std::size_t bytes = value_bytes(write);
        if (bytes <= limits.max_value_bytes()) continue;
        has_rejected_value_ = true;
        log::error("event=value_rejected key={} bytes={} limit={}", write.key, bytes,
                   limits.max_value_bytes());
    }
}

}  // namespace zincdyke
