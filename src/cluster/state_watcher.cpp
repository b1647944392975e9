#include "cluster/state_watcher.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "store/keys.h"

namespace zincdyke {
namespace {
constexpr Duration stall_check_interval = std::chrono::milliseconds(50);
constexpr Duration stall_timeout = std::chrono::seconds(1);
constexpr Duration list_retry_delay = std::chrono::milliseconds(250);
constexpr Duration watch_retry_delay = std::chrono::milliseconds(200);
constexpr Duration min_watch_pause = std::chrono::milliseconds(30);
constexpr Duration max_watch_pause = std::chrono::milliseconds(500);
constexpr Duration min_read_delay = std::chrono::milliseconds(10);
// Share of the store's request budget that the watches of all controllers together may use.
constexpr double watch_budget_share = 0.25;
constexpr int max_watch_failures = 3;
}  // namespace

StateWatcher::StateWatcher(Env& env, const Settings& settings, StoreClient& store, StateCache& state_cache,
                           const Membership& membership, ClusterObserver& observer,
                           std::function<void()> on_loaded)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(state_cache),
      membership_(membership),
      observer_(observer),
      on_loaded_(std::move(on_loaded)) {}

void StateWatcher::start() {
    load_all_records();
    detect_stalls();
}

// The last stall check is compared with the current time, so that a stall is detected even before the overdue
// timer has fired.
bool StateWatcher::is_up_to_date() const {
    return freshness_.is_current() && store_.reachable() && env_.now() - last_stall_check_ < stall_timeout;
}

void StateWatcher::detect_stalls() {
    env_.after(stall_check_interval, [this] { detect_stalls(); });
    const SteadyTime now = env_.now();
    const bool has_stalled = last_stall_check_ != SteadyTime{} && now - last_stall_check_ >= stall_timeout;
    last_stall_check_ = now;
    if (has_stalled) log::warn("event=process_stalled");
    reads_.expire(now);
    if (freshness_.is_list_in_progress()) return;
    if (!store_.reachable() || has_stalled) {
        freshness_.on_invalidated();
    } else {
        catch_up();
    }
}

// Refreshes a stale state cache with a new watch, which requests an immediate response. The watch in flight
// is replaced, because it may still hang after a network partition that has ended.
void StateWatcher::catch_up() {
    if (!freshness_.begin_catch_up()) return;
    ++watch_generation_;
    start_watch();
}

void StateWatcher::load_all_records() { load_records_page("", {}, env_.now()); }

// Loads one page of the list of all records, with the keys after `after`. `first_page_revision` is the store
// revision of the list's first page, or 0 while that page is being requested. `sent_at` is the time at which
// the first page was requested.
void StateWatcher::load_records_page(const std::string& after, Revision first_page_revision,
                                     SteadyTime sent_at) {
    store_.list(
        std::string(keys::watched_prefix), after, [this, first_page_revision, sent_at](ListResult result) {
            if (result.outcome != Outcome::ok) {
                list_items_.clear();
                env_.after(list_retry_delay, [this] { load_all_records(); });
                return;
            }
            // Pages of a list reflect different revisions. The watch starts from the revision of the first
            // page, so that no change is missed.
            const Revision start = first_page_revision == Revision{} ? result.revision : first_page_revision;
            for (auto& item : result.items) list_items_.push_back(std::move(item));
            if (result.has_more && !list_items_.empty())
                return load_records_page(list_items_.back().key, start, sent_at);
            on_list_read(start, sent_at);
        });
}

void StateWatcher::on_list_read(Revision first_page_revision, SteadyTime sent_at) {
    state_cache_.apply_list(list_items_, first_page_revision);
    list_items_.clear();
    list_items_.shrink_to_fit();
    freshness_.on_loaded();
    log::info("event=state_loaded revision={} jobs={}", first_page_revision.value(),
              state_cache_.jobs().size());
    observer_.on_state_read(sent_at);
    catch_up();
    on_loaded_();
}

void StateWatcher::reload() {
    log::warn("event=state_reloading revision={}", state_cache_.applied_revision.value());
    watch_failures_ = 0;
    freshness_.on_reload();
    load_all_records();
}

// Returns the pause between two watches. The pause batches changes into one response and grows with the
// number of controllers, so that the watches of all controllers stay within the watch share of the request
// budget: at a fixed pause of 30 ms, the watches of seven controllers took most of the budget.
Duration StateWatcher::watch_pause() const {
    const double pause_s =
        static_cast<double>(membership_.budget_node_count()) / (settings_.store_rps * watch_budget_share);
    return std::clamp(seconds(pause_s), min_watch_pause, max_watch_pause);
}

// Applies the response to a request sent at `sent_at`, after which the state cache contains everything
// committed before that time.
void StateWatcher::apply_response(const ListResult& result, SteadyTime sent_at) {
    for (const auto& item : result.items) state_cache_.apply(item);
    state_cache_.applied_revision = std::max(state_cache_.applied_revision, result.revision);
    observer_.on_state_read(sent_at);
}

void StateWatcher::start_watch() {
    const bool has_reads = !reads_.empty();
    watch_phase_ = WatchPhase::awaiting_response;
    store_.watch(std::string(keys::watched_prefix), state_cache_.applied_revision,
                 !freshness_.is_current() || has_reads,
                 [this, generation = watch_generation_, sent_at = env_.now(), has_reads,
                  reads_end = reads_.next_read_number()](const ListResult& result) {
                     if (generation == watch_generation_)
                         on_watch_response(result, sent_at, has_reads, reads_end);
                 });
}

void StateWatcher::on_watch_response(const ListResult& result, SteadyTime sent_at, bool has_reads,
                                     std::uint64_t reads_end) {
    watch_phase_ = WatchPhase::pausing;
    const bool was_catching_up = freshness_.end_catch_up();
    if (result.is_compacted) return reload();
    if (result.outcome != Outcome::ok) {
        // If the watch keeps failing while the store is reachable, its response may exceed the size limit for
        // responses. A list is split into pages, which stay below that limit.
        if (store_.reachable() && ++watch_failures_ >= max_watch_failures) return reload();
        return schedule_watch(watch_retry_delay);
    }
    watch_failures_ = 0;
    apply_response(result, sent_at);
    if (was_catching_up) freshness_.on_caught_up();
    reads_.complete_before(reads_end);
    schedule_watch(result.items.empty() && !has_reads ? millis(1) : watch_pause());
}

void StateWatcher::schedule_watch(Duration delay) {
    env_.after(delay, [this, generation = watch_generation_] {
        if (generation == watch_generation_) start_watch();
    });
}

// Concurrent reads share one request. With one request each, the reads of some hundred users took the store's
// whole request budget, and most of them were never answered.
void StateWatcher::await_fresh_state(PendingReads::Callback done) {
    if (!is_up_to_date() || reads_.is_full()) {
        env_.after(Duration(0), [done = std::move(done)] { done(false); });
        return;
    }
    reads_.add(env_.now(), std::move(done));
    // If no watch is in flight, the next watch completes this read: it starts after a short pause, and
    // requests an immediate response because a read is pending. A watch in flight was sent before this read,
    // so its response cannot complete the read, and a separate request is scheduled.
    if (watch_phase_ == WatchPhase::awaiting_response) schedule_read();
}

void StateWatcher::schedule_read() {
    if (read_timer_ != 0) return;
    read_timer_ = env_.after(std::max(min_read_delay, last_read_sent_ + watch_pause() - env_.now()), [this] {
        read_timer_ = 0;
        if (!reads_.empty() && !freshness_.is_list_in_progress() &&
            watch_phase_ == WatchPhase::awaiting_response)
            send_read();
    });
}

void StateWatcher::send_read() {
    last_read_sent_ = env_.now();
    store_.watch(
        std::string(keys::watched_prefix), state_cache_.applied_revision, true,
        [this, generation = watch_generation_, sent_at = env_.now(),
         reads_end = reads_.next_read_number()](const ListResult& result) {
            if (generation == watch_generation_ && result.outcome == Outcome::ok && !result.is_compacted) {
                apply_response(result, sent_at);
                reads_.complete_before(reads_end);
            }
            if (!reads_.empty()) schedule_read();
        });
}

}  // namespace zincdyke
