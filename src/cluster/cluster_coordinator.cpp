#include "cluster/cluster_coordinator.h"

#include <algorithm>

#include "base/log.h"
#include "cluster/rendezvous_hash.h"

namespace zincdyke {
namespace {
constexpr Duration read_limit = std::chrono::milliseconds(1700);  // users wait for 2 s
constexpr std::size_t most_reads = 2000;
}  // namespace

ClusterCoordinator::ClusterCoordinator(Env& env, const Settings& settings, StoreClient& store,
                                       StateCache& model, ClusterObserver& observer)
    : env_(env),
      settings_(settings),
      store_(store),
      state_cache_(model),
      observer_(observer),
      all_(settings.all_nodes()),
      membership_(settings, model),
      job_roles_(settings, model, membership_),
      write_budget_share_(settings, store, model, membership_),
      autoscaler_election_(env, settings, store, model, membership_),
      // Lease and takeover fit inside a worker's lease, so that running tasks outlive their controller.
      life_(std::clamp(seconds(settings.lease_s * 0.4), millis(1500), seconds(10))) {}

void ClusterCoordinator::start() {
    acquire_session();
    load("", {}, env_.now());
    review();
    watch_presence();
}

void ClusterCoordinator::watch_presence() {
    env_.after(millis(50), [this] { watch_presence(); });
    const bool stood_still = awake_ != SteadyTime{} && env_.now() - awake_ >= stall_limit;
    awake_ = env_.now();
    if (stood_still) log::warn("event=stood_still");
    while (!reads_.empty() && env_.now() - reads_.front().asked > read_limit) {
        auto done = std::move(reads_.front().done);
        reads_.pop_front();
        done(false);
    }
    if (!is_synced_ || loading_) return;
    if (!store_.reachable() || stood_still) {
        stale_ = true;
        watch_now_ = false;
    } else if (stale_ && !std::exchange(watch_now_, true)) {
        // The watch under way may hang in a cut that is over: a new one is answered at once.
        ++watch_run_;
        watch();
    }
}

std::optional<Term> ClusterCoordinator::term(std::uint32_t part) const {
    auto it = claims_.find(part);
    if (it == claims_.end() || part >= state_cache_.shards().size()) return std::nullopt;
    const Shard& p = state_cache_.shards()[part];
    // Claims count once the model holds them: everything an earlier owner committed is then known too.
    if (p.leader != settings_.node || p.term != it->second) return std::nullopt;
    return it->second;
}

std::optional<NodeName> ClusterCoordinator::leader_of(const MachineId& m) const {
    const Shard& p = state_cache_.shards()[state_cache_.shard_of(m)];
    if (p.leader.empty() || p.leader == settings_.node) return std::nullopt;
    if (!is_live(p.leader)) return std::nullopt;
    return p.leader;
}

bool ClusterCoordinator::is_autoscaler_leader() const {
    return is_up_to_date() && registered_ && autoscaler_election_.is_won();
}

void ClusterCoordinator::acquire_session() {
    if (std::exchange(acquiring_, true)) return;
    registered_ = false;
    request_grant();
}

void ClusterCoordinator::request_grant() {
    store_.grant_lease(life_, [this](Outcome o, std::uint64_t id) {
        if (o != Outcome::ok) {
            env_.after(millis(250), [this] { request_grant(); });
            return;
        }
        acquiring_ = false;
        grant_ = id;
        register_node();
        if (!std::exchange(renewing_, true)) env_.after(life_ / 4, [this] { renew(); });
    });
}

void ClusterCoordinator::register_node() {
    if (std::exchange(registering_, true)) return;
    Transaction txn;
    txn.writes.push_back({keys::node(settings_.node), Json::object(), grant_});
    store_.commit(txn, RequestPriority::lease, [this, grant = grant_](CommitResult r) {
        registering_ = false;
        if (grant != grant_) return register_node();  // a new session began meanwhile
        if (r.outcome == Outcome::ok) {
            registered_ = true;
            if (incarnation_ == Revision{}) incarnation_ = r.revision;
            log::info("event=session_open grant={} revision={}", grant_, r.revision.value());
            state_cache_.apply({keys::node(settings_.node), Json::object(), r.revision});
        } else if (r.outcome == Outcome::invalid) {
            acquire_session();  // the grant ended meanwhile
        } else {
            env_.after(millis(200), [this] { register_node(); });
        }
    });
}

void ClusterCoordinator::renew() {
    const auto grant = grant_;
    store_.renew_lease(grant, [this, grant](Outcome o) {
        if ((o == Outcome::not_found || o == Outcome::invalid) && grant == grant_ && !acquiring_) {
            log::warn("event=session_lost grant={}", grant_);
            stale_ = true;
            watch_now_ = false;
            acquire_session();
        }
        env_.after(o == Outcome::ok ? life_ / 4 : millis(250), [this] { renew(); });
    });
}

void ClusterCoordinator::load(const std::string& after, Revision from, SteadyTime begun) {
    loading_ = true;
    store_.list("z/", after, [this, from, begun](ListResult r) {
        if (r.outcome != Outcome::ok) {
            pending_.clear();
            env_.after(millis(250), [this] { load("", {}, env_.now()); });
            return;
        }
        // Pages of a list are of different moments; the watch goes on from the first one's.
        Revision start = from == Revision{} ? r.revision : from;
        for (auto& i : r.items) pending_.push_back(std::move(i));
        if (r.has_more && !pending_.empty()) return load(pending_.back().key, start, begun);
        // What this process already read under a newer revision stays; keys deleted meanwhile must not
        // linger.
        state_cache_.clear();
        for (const auto& i : pending_) state_cache_.apply(i);
        pending_.clear();
        pending_.shrink_to_fit();
        state_cache_.applied_revision = start;
        loading_ = false;
        is_synced_ = true;
        log::info("event=state_read revision={} jobs={}", start.value(), state_cache_.jobs().size());
        ++watch_run_;
        stale_ = watch_now_ = false;
        observer_.on_state_read(begun);
        watch();
        on_membership_changed();
    });
}

void ClusterCoordinator::reload() {
    log::warn("event=state_read_anew revision={}", state_cache_.applied_revision.value());
    watch_fails_ = 0;
    stale_ = true;
    load("", {}, env_.now());
}

// A pause gathers changes into one answer. It keeps the watches of all nodes together to a quarter of the
// request budget: at a fixed 30 ms those of seven nodes took most of it.
Duration ClusterCoordinator::watch_pause() const {
    const double pause = static_cast<double>(membership_.budget_shares()) / (settings_.state_rps * 0.25);
    return std::clamp(seconds(pause), millis(30), millis(500));
}

// What a watch sent at `sent` answered: the model is complete up to that moment.
void ClusterCoordinator::take_news(const ListResult& news, SteadyTime sent) {
    for (const auto& item : news.items) state_cache_.apply(item);
    state_cache_.applied_revision = std::max(state_cache_.applied_revision, news.revision);
    observer_.on_state_read(sent);
}

void ClusterCoordinator::watch() {
    const bool asked_for = !reads_.empty();
    watch_open_ = true;
    store_.watch(
        "z/", state_cache_.applied_revision, stale_ || asked_for,
        [this, run = watch_run_, sent = env_.now(), asked_for, before = next_read_](const ListResult& r) {
            if (run != watch_run_) return;
            watch_open_ = false;
            const bool asked_anew = std::exchange(watch_now_, false) && stale_;
            if (r.is_compacted) return reload();
            if (r.outcome != Outcome::ok) {
                // Others are served: the answer may be longer than we take. Its pages are not.
                if (store_.reachable() && ++watch_fails_ >= 3) return reload();
                env_.after(millis(200), [this, run] {
                    if (run == watch_run_) watch();
                });
                return;
            }
            watch_fails_ = 0;
            take_news(r, sent);
            if (asked_anew) stale_ = false;
            answer_reads(before);
            env_.after(r.items.empty() && !asked_for ? millis(1) : watch_pause(), [this, run] {
                if (run == watch_run_) watch();
            });
        });
}

// Asked one by one, the questions of some hundred users took the whole request budget of the state service,
// and most of them were never answered.
void ClusterCoordinator::read_through(std::function<void(bool)> done) {
    if (!is_up_to_date() || reads_.size() >= most_reads) {
        env_.after(Duration(0), [done = std::move(done)] { done(false); });
        return;
    }
    reads_.push_back({next_read_++, env_.now(), std::move(done)});
    // The next watch is sent soon and answered at once; one that is open already may hang, and tells nothing
    // of now.
    if (watch_open_) read_soon();
}

void ClusterCoordinator::read_soon() {
    if (std::exchange(read_armed_, true)) return;
    env_.after(std::max(Duration(millis(10)), last_read_ + watch_pause() - env_.now()), [this] {
        read_armed_ = false;
        if (reads_.empty() || loading_ || !watch_open_) return;
        last_read_ = env_.now();
        store_.watch("z/", state_cache_.applied_revision, true,
                     [this, run = watch_run_, sent = env_.now(), before = next_read_](const ListResult& r) {
                         if (run == watch_run_ && r.outcome == Outcome::ok && !r.is_compacted) {
                             take_news(r, sent);
                             answer_reads(before);
                         }
                         if (!reads_.empty()) read_soon();
                     });
    });
}

void ClusterCoordinator::answer_reads(std::uint64_t before) {
    while (!reads_.empty() && reads_.front().number < before) {
        auto done = std::move(reads_.front().done);
        reads_.pop_front();
        done(true);
    }
}

void ClusterCoordinator::on_membership_changed() {
    if (!is_synced_) return;
    write_budget_share_.on_membership_changed();
    for (std::uint32_t k = 0; k < state_cache_.shards().size(); ++k) {
        if (term(k)) {
            if (announced_.insert(k).second) observer_.on_leadership_acquired(k);
        } else if (announced_.erase(k) > 0) {
            log::info("event=part_lost part={} owner={} term={}", k, state_cache_.shards()[k].leader.value(),
                      state_cache_.shards()[k].term.value());
        }
    }
}

void ClusterCoordinator::review() {
    env_.after(millis(100), [this] { review(); });
    if (!is_up_to_date() || loading_ || !registered_) return;
    // A commit of our life before, held and carried out late, may have tied our record to a grant that then
    // ended.
    if (!is_live(settings_.node)) {
        registered_ = false;
        register_node();
        return;
    }
    auto among = live_nodes();
    for (std::uint32_t k = 0; k < state_cache_.shards().size(); ++k) {
        const Shard& p = state_cache_.shards()[k];
        if (term(k) && p.leader == settings_.node) {
            // A returned node takes its own part back itself, at once.
            continue;
        }
        const NodeName home = all_[k % all_.size()];
        // What our life before held is ours to claim, whoever the hash names now: back within its session's
        // length, we look alive to the others, and nobody else would.
        auto given = handed_over_.find(k);
        if (given != handed_over_.end() &&
            (env_.now() - given->second > seconds(settings_.lease_s * 3) || !is_live(p.leader)))
            given = (handed_over_.erase(given), handed_over_.end());
        const bool mine =
            (home == settings_.node && given == handed_over_.end()) || p.leader == settings_.node ||
            (!is_live(home) &&
             (p.leader == settings_.node || ((p.leader.empty() || !is_live(p.leader)) &&
                                             pick_by_hash(keys::shard(k), among) == settings_.node)));
        // A claim just won is in the model only when the watch brings it.
        auto won = claims_.find(k);
        const bool on_its_way = won != claims_.end() && won->second > state_cache_.version(keys::shard(k));
        if (mine && !on_its_way && !claiming_.contains(k)) claim(k);
    }
    autoscaler_election_.review(grant_);
}

void ClusterCoordinator::write_owner(std::uint32_t part, const NodeName& owner,
                                     std::function<void(CommitResult)> done) {
    Transaction txn;
    const std::string key = keys::shard(part);
    txn.conditions.push_back({key, state_cache_.version(key)});
    txn.writes.push_back({key, Json{{"owner", owner.value()}, {"inc", incarnation_.value()}}, std::nullopt});
    store_.commit(txn, RequestPriority::lease, std::move(done));
}

void ClusterCoordinator::claim(std::uint32_t part) {
    claiming_.insert(part);
    write_owner(part, settings_.node, [this, part](const CommitResult& r) {
        claiming_.erase(part);
        if (r.outcome == Outcome::ok) {
            claims_[part] = r.revision;
            log::info("event=part_claimed part={} term={} from={}", part, r.revision.value(),
                      state_cache_.shards()[part].leader.value());
            // Not applied to the model here: the watch brings it after all that came before it. Perhaps it
            // has by now.
            on_membership_changed();
        }
        // A claim without an answer that went through is seen as a record of ours without a claim, and is
        // claimed again under a term of its own.
    });
}

void ClusterCoordinator::transfer_leadership(std::uint32_t part) {
    const std::vector<NodeName> others = membership_.live_peers();
    if (others.empty() || !is_up_to_date() || claiming_.contains(part)) return;
    claiming_.insert(part);
    const NodeName to = pick_by_hash(keys::shard(part) + "+", others);
    handed_over_[part] = env_.now();
    log::warn("event=part_handed_over part={} to={} reason=hears_no_worker", part, to.value());
    // Named owner, the other one claims it under a term of its own.
    write_owner(part, to, [this, part](const CommitResult&) { claiming_.erase(part); });
}

}  // namespace zincdyke
