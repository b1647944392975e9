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
    load();
    detect_stalls();
}

// The last stall check is compared with the current time, so that a stall is detected even before the overdue
// timer has fired.
bool StateWatcher::is_up_to_date() const {
    return view_.is_current() && store_.reachable() && env_.now() - last_stall_check_ < stall_timeout;
}

void StateWatcher::detect_stalls() {
    env_.after(stall_check_interval, [this] { detect_stalls(); });
    const SteadyTime now = env_.now();
    const bool has_stalled = last_stall_check_ != SteadyTime{} && now - last_stall_check_ >= stall_timeout;
    last_stall_check_ = now;
    if (has_stalled) log::warn("event=process_stalled");
    reads_.expire(now);
    if (view_.is_list_in_progress()) return;
    if (!store_.reachable() || has_stalled) {
        view_.on_invalidated();
    } else if (view_.begin_catch_up()) {
        // The watch in flight may still hang because of a network partition that has ended. A new watch with
        // an immediate response replaces it.
        ++watch_generation_;
        watch();
    }
}

void StateWatcher::load() { load_page("", {}, env_.now()); }

// `first_page_revision` is the store revision of the list's first page, or 0 while that page is being
// requested. `sent_at` is the time at which the first page was requested.
void StateWatcher::load_page(const std::string& after, Revision first_page_revision, SteadyTime sent_at) {
    store_.list(
        std::string(keys::watched_prefix), after, [this, first_page_revision, sent_at](ListResult result) {
            if (result.outcome != Outcome::ok) {
                list_items_.clear();
                env_.after(list_retry_delay, [this] { load(); });
                return;
            }
            // Pages of a list reflect different revisions. The watch starts from the revision of the first
            // page, so that no change is missed.
            const Revision start = first_page_revision == Revision{} ? result.revision : first_page_revision;
            for (auto& item : result.items) list_items_.push_back(std::move(item));
            if (result.has_more && !list_items_.empty())
                return load_page(list_items_.back().key, start, sent_at);
            on_list_read(start, sent_at);
        });
}

void StateWatcher::on_list_read(Revision first_page_revision, SteadyTime sent_at) {
    // The cache is cleared first, so that keys deleted since the last read do not remain in it.
    state_cache_.clear();
    for (const auto& item : list_items_) state_cache_.apply(item);
    list_items_.clear();
    list_items_.shrink_to_fit();
    state_cache_.applied_revision = first_page_revision;
    view_.on_loaded();
    log::info("event=state_loaded revision={} jobs={}", first_page_revision.value(),
              state_cache_.jobs().size());
    ++watch_generation_;
    observer_.on_state_read(sent_at);
    watch();
    on_loaded_();
}

void StateWatcher::reload() {
    log::warn("event=state_reloading revision={}", state_cache_.applied_revision.value());
    watch_failures_ = 0;
    view_.on_reload();
    load();
}

// Returns the pause between watches. It batches changes into one response and grows with the number of
// controllers, which keeps their watches within the watch share of the request budget.
Duration StateWatcher::watch_pause() const {
    const double pause_s =
        static_cast<double>(membership_.budget_node_count()) / (settings_.store_rps * watch_budget_share);
    return std::clamp(seconds(pause_s), min_watch_pause, max_watch_pause);
}

// Applies the response to a request sent at `sent_at`, after which the state cache contains everything
// committed before that time.
void StateWatcher::apply(const ListResult& result, SteadyTime sent_at) {
    for (const auto& item : result.items) state_cache_.apply(item);
    state_cache_.applied_revision = std::max(state_cache_.applied_revision, result.revision);
    observer_.on_state_read(sent_at);
}

void StateWatcher::watch() {
    const bool has_reads = !reads_.empty();
    watch_phase_ = WatchPhase::awaiting_response;
    store_.watch(std::string(keys::watched_prefix), state_cache_.applied_revision,
                 !view_.is_current() || has_reads,
                 [this, generation = watch_generation_, sent_at = env_.now(), has_reads,
                  reads_end = reads_.next_read_number()](const ListResult& result) {
                     if (generation == watch_generation_)
                         on_watch_response(result, sent_at, has_reads, reads_end);
                 });
}

void StateWatcher::on_watch_response(const ListResult& result, SteadyTime sent_at, bool has_reads,
                                     std::uint64_t reads_end) {
    watch_phase_ = WatchPhase::pausing;
    const bool was_catching_up = view_.end_catch_up();
    if (result.is_compacted) return reload();
    if (result.outcome != Outcome::ok) {
        // If only the watch fails, its response may exceed the size limit for responses. A list is split into
        // pages and avoids that.
        if (store_.reachable() && ++watch_failures_ >= max_watch_failures) return reload();
        return watch_after(watch_retry_delay);
    }
    watch_failures_ = 0;
    apply(result, sent_at);
    if (was_catching_up) view_.on_caught_up();
    reads_.complete_before(reads_end);
    watch_after(result.items.empty() && !has_reads ? millis(1) : watch_pause());
}

void StateWatcher::watch_after(Duration delay) {
    env_.after(delay, [this, generation = watch_generation_] {
        if (generation == watch_generation_) watch();
    });
}

// Concurrent reads share one request, because one request per read could exhaust the store's request budget.
void StateWatcher::await_fresh_state(PendingReads::Callback done) {
    if (!is_up_to_date() || reads_.is_full()) {
        env_.after(Duration(0), [done = std::move(done)] { done(false); });
        return;
    }
    reads_.add(env_.now(), std::move(done));
    // During a pause, the next watch is sent soon and gets an immediate response. A watch already in flight
    // may wait for a change, and its response does not cover this read, so a separate read is needed.
    if (watch_phase_ == WatchPhase::awaiting_response) schedule_read();
}

void StateWatcher::schedule_read() {
    if (read_timer_ != 0) return;
    read_timer_ = env_.after(std::max(min_read_delay, last_read_sent_ + watch_pause() - env_.now()), [this] {
        read_timer_ = 0;
        if (!reads_.empty() && !view_.is_list_in_progress() && watch_phase_ == WatchPhase::awaiting_response)
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
                apply(result, sent_at);
                reads_.complete_before(reads_end);
            }
            if (!reads_.empty()) schedule_read();
        });
}

}  // namespace zincdyke
