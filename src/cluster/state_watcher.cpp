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
constexpr double watch_budget_share = 0.25;  // of all requests, for the watches of all nodes together
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

// A process that stalled finds its own timer overdue, and tells so here before that timer has run.
bool StateWatcher::is_up_to_date() const {
    return view_.is_current() && store_.reachable() && env_.now() - last_awake_ < stall_timeout;
}

void StateWatcher::detect_stalls() {
    env_.after(stall_check_interval, [this] { detect_stalls(); });
    const SteadyTime now = env_.now();
    const bool has_stalled = last_awake_ != SteadyTime{} && now - last_awake_ >= stall_timeout;
    last_awake_ = now;
    if (has_stalled) log::warn("event=process_stalled");
    reads_.expire(now);
    if (view_.is_list_under_way()) return;
    if (!store_.reachable() || has_stalled) {
        view_.on_invalidated();
    } else if (view_.begin_catch_up()) {
        // The watch under way may hang in a cut that is over: a new one is answered at once.
        ++watch_generation_;
        watch();
    }
}

void StateWatcher::load() { load_page("", {}, env_.now()); }

// `from`: the revision of the list's first page, 0 for that page itself. `asked_at`: when that one was asked
// for.
void StateWatcher::load_page(const std::string& after, Revision from, SteadyTime asked_at) {
    store_.list(std::string(keys::watched_prefix), after, [this, from, asked_at](ListResult result) {
        if (result.outcome != Outcome::ok) {
            list_.clear();
            env_.after(list_retry_delay, [this] { load(); });
            return;
        }
        // Pages of a list are of different moments; the watch goes on from the first one's.
        const Revision start = from == Revision{} ? result.revision : from;
        for (auto& item : result.items) list_.push_back(std::move(item));
        if (result.has_more && !list_.empty()) return load_page(list_.back().key, start, asked_at);
        on_list_read(start, asked_at);
    });
}

void StateWatcher::on_list_read(Revision from, SteadyTime asked_at) {
    // Cleared, so that keys deleted meanwhile don't linger.
    state_cache_.clear();
    for (const auto& item : list_) state_cache_.apply(item);
    list_.clear();
    list_.shrink_to_fit();
    state_cache_.applied_revision = from;
    view_.on_loaded();
    log::info("event=state_loaded revision={} jobs={}", from.value(), state_cache_.jobs().size());
    ++watch_generation_;
    observer_.on_state_read(asked_at);
    watch();
    on_loaded_();
}

void StateWatcher::reload() {
    log::warn("event=state_reloading revision={}", state_cache_.applied_revision.value());
    watch_failures_ = 0;
    view_.on_reload();
    load();
}

// A pause gathers changes into one answer. It keeps the watches of all nodes together to their part of the
// request budget: at a fixed 30 ms those of seven nodes took most of it.
Duration StateWatcher::watch_pause() const {
    const double pause_s =
        static_cast<double>(membership_.budget_node_count()) / (settings_.state_rps * watch_budget_share);
    return std::clamp(seconds(pause_s), min_watch_pause, max_watch_pause);
}

// What a request sent at `sent` answered: the cache is complete up to that moment.
void StateWatcher::apply(const ListResult& news, SteadyTime sent) {
    for (const auto& item : news.items) state_cache_.apply(item);
    state_cache_.applied_revision = std::max(state_cache_.applied_revision, news.revision);
    observer_.on_state_read(sent);
}

void StateWatcher::watch() {
    const bool has_reads = !reads_.empty();
    watch_phase_ = WatchPhase::awaiting_answer;
    store_.watch(std::string(keys::watched_prefix), state_cache_.applied_revision,
                 !view_.is_current() || has_reads,
                 [this, generation = watch_generation_, sent = env_.now(), has_reads,
                  reads_end = reads_.next_read_number()](const ListResult& result) {
                     if (generation == watch_generation_)
                         on_watch_answered(result, sent, has_reads, reads_end);
                 });
}

void StateWatcher::on_watch_answered(const ListResult& result, SteadyTime sent, bool has_reads,
                                     std::uint64_t reads_end) {
    watch_phase_ = WatchPhase::pausing;
    const bool was_catching_up = view_.end_catch_up();
    if (result.is_compacted) return reload();
    if (result.outcome != Outcome::ok) {
        // Others are served: the answer may be longer than we take. Its pages are not.
        if (store_.reachable() && ++watch_failures_ >= max_watch_failures) return reload();
        return watch_after(watch_retry_delay);
    }
    watch_failures_ = 0;
    apply(result, sent);
    if (was_catching_up) view_.on_caught_up();
    reads_.complete_before(reads_end);
    watch_after(result.items.empty() && !has_reads ? millis(1) : watch_pause());
}

void StateWatcher::watch_after(Duration delay) {
    env_.after(delay, [this, generation = watch_generation_] {
        if (generation == watch_generation_) watch();
    });
}

// Asked one by one, the questions of some hundred users took the whole request budget of the store, and most
// of them were never answered.
void StateWatcher::await_fresh_state(PendingReads::Callback done) {
    if (!is_up_to_date() || reads_.is_full()) {
        env_.after(Duration(0), [done = std::move(done)] { done(false); });
        return;
    }
    reads_.add(env_.now(), std::move(done));
    // The next watch is sent soon and answered at once; one that is open already may hang, and tells nothing
    // of now.
    if (watch_phase_ == WatchPhase::awaiting_answer) schedule_read();
}

void StateWatcher::schedule_read() {
    if (read_timer_ != 0) return;
    read_timer_ = env_.after(std::max(min_read_delay, last_read_ + watch_pause() - env_.now()), [this] {
        read_timer_ = 0;
        if (!reads_.empty() && !view_.is_list_under_way() && watch_phase_ == WatchPhase::awaiting_answer)
            send_read();
    });
}

void StateWatcher::send_read() {
    last_read_ = env_.now();
    store_.watch(
        std::string(keys::watched_prefix), state_cache_.applied_revision, true,
        [this, generation = watch_generation_, sent = env_.now(),
         reads_end = reads_.next_read_number()](const ListResult& result) {
            if (generation == watch_generation_ && result.outcome == Outcome::ok && !result.is_compacted) {
                apply(result, sent);
                reads_.complete_before(reads_end);
            }
            if (!reads_.empty()) schedule_read();
        });
}

}  // namespace zincdyke
