#include "store/request_queue.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "store/store_protocol.h"

namespace zincdyke {
namespace {
constexpr Duration queue_timeout = std::chrono::milliseconds(2500);
constexpr Duration max_dispatch_delay = std::chrono::milliseconds(250);
constexpr std::size_t max_queue_length = 400;

constexpr std::size_t index_of(RequestPriority priority) { return static_cast<std::size_t>(priority); }
}  // namespace

void StoreReachability::record_success() {
    if (!is_reachable()) log::info("event=store_reachable");
    consecutive_failures_ = 0;
}

void StoreReachability::record_failure(SteadyTime now, int status) {
    if (++consecutive_failures_ != max_consecutive_failures) return;
    unreachable_since_ = now;
    log::warn("event=store_unreachable status={}", status);
}

Duration StoreReachability::unreachable_for(SteadyTime now) const {
    return is_reachable() ? Duration(0) : now - unreachable_since_;
}

RequestQueue::RequestQueue(Env& env, const Settings& settings)
    : env_(env), settings_(settings), budget_(settings) {}

void RequestQueue::submit(RequestPriority priority, Request request) {
    const SteadyTime deadline = env_.now() + queue_timeout;
    auto& queue = queues_[index_of(priority)];
    // While the store is unreachable, only requests of lease priority are sent; they probe whether it
    // responds again. Other requests fail immediately.
    const bool may_send = reachability_.is_reachable() || priority == RequestPriority::lease;
    if (!may_send || queue.size() >= max_queue_length)
        return complete_unsent(std::move(request.done), store_protocol::unavailable_response());
    queue.push_back({std::move(request), deadline});
    dispatch();
}

void RequestQueue::complete_unsent(Reply done, HttpResponse response) {
    ++counts_.unsent_requests;
    env_.after(Duration(0), [done = std::move(done), response = std::move(response)] { done(response); });
}

void RequestQueue::dispatch() {
    const SteadyTime now = env_.now();
    for (std::size_t i = 0; i < request_priority_count; ++i) dispatch(static_cast<RequestPriority>(i), now);
}

void RequestQueue::dispatch(RequestPriority priority, SteadyTime now) {
    auto& queue = queues_[index_of(priority)];
    while (!queue.empty()) {
        QueuedRequest& next = queue.front();
        if (next.deadline < now) {
            complete_unsent(std::move(next.request.done), store_protocol::rate_limited_response());
            queue.pop_front();
            continue;
        }
        if (const auto wait = budget_.take_or_wait(now, priority, next.request.write_count)) {
            // Requests of lower priorities may still be sent: reads need no write budget, and users' reads
            // have a reserved share.
            return schedule_dispatch(*wait);
        }
        ++counts_.sent_requests[index_of(priority)];
        counts_.sent_writes[index_of(priority)] += static_cast<std::uint64_t>(next.request.write_count);
        Request request = std::move(next.request);
        queue.pop_front();
        send(std::move(request));
    }
}

void RequestQueue::schedule_dispatch(Duration delay) {
    if (dispatch_timer_ != 0) return;
    dispatch_timer_ = env_.after(std::min(delay, max_dispatch_delay), [this] {
        dispatch_timer_ = 0;
        dispatch();
    });
}

void RequestQueue::send(Request request) {
    env_.http(
        settings_.store_address, std::move(request.http), request.timeout,
        [this, write_count = request.write_count, done = std::move(request.done)](HttpResponse response) {
            on_response(write_count, response);
            done(std::move(response));
            dispatch();
        });
}

void RequestQueue::on_response(double write_count, const HttpResponse& response) {
    if (store_protocol::is_unavailable(response))
        reachability_.record_failure(env_.now(), response.status);
    else
        reachability_.record_success();
    if (!store_protocol::is_rate_limited(response)) return;
    ++counts_.rate_limited_requests;
    budget_.drain(write_count);
}

void RequestQueue::send_watch(HttpRequest http, Duration timeout, Reply done) {
    budget_.take_unconditionally(env_.now());
    ++counts_.watch_requests;
    env_.http(settings_.store_address, std::move(http), timeout,
              [this, done = std::move(done)](HttpResponse response) {
                  counts_.watch_response_bytes += response.body.size();
                  done(std::move(response));
              });
}

}  // namespace zincdyke
