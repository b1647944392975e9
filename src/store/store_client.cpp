#include "store/store_client.h"

#include <algorithm>
#include <cmath>
#include <memory>

#include "base/log.h"

namespace zincdyke {
namespace {
constexpr Duration normal_timeout = std::chrono::milliseconds(1500);
constexpr Duration queue_limit = std::chrono::milliseconds(2500);
constexpr Duration watch_hold =
    std::chrono::seconds(2);  // an answer says that nothing was missed: see Horizon
constexpr std::size_t most_queued = 400;
constexpr double write_load_window_s = 8;
constexpr double user_read_share = 0.25;  // of the requests
constexpr double writes_kept =
    1.0;  // not spent on starts and ends, so that a submission need not wait for them

Outcome outcome_of(int status) {
    switch (status) {
        case 200:
            return Outcome::ok;
        case 404:
            return Outcome::not_found;
        case 409:
            return Outcome::conflict;
        case 429:
        case 503:
            return Outcome::refused;
        case 0:
            return Outcome::unknown;
        default:
            return status >= 500 ? Outcome::unknown : Outcome::invalid;
    }
}

Revision revision_in(const Json& j, const char* key) {
    auto it = j.find(key);
    return it != j.end() && it->is_number_unsigned() ? Revision{it->get<std::uint64_t>()} : Revision{};
}

// An answer that cannot be read is treated like none.
Json parsed(const HttpResponse& r, Outcome& o) {
    Json j = Json::parse(r.body, nullptr, false);
    if ((o == Outcome::ok || o == Outcome::conflict) && !j.is_object()) o = Outcome::unknown;
    return j.is_object() ? j : Json::object();
}
}  // namespace

bool TokenBucket::has(SteadyTime now, double n) {
    if (!last_)
        tokens_ = rate_;
    else
        tokens_ = std::min(rate_, tokens_ + rate_ * to_seconds(now - *last_));
    last_ = now;
    // A request larger than the whole bucket goes when the bucket is full, and leaves a debt.
    return tokens_ >= std::min(n, rate_) - 1e-9;
}

Duration TokenBucket::until(double n) const {
    return std::max(millis(2), seconds((std::min(n, rate_) - tokens_) / rate_));
}

StoreClient::StoreClient(Env& env, const Settings& settings) : env_(env), settings_(settings) {
    set_budget_share(1.0 / settings.size, 1.0 / settings.size);
}

void StoreClient::set_budget_share(double requests, double writes) {
    // A twentieth is left over: the clocks of the nodes and of the service differ.
    const double all = settings_.state_rps * requests * 0.95;
    requests_.set_rate(std::max(1.0, all * (1 - user_read_share)));
    user_reads_.set_rate(std::max(1.0, all * user_read_share));
    writes_.set_rate(std::max(1.0, settings_.strictest_limits.write_rps * writes * 0.95));
}

std::size_t StoreClient::available_writes() {
    SteadyTime now = env_.now();
    // A bucket too small for both still lets one commit of two writes go when it is full.
    if (!writes_.has(now, 2 + writes_kept) || !requests_.has(now, 1)) return 0;
    return static_cast<std::size_t>(std::max(2.0, writes_.tokens() - writes_kept));
}

Duration StoreClient::time_until_writes(std::size_t n) {
    return std::max(writes_.until(static_cast<double>(n) + writes_kept), requests_.until(1));
}

void StoreClient::count_writes(double n) {
    const SteadyTime now = env_.now();
    recent_writes_ = recent_writes_ * std::exp(-to_seconds(now - counted_at_) / write_load_window_s) + n;
    counted_at_ = now;
}

double StoreClient::write_load() {
    count_writes(0);
    return recent_writes_ / (writes_.rate() * write_load_window_s);
}

Duration StoreClient::unreachable_for() { return reachable() ? Duration(0) : env_.now() - lost_at_; }

void StoreClient::submit(RequestPriority u, Request r) {
    r.deadline = env_.now() + queue_limit;
    auto& q = queues_[static_cast<std::size_t>(u)];
    // While the service is away only the lease's renewal goes out, as a probe; the rest is told at once.
    if ((!reachable() && u != RequestPriority::lease) || q.size() >= most_queued) {
        ++counts_.shed;
        env_.after(Duration(0), [done = std::move(r.done)] { done({503, "", -1}); });
        return;
    }
    q.push_back(std::move(r));
    pump();
}

void StoreClient::pump() {
    SteadyTime now = env_.now();
    for (auto& q : queues_) {
        while (!q.empty()) {
            Request& r = q.front();
            if (r.deadline < now) {
                ++counts_.shed;
                env_.after(Duration(0), [done = std::move(r.done)] { done({429, "", -1}); });
                q.pop_front();
                continue;
            }
            const bool reserved = &q == &queues_[static_cast<std::size_t>(RequestPriority::user)] &&
                                  r.writes == 0 && user_reads_.has(now, 1);
            const bool one = reserved || requests_.has(now, 1),
                       two = r.writes == 0 || writes_.has(now, r.writes);
            if (!one || !two) {
                Duration wait = std::max(one ? Duration(0) : requests_.until(1),
                                         two ? Duration(0) : writes_.until(r.writes));
                if (timer_ == 0)
                    timer_ = env_.after(std::min(wait, millis(250)), [this] {
                        timer_ = 0;
                        pump();
                    });
                break;  // what is less urgent may still go: out of writes reads can, and users' reads have
                        // their share
            }
            (reserved ? user_reads_ : requests_).take(1);
            if (r.writes > 0) {
                writes_.take(r.writes);
                count_writes(r.writes);
            }
            const auto urgency = static_cast<std::size_t>(&q - queues_.data());
            ++counts_.requests[urgency];
            counts_.writes[urgency] += static_cast<std::uint64_t>(r.writes);
            Request out = std::move(r);
            q.pop_front();
            send(std::move(out));
        }
    }
}

void StoreClient::send(Request r) {
    env_.http(settings_.state, std::move(r.http), r.timeout,
              [this, writes = r.writes, done = std::move(r.done)](HttpResponse h) {
                  if (h.status == 0 || h.status == 503) {
                      if (++fails_ == 2) {
                          lost_at_ = env_.now();
                          log::warn("event=state_service_lost status={}", h.status);
                      }
                  } else {
                      if (fails_ >= 2) log::info("event=state_service_back");
                      fails_ = 0;
                  }
                  if (h.status == 429) ++counts_.refused;
                  if (h.status == 429) (writes > 0 ? writes_ : requests_).drain();
                  done(std::move(h));
                  pump();
              });
}

void StoreClient::get(const std::string& key, RequestPriority u, std::function<void(GetResult)> done) {
    submit(u, {{"GET", "/store/" + key, ""},
               0,
               normal_timeout,
               {},
               [done = std::move(done)](const HttpResponse& h) {
                   GetResult r;
                   r.outcome = outcome_of(h.status);
                   Json j = parsed(h, r.outcome);
                   if (r.outcome == Outcome::ok) {
                       r.version = revision_in(j, "stamp");
                       r.value = j.value("value", Json());
                       if (r.version == Revision{}) r.outcome = Outcome::unknown;
                   } else if (r.outcome == Outcome::not_found) {
                       r.version = revision_in(j, "epoch");
                   }
                   done(std::move(r));
               }});
}

void StoreClient::list(const std::string& prefix, const std::string& after,
                       std::function<void(ListResult)> done) {
    std::string path = "/store?prefix=" + prefix + "&most=1000";
    if (!after.empty()) path += "&after=" + after;
    submit(
        RequestPriority::lease,
        {{"GET", path, ""}, 0, seconds(4), {}, [done = std::move(done)](const HttpResponse& h) {
             ListResult r;
             r.outcome = outcome_of(h.status);
             Json j = parsed(h, r.outcome);
             if (r.outcome == Outcome::ok) {
                 r.revision = revision_in(j, "epoch");
                 r.has_more = j.value("has_next", false);
                 for (auto& e : j.value("items", Json::array()))
                     r.items.push_back({e.value("key", ""), std::move(e["value"]), revision_in(e, "stamp")});
             }
             done(std::move(r));
         }});
}

bool StoreClient::fits_operations(const Transaction& txn) const {
    const StateLimits& limits = settings_.strictest_limits;
    return txn.writes.size() <= limits.txn_ops && txn.conditions.size() <= limits.conditions();
}

bool StoreClient::is_within_limits(const Transaction& txn) const {
    const std::size_t most = settings_.strictest_limits.value_bytes();
    return fits_operations(txn) && std::all_of(txn.writes.begin(), txn.writes.end(), [&](const Write& w) {
               return !w.value || w.value->dump().size() <= most;
           });
}

// The service took a transaction for malformed. Where it went over its limits, the log names what did.
void StoreClient::note_refused(const Transaction& txn) {
    const StateLimits& limits = settings_.strictest_limits;
    if (!fits_operations(txn))
        log::error("event=commit_refused writes={} conditions={} limit={}", txn.writes.size(),
                   txn.conditions.size(), limits.txn_ops);
    for (const auto& write : txn.writes) {
        const std::size_t bytes = write.value ? write.value->dump().size() : 0;
        if (bytes <= limits.value_bytes()) continue;
        has_rejected_value_ = true;
        log::error("event=value_refused key={} bytes={} limit={}", write.key, bytes, limits.value_bytes());
    }
}

void StoreClient::commit(const Transaction& txn, RequestPriority u, std::function<void(CommitResult)> done) {
    Json conditions = Json::array(), writes = Json::array();
    for (const auto& c : txn.conditions) conditions.push_back({{"key", c.key}, {"stamp", c.version.value()}});
    for (const auto& w : txn.writes) {
        if (!w.value) {
            writes.push_back({{"delete", w.key}});
            continue;
        }
        Json e = {{"set", w.key}, {"value", *w.value}};
        if (w.grant) e["tether"] = *w.grant;
        writes.push_back(std::move(e));
    }
    std::string body = Json{{"if", std::move(conditions)}, {"writes", std::move(writes)}}.dump();
    const StateLimits& limits = settings_.strictest_limits;
    // Kept for the log, should it be refused for its size.
    std::shared_ptr<const Transaction> large;
    if (body.size() > limits.value_bytes() || !fits_operations(txn))
        large = std::make_shared<Transaction>(txn);
    submit(u, {{"POST", "/commit", std::move(body)},
               static_cast<double>(txn.writes.size()),
               normal_timeout,
               {},
               [this, large, done = std::move(done)](const HttpResponse& h) {
                   CommitResult r;
                   r.outcome = outcome_of(h.status);
                   if (r.outcome == Outcome::invalid && large) note_refused(*large);
                   Json j = parsed(h, r.outcome);
                   if (r.outcome == Outcome::ok) {
                       r.revision = revision_in(j, "epoch");
                       if (r.revision == Revision{}) r.outcome = Outcome::unknown;
                   }
                   if (r.outcome == Outcome::conflict)
                       for (const auto& k : j.value("failed", Json::array()))
                           if (k.is_string()) r.failed.push_back(k.get<std::string>());
                   done(std::move(r));
               }});
}

void StoreClient::watch(const std::string& prefix, Revision after, bool at_once,
                        std::function<void(ListResult)> done) {
    const Duration hold = at_once ? Duration(0) : watch_hold;
    std::string path = "/watch?prefix=" + prefix + "&after=" + std::to_string(after.value()) +
                       "&hold_ms=" + std::to_string(hold.count() / 1000);
    // Sent past the queue: a watch waits on purpose, and its silence says nothing about the service.
    requests_.has(env_.now(), 1);
    requests_.take(1);
    ++counts_.watches;
    env_.http(settings_.state, {"GET", path, ""}, hold + (at_once ? normal_timeout : seconds(5)),
              [this, done = std::move(done)](const HttpResponse& h) {
                  counts_.watch_bytes += h.body.size();
                  ListResult r;
                  r.outcome = outcome_of(h.status);
                  r.is_compacted = h.status == 410;
                  Json j = parsed(h, r.outcome);
                  if (r.outcome == Outcome::ok) {
                      r.revision = revision_in(j, "epoch");
                      for (auto& e : j.value("news", Json::array())) {
                          KeyUpdate i;
                          i.version = revision_in(e, "stamp");
                          if (e.contains("set")) {
                              i.key = e.value("set", "");
                              i.value = std::move(e["value"]);
                          } else {
                              i.key = e.value("delete", "");
                          }
                          r.items.push_back(std::move(i));
                      }
                  }
                  done(std::move(r));
              });
}

void StoreClient::grant_lease(Duration life, std::function<void(Outcome, std::uint64_t)> done) {
    submit(RequestPriority::lease, {{"POST", "/grants", Json{{"life_ms", life.count() / 1000}}.dump()},
                                    0,
                                    normal_timeout,
                                    {},
                                    [done = std::move(done)](const HttpResponse& h) {
                                        Outcome o = outcome_of(h.status);
                                        Json j = parsed(h, o);
                                        std::uint64_t id = revision_in(j, "tether").value();
                                        if (o == Outcome::ok && id == 0) o = Outcome::unknown;
                                        done(o, id);
                                    }});
}

void StoreClient::renew_lease(std::uint64_t grant, std::function<void(Outcome)> done) {
    submit(RequestPriority::lease,
           {{"POST", "/grants/" + std::to_string(grant) + "/touch", ""},
            0,
            normal_timeout,
            {},
            [done = std::move(done)](const HttpResponse& h) { done(outcome_of(h.status)); }});
}

}  // namespace zincdyke
